// Who is alive, who leads which shard and who is the cluster leader: the modules of this package
// put together, and the order in which they do their work.
//
// Membership owns the modules and decides nothing itself: what it is asked goes to the module that
// knows. PeerDirectory has the peers' own words and the failure detector, CancellationExchange says
// whether workers may be answered, ShardAssignment and LeaderElection hold the lease keys, by way
// of LeaseClaims, and BudgetDivision reckons this controller's part of the write budget.
//
// Invariant: no key is claimed or released without a valid lease and a synced state cache.
//
// Called by Core, which sets the callbacks before anything else; all other packages ask it who
// leads, with which fencing token, and whether workers may be answered. Names of controllers are
// the `node` of the settings.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "coordination/membership/budget_division.h"
#include "coordination/membership/cancellation_exchange.h"
#include "coordination/membership/controller_order.h"
#include "coordination/membership/leader_election.h"
#include "coordination/membership/lease_claims.h"
#include "coordination/membership/peer_directory.h"
#include "coordination/membership/shard_assignment.h"
#include "coordination/state/state_store_client.h"

namespace rushtrestle::coordination {

class Membership {
 public:
  Membership(Context& context, store::StateCache& state_cache, StateStoreClient& state_store);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// This controller's state, as it is told to peers.
  std::function<PeerState()> own_state;
  /// A shard is led here from now on.
  std::function<void(int shard)> on_shard_acquired;
  /// A shard that was acquired is led here no more.
  std::function<void(int shard)> on_shard_lost;

  /// Does what is due by the clock. To be called after each batch of commands.
  void tick();
  /// Steady time at which `tick` has something to do by the clock alone; a time that has passed: as
  /// soon as can be.
  double next_due() const;
  /// A peer has told its state.
  void on_peer_state(const PeerState& state) { peers_.on_peer_state(state); }
  /// A peer has told its state and is told ours in the answer.
  void on_peer_query(const PeerState& state) { peers_.on_peer_query(state); }
  /// The state cache has a new value, or none, for a key that is held by lease.
  void on_lease_holder_changed(const std::string& key);
  /// Our lease at the state store has ended, and with it all keys that we held by it.
  void on_lease_lost();

  /// Number of shards; one a controller.
  int shards() const { return order_.shards(); }
  /// -1: the settings don't have the team.
  int shard_of_team(const std::string& team) const {
    constexpr int kUnknownTeam = -1;
    return shards_.shard_of_team(team).value_or(kUnknownTeam);
  }
  /// Fencing token: mod revision of the shard's key if this controller holds it and its state cache
  /// covers that; 0 otherwise.
  uint64_t shard_token(int shard) const { return shards_.fencing_token(shard).value_or(0); }
  /// Controller that holds the shard according to the state cache; empty: none known.
  std::string shard_leader(int shard) const { return shards_.leader_of(shard).value_or(""); }
  /// The controller holds some shard according to the state cache.
  bool leads_a_shard(const std::string& node) const { return shards_.leads_a_shard(node); }

  /// This controller may act as the cluster leader now.
  bool leading() const { return leader_.leading(); }
  /// Mod revision of the cluster leader's key if it names this controller; 0 otherwise.
  uint64_t leader_revision() const { return leader_.mod_revision().value_or(0); }

  /// May this controller answer workers of the shards that it leads?
  bool may_renew_workers() const { return cancellations_.may_renew_workers(); }
  /// Without a lease: may a worker's lease be renewed all the same?
  bool may_renew_while_disconnected() const {
    return cancellations_.may_renew_while_disconnected();
  }
  /// In answer to a peer: the cancellations that it has not shown to know.
  CancellationOffer offer_cancellations(const PeerState& asker) const {
    return cancellations_.offer(asker);
  }

  /// A peer that we hear has heard from the machine lately.
  bool peer_hears(const std::string& machine) const { return peers_.peer_hears(machine); }
  /// The controllers that we hear, but for this one.
  std::vector<std::string> controllers_heard() const { return peers_.controllers_heard(); }
  /// Address of a controller that we hear; empty: we don't.
  std::string address_of(const std::string& node) const {
    return peers_.address_of(node).value_or("");
  }
  /// A controller that we hear and that hears `node`; empty: none.
  std::string relay_peer(const std::string& node) const {
    return peers_.relay_peer(node).value_or("");
  }
  /// Every peer was heard lately and lacks the state store.
  bool outage_shared() const { return peers_.outage_shared(); }
  /// Every other controller has said within the last moments that it reads this record format.
  bool all_read(uint64_t record_format) const { return peers_.all_read(record_format); }
  /// For operators: what each controller runs.
  store::Json versions() const { return peers_.versions(); }

 private:
  PeerDirectory::Events peer_events();
  ShardAssignment::Events shard_events();

  Context& context_;
  StateStoreClient& state_store_;
  ControllerOrder order_;
  PeerDirectory peers_;
  CancellationExchange cancellations_;
  LeaseClaims claims_;
  ShardAssignment shards_;
  LeaderElection leader_;
  BudgetDivision budget_;
};

}  // namespace rushtrestle::coordination
