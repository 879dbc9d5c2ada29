// Determines whether this controller is the cluster leader.
//
// LeaderElection owns the mod revision of the cluster leader's key while the key names this
// incarnation of this controller. The mod revision is the leader's fencing token: every write of
// the cluster leader is conditioned on it, so that a leader that was superseded without noticing
// cannot write any more.
//
// Invariant: at most one controller's writes pass that condition at a time. `leading` additionally
// requires a valid lease and a state cache that covers the key, so that a leader begins with all
// that its predecessors wrote.
//
// Called by Membership: in each tick, when the key changes, and when the lease is lost.
#pragma once
#include <cstdint>
#include <optional>

#include "coordination/membership/controller_order.h"
#include "coordination/membership/lease_claims.h"
#include "coordination/state/state_store_client.h"

namespace rushtrestle::coordination {

class LeaderElection {
 public:
  LeaderElection(Context& context, const store::StateCache& state_cache,
                 const StateStoreClient& state_store, const ControllerOrder& order,
                 LeaseClaims& claims);

  /// Claims the key if it is vacant and it is this controller's turn.
  void claim_if_vacant();
  /// Handles a new value, or the absence, of the cluster leader's key in the state cache.
  void on_lease_holder_changed();
  /// Handles the end of the lease at the state store, which also removes the key.
  void on_lease_lost() { mod_revision_.reset(); }

  /// Whether this controller may act as the cluster leader now.
  bool leading() const {
    return mod_revision_ && state_store_.lease_valid() && state_cache_.revision() >= *mod_revision_;
  }
  /// Mod revision of the key; none: the key names another controller, or is absent.
  std::optional<uint64_t> mod_revision() const { return mod_revision_; }

 private:
  Context& context_;
  const store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
  const ControllerOrder& order_;
  LeaseClaims& claims_;
  std::optional<uint64_t> mod_revision_;
};

}  // namespace rushtrestle::coordination
