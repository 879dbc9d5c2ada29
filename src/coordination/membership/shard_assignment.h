// Determines which shard a team's jobs belong to, and which shards this controller leads.
//
// ShardAssignment owns the shard leases that this controller holds, each with its fencing token:
// the mod revision of the shard's key, on which every write of a shard leader is conditioned, and
// which commands to workers carry. A shard passes through three states: vacant; acquiring, when the
// key names this controller but the state cache does not cover the key's mod revision yet; held.
//
// Invariant: work on a shard begins only when the state cache covers all that earlier shard leaders
// wrote, and `on_shard_lost` follows every `on_shard_acquired` before the next one of that shard.
//
// Each shard has a home controller. Another controller that led the shard while home was
// unavailable releases the shard when home has been back for `home_stable_s` (failback).
//
// Called by Membership: in each tick, when a shard's key changes, and when the lease is lost.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/membership/controller_order.h"
#include "coordination/membership/lease_claims.h"
#include "coordination/membership/peer_directory.h"

namespace rushtrestle::coordination {

class ShardAssignment {
 public:
  struct Events {
    /// Called when this controller has acquired the shard; `fencing_token` returns its token.
    std::function<void(int shard)> on_shard_acquired;
    /// Called when this controller no longer leads a shard that it had acquired.
    std::function<void(int shard)> on_shard_lost;
  };

  ShardAssignment(Context& context, const store::StateCache& state_cache,
                  const ControllerOrder& order, const PeerDirectory& peers, LeaseClaims& claims,
                  Events events);

  /// Calls `on_shard_acquired` for the shards whose key the state cache covers by now.
  void complete_acquisitions();
  /// Claims the vacant shards for which this controller's turn has come.
  void claim_vacant_shards();
  /// Releases the shards whose home controller is another one and is stable.
  void release_to_home_controllers();
  /// Handles a new value, or the absence, of a shard's key in the state cache.
  void on_lease_holder_changed(const std::string& key);
  /// Handles the end of the lease at the state store, which also removes the keys.
  void on_lease_lost();

  /// Shard of the team's jobs; none: the team is not in the settings.
  std::optional<int> shard_of_team(const std::string& team) const;
  /// Mod revision of the shard's key; none: this controller does not hold the key, or the state
  /// cache does not cover that revision.
  std::optional<uint64_t> fencing_token(int shard) const;
  /// Controller that leads the shard according to the state cache; none: not known, or vacant.
  std::optional<std::string> leader_of(int shard) const;
  /// Whether the controller leads some shard according to the state cache.
  bool leads_a_shard(const std::string& node) const;

 private:
  struct HeldLease {
    uint64_t mod_revision = 0;  // of the shard's key
    bool acquiring = true;      // `on_shard_acquired` was not called yet
  };
  std::optional<int> shard_of_key(const std::string& key) const;
  std::vector<int> shards_being_acquired() const;
  void release_if_home_is_stable(int shard);

  Context& context_;
  const store::StateCache& state_cache_;
  const ControllerOrder& order_;
  const PeerDirectory& peers_;
  LeaseClaims& claims_;
  const Events events_;
  // Sorted by name; team i belongs to shard i modulo the number of shards.
  std::vector<std::string> teams_;
  std::map<int, HeldLease> leases_;  // by shard
};

}  // namespace rushtrestle::coordination
