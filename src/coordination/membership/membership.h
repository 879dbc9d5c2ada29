// Who is alive, who holds which shard, who leads; all proven by leased keys.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "coordination/state/state_store_client.h"

namespace rushtrestle::coordination {

class Membership {
 public:
  Membership(Context& context, store::StateCache& state_cache, StateStoreClient& state_store);

  void tick();
  void on_peer_state(const PeerState& state);
  /// A peer has told its state and is told ours in the answer.
  void on_peer_query(const PeerState& state);
  /// When `tick` has something to do by the clock alone; a time that has passed: as soon as can be.
  double next_due() const;
  void on_lease_holder_changed(const std::string& key);
  void on_lease_lost();

  int shards() const { return context_.settings.nodes; }
  int shard_of_team(const std::string& team) const;  // -1: unknown team
  /// Mod revision of the shard's key if this node holds it and its state cache covers that; 0
  /// otherwise.
  uint64_t shard_token(int shard) const;
  bool leading() const {
    return leader_revision_ != 0 && state_store_.lease_valid() &&
           state_cache_.revision() >= leader_revision_;
  }
  uint64_t leader_revision() const { return leader_revision_; }
  /// May this node still answer workers of the shards it holds?
  bool may_renew_workers() const;
  /// Without a lease: may a worker's lease be renewed all the same?
  bool may_renew_while_disconnected() const;
  /// Node that holds the shard according to the state cache; empty: none known.
  std::string shard_leader(int shard) const;
  bool peer_hears(const std::string& machine) const;
  std::vector<std::string> controllers_heard() const;
  /// Address of a controller that we hear; empty: we don't.
  std::string address_of(const std::string& node) const;
  /// A controller that we hear and that hears `node`; empty: none.
  std::string relay_peer(const std::string& node) const;
  bool leads_a_shard(const std::string& node) const;
  bool outage_shared() const;
  /// Every other controller has said within the last moments that it reads this record format.
  bool all_read(uint64_t record_format) const;
  /// What each controller runs, for operators.
  store::Json versions() const;
  /// In answer to a peer: the cancellations that it has not shown to know.
  CancellationOffer offer_cancellations(const PeerState& asker) const;

  std::function<PeerState()> own_state;
  std::function<void(int shard)> on_shard_acquired, on_shard_lost;

 private:
  struct Peer {
    store::PeerSettings settings;
    PeerState state;  // but for the machines that it hears:
    std::unordered_set<std::string> hears;
    double heard_at = kLongAgo, steady_since = 0;
    double next_send = 0;
    bool sending_state = false;
    CancellationPosition known;  // of its cancellations, here
    double covered_until =
        kLongAgo;  // every cancellation that it told before this time is known here
  };
  bool fresh(const Peer& p) const {
    return context_.now - p.heard_at < context_.tunables.peer_fresh_s;
  }
  const Peer* peer(const std::string& node) const;
  void send_state(Peer& p);
  void divide_budget();
  void accept_cancellations(Peer& p, const PeerState& said, double asked_at);
  double covered_until() const;
  bool knows_cancellations() const;
  void claim(const std::string& key, uint64_t expected);
  void consider_claim(const std::string& key, int home, int distance);
  void release_shard(int shard);

  Context& context_;
  store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  std::vector<Peer> peers_;
  std::vector<std::string> nodes_;  // sorted by name: the i-th is home of shard i
  std::vector<std::string> teams_;  // sorted by name
  std::map<std::string, double> absent_since_;
  std::map<std::string, bool> claiming_;
  std::map<int, uint64_t> shard_tokens_;  // shard -> mod revision of its key
  std::set<int> acquiring_;  // held, but the state cache does not cover the key's mod revision yet
  uint64_t leader_revision_ = 0;
  double previous_incarnation_covered_until_ =
      kLongAgo;  // what earlier incarnations of this node told
};

}  // namespace rushtrestle::coordination
