// Which shard a team's jobs belong to, and which shards this controller leads.
//
// Owns the leases of shards that this controller holds, each with its fencing token: the mod
// revision of the shard's key, by which every write of a shard leader is conditioned, and which
// commands to workers carry. A shard goes through three steps: vacant; acquiring, when the key
// names this controller but the state cache does not cover the key's mod revision yet; held.
//
// Invariant: work on a shard begins only when the state cache covers all that earlier shard leaders
// wrote, and `on_shard_lost` follows every `on_shard_acquired` before the next one of that shard.
//
// A shard has a home controller. Another one that led it while home was away releases it when home
// has been back for `home_steady_s` (fail back).
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
    /// The shard is led here from now on: `fencing_token` gives its token.
    std::function<void(int shard)> on_shard_acquired;
    /// A shard that was acquired is led here no more.
    std::function<void(int shard)> on_shard_lost;
  };

  ShardAssignment(Context& context, const store::StateCache& state_cache,
                  const ControllerOrder& order, const PeerDirectory& peers, LeaseClaims& claims,
                  Events events);

  /// Tells of shards whose key the state cache covers by now.
  void finish_acquisitions();
  /// Claims vacant shards when it is this controller's turn.
  void claim_vacant();
  /// Releases shards whose home controllers are back.
  void release_to_home_controllers();
  /// The state cache has a new value, or none, for the key of a shard.
  void on_lease_holder_changed(const std::string& key);
  /// The lease at the state store has ended, and with it the keys.
  void on_lease_lost();

  /// The team's shard; none: the settings don't have the team.
  std::optional<int> shard_of_team(const std::string& team) const;
  /// Mod revision of the shard's key if this controller holds it and the state cache covers it.
  std::optional<uint64_t> fencing_token(int shard) const;
  /// Controller that holds the shard according to the state cache.
  std::optional<std::string> leader_of(int shard) const;
  /// According to the state cache.
  bool leads_a_shard(const std::string& node) const;

 private:
  struct HeldLease {
    uint64_t mod_revision = 0;  // of the shard's key
    bool acquiring = true;      // `on_shard_acquired` is still to come
  };
  std::vector<int> shards_being_acquired() const;
  void release_if_home_is_steady(int shard);

  Context& context_;
  const store::StateCache& state_cache_;
  const ControllerOrder& order_;
  const PeerDirectory& peers_;
  LeaseClaims& claims_;
  const Events events_;
  std::vector<std::string> teams_;   // sorted by name; the i-th goes to shard i, going round
  std::map<int, HeldLease> leases_;  // by shard
};

}  // namespace rushtrestle::coordination
