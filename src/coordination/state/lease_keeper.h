// This controller's lease at the state store: granted, renewed, and granted anew once it is gone.
//
// Invariant: while `valid()` holds, the state store has not let the lease expire, whatever the
// drift between the two machines' clocks. Keys written with the lease vanish with it.
// StateStoreClient calls `tick`; the other modules ask whether the lease is valid before they act
// on what it protects.
#pragma once
#include <cstdint>
#include <functional>

#include "coordination/runtime/context.h"
#include "coordination/state/store_connectivity.h"

namespace rushtrestle::coordination {

class LeaseKeeper {
 public:
  LeaseKeeper(Context& context, StoreConnectivity& connectivity)
      : context_(context), connectivity_(connectivity) {}

  /// Asks for a lease, or renews the one held, when that is due.
  void tick();
  /// When `tick` has something to do, or the lease expires; steady seconds.
  double next_due() const;

  bool valid() const { return lease_ != 0 && context_.now < valid_until_; }
  /// Id of the lease, valid or not; 0: none is held.
  uint64_t lease() const { return lease_; }

  /// The state store no longer knows the lease: the keys written with it are gone.
  std::function<void()> on_lease_lost;

 private:
  void grant();
  void renew();
  void on_granted_or_renewed(double sent_at);
  void on_lease_unknown(double sent_at);
  void on_failure(double sent_at, int status);

  Context& context_;
  StoreConnectivity& connectivity_;
  uint64_t lease_ = 0;
  double valid_until_ = 0;
  double next_request_at_ = 0;
  bool request_in_flight_ = false;
};

}  // namespace rushtrestle::coordination
