// Determines which controllers are alive, which one leads each shard and which one is the cluster
// leader: combines the modules of this package and calls them in a fixed order.
//
// Membership owns the modules and decides nothing itself: it forwards each request to the module in
// charge. PeerDirectory has the states that peers report and the failure detector,
// CancellationExchange decides whether workers may be answered, ShardAssignment and LeaderElection
// hold the lease keys, by way of LeaseClaims, and BudgetDivision computes this controller's share
// of the write budget.
//
// Invariant: no key is claimed or released without a valid lease and a synced state cache.
//
// Called by Core, which sets the callbacks before anything else; all other packages ask Membership
// who leads, with which fencing token, and whether workers may be answered. Controllers are named
// by the `node` of the settings.
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

  /// Returns this controller's state, as it is sent to peers.
  std::function<PeerState()> own_state;
  /// Called when this controller has acquired a shard and leads it from now on.
  std::function<void(int shard)> on_shard_acquired;
  /// Called when this controller no longer leads a shard that it had acquired.
  std::function<void(int shard)> on_shard_lost;

  /// Does what is due by the clock. Must be called after each batch of commands.
  void tick();
  /// Steady time at which `tick` has something to do by the clock alone; a time in the past means
  /// as soon as possible.
  double next_due() const;
  /// Handles the state of a peer.
  void on_peer_state(const PeerState& state) { peers_.on_peer_state(state); }
  /// Handles the state of a peer that came as a query; the answer carries this controller's state.
  void on_peer_query(const PeerState& state) { peers_.on_peer_query(state); }
  /// Handles a new value, or the absence, of a lease key in the state cache.
  void on_lease_holder_changed(const std::string& key);
  /// Handles the end of this controller's lease at the state store, which also removes its keys.
  void on_lease_lost();

  /// Number of shards: one per controller.
  int shard_count() const { return order_.shard_count(); }
  /// Shard of the team's jobs; -1: the team is not in the settings.
  int shard_of_team(const std::string& team) const {
    constexpr int kUnknownTeam = -1;
    return shards_.shard_of_team(team).value_or(kUnknownTeam);
  }
  /// Fencing token: mod revision of the shard's key if this controller holds the key and its state
  /// cache covers that revision; 0 otherwise.
  uint64_t shard_fencing_token(int shard) const { return shards_.fencing_token(shard).value_or(0); }
  /// Controller that leads the shard according to the state cache; empty: none known.
  std::string shard_leader(int shard) const { return shards_.leader_of(shard).value_or(""); }
  /// Whether the controller leads some shard according to the state cache.
  bool leads_a_shard(const std::string& node) const { return shards_.leads_a_shard(node); }

  /// Whether this controller may act as the cluster leader now.
  bool is_cluster_leader() const { return leader_.leading(); }
  /// Mod revision of the cluster leader's key if the key names this controller; 0 otherwise.
  uint64_t leader_fencing_token() const { return leader_.mod_revision().value_or(0); }

  /// Whether this controller may answer workers of the shards that it leads.
  bool may_renew_workers() const { return cancellations_.may_renew_workers(); }
  /// Whether a worker's lease may be renewed without a valid lease at the state store.
  bool may_renew_while_disconnected() const {
    return cancellations_.may_renew_while_disconnected();
  }
  /// Whether no controller acknowledged the job's cancellation, which is known here, more than
  /// `disconnected_limit_s` ago.
  bool cancelled_within_limit(const std::string& job) const {
    return cancellations_.acknowledged_within_limit(job);
  }
  /// Returns, for the answer to a peer, the cancellations that the peer's query does not show it to
  /// know.
  CancellationOffer offer_cancellations(const PeerState& requester) const {
    return cancellations_.offer(requester);
  }

  /// Whether a live peer reports recent heartbeats from the machine.
  bool any_peer_hears_machine(const std::string& machine) const {
    return peers_.any_hears_machine(machine);
  }
  /// Names of the live peers.
  std::vector<std::string> live_peers() const { return peers_.live_peers(); }
  /// Address of a live peer; empty: the peer is not alive, or not in the settings.
  std::string address_of(const std::string& node) const {
    return peers_.address_of(node).value_or("");
  }
  /// Whether the peer is alive and has read all keys of the state store.
  bool synced(const std::string& node) const { return peers_.synced(node); }
  /// Name of a live peer that has read all keys of the state store; empty: none.
  std::string synced_peer() const { return peers_.synced_peer().value_or(""); }
  /// Name of a live peer that reports `node` as alive; empty: none.
  std::string relay_peer(const std::string& node) const {
    return peers_.relay_peer(node).value_or("");
  }
  /// Whether every peer is alive and reports that it lacks the state store; false without peers.
  bool all_peers_lack_state_store() const { return peers_.all_lack_state_store(); }
  /// Whether every peer is alive and reports that it reads this record format.
  bool all_peers_read_format(uint64_t record_format) const {
    return peers_.all_peers_read_format(record_format);
  }
  /// Program version and record format of each controller, for operators.
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
