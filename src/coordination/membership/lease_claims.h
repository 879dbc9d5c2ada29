// Claims and releases of the keys that are held by lease: the shards' and the cluster leader's.
//
// A lease key names the controller, and its incarnation, that holds a role; it vanishes with that
// controller's lease. Owns which of these keys are vacant, since when, and which have a write of
// this controller under way.
//
// Invariant: one claim or release a key is under way at the most, and each is a compare-and-swap on
// the mod revision that it was decided on, so that of two controllers that claim one succeeds. Who
// holds a key is never concluded from the outcome of a write, but read off the state cache.
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

  /// Claims the key if it is vacant and it is this controller's turn: `home` is the controller that
  /// should hold it, `distance` how many controllers stand before this one, home included.
  void claim_if_vacant(const std::string& key, const std::string& home, int distance);
  /// Deletes the key, if it still has this controller's fencing token when the write leaves;
  /// `fencing_token` is asked then, and gives none if the key is not held any more. Nothing may be
  /// under way for the key.
  void release(const std::string& key, std::function<std::optional<uint64_t>()> fencing_token);
  /// A claim or a release of the key has not been answered yet.
  bool under_way(const std::string& key) const { return under_way_.count(key) != 0; }
  /// A key was vacant when it was last looked at.
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
  std::set<std::string> under_way_;             // keys
};

}  // namespace rushtrestle::coordination
