// Keeps this controller's lease at the state store: acquires and renews it, and acquires a new one
// after it is lost.
//
// Invariant: while `valid()` returns true, the lease has not expired at the state store, despite
// clock drift between the two machines. The state store deletes keys written with the lease when it
// expires. StateStoreClient calls `tick`; other modules check `valid()` before they act on anything
// that the lease protects.
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

  /// Requests a lease, or renews the current one, when that is due.
  void tick();
  /// Returns the steady time in seconds at which `tick` next has work or the lease expires.
  double next_due() const;

  bool valid() const { return lease_ != 0 && context_.now < valid_until_; }
  /// Returns the id of the lease, valid or not, or 0 if none is held.
  uint64_t lease() const { return lease_; }

  /// Called when the state store no longer knows the lease; the keys written with it are deleted.
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
