// Claims and releases the lease keys: those of the shards and of the cluster leader.
//
// A lease key names the controller, and its incarnation, that holds a role; the key vanishes with
// that controller's lease at the state store. LeaseClaims records which of these keys are vacant,
// since when, and which have a pending write of this controller.
//
// Invariant: at most one claim or release per key is pending, and each is a compare-and-swap on
// the mod revision on which it was decided, so that of two controllers that claim a key only one
// succeeds. The holder of a key is never inferred from the outcome of a write, but read from the
// state cache.
//
// Called by ShardAssignment and LeaderElection, with a valid lease at the state store and a synced
// state cache.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "coordination/membership/peer_directory.h"
#include "coordination/state/state_store_client.h"

namespace rushtrestle::coordination {

class LeaseClaims {
 public:
  LeaseClaims(const Context& context, const store::StateCache& state_cache,
              StateStoreClient& state_store, const PeerDirectory& peers);

  /// Claims the key if it is vacant and this controller's turn has come: `home` is the controller
  /// that should hold the key, `distance` the number of controllers, home included, whose turn
  /// comes before this one's.
  void claim_if_vacant(const std::string& key, const std::string& home, int distance);
  /// Deletes the key if its mod revision still is this controller's fencing token. `fencing_token`
  /// is called when the write is sent, and returns none if this controller no longer holds the key.
  /// The key must have no pending write.
  void release(const std::string& key, std::function<std::optional<uint64_t>()> fencing_token);
  /// Whether a claim or a release of the key has not been answered yet.
  bool write_pending(const std::string& key) const { return pending_writes_.count(key) != 0; }
  /// Whether some key was vacant when it was last checked.
  bool any_vacant() const { return !vacant_since_.empty(); }

  /// Mod revision of the key if it names this incarnation of this controller.
  std::optional<uint64_t> own_mod_revision(const std::string& key) const;

 private:
  void claim(const std::string& key, uint64_t expected_mod_revision);

  const Context& context_;
  const store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const PeerDirectory& peers_;
  std::map<std::string, double> vacant_since_;  // key -> steady time
  std::set<std::string> pending_writes_;        // keys
};

}  // namespace rushtrestle::coordination
