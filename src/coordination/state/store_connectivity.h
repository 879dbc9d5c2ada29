// Tracks whether the state store answers this controller.
//
// Owns the time of the last contact and the flag "unavailable". Invariant: the state store counts
// as unavailable from the failure of a request that was sent after the latest successful one, until
// a request succeeds. Every module that calls the state store reports the result of each call here.
#pragma once
#include <functional>

#include "coordination/runtime/context.h"

namespace rushtrestle::coordination {

class StoreConnectivity {
 public:
  explicit StoreConnectivity(Context& context) : context_(context) {}

  /// Records that a request sent at `sent_at` (steady seconds) was answered, with whatever status.
  void on_success(double sent_at);
  /// Records that a request sent at `sent_at` (steady seconds) got no usable answer.
  void on_failure(double sent_at, int status);

  bool unavailable() const { return unavailable_; }
  /// Returns the steady time in seconds at which the latest successful request was sent; 0 if none.
  double last_contact() const { return last_contact_; }

  /// Called on each failure that makes or keeps the state store unavailable.
  std::function<void()> on_unavailable;

 private:
  Context& context_;
  double last_contact_ = 0;
  bool unavailable_ = false;
};

}  // namespace rushtrestle::coordination
