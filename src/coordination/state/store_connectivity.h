// Whether the state store answers this controller.
//
// Owns the time of the last contact and the flag "unavailable". Invariant: the state store counts
// as unavailable when a request failed that was sent after the last request known to have
// succeeded, and until one succeeds. Every module that calls the state store reports the result of
// each call here.
#pragma once
#include <functional>

#include "coordination/runtime/context.h"

namespace rushtrestle::coordination {

class StoreConnectivity {
 public:
  explicit StoreConnectivity(Context& context) : context_(context) {}

  /// A request sent at `sent_at` (steady seconds) was answered, whatever the answer said.
  void on_success(double sent_at);
  /// A request sent at `sent_at` got no usable answer.
  void on_failure(double sent_at, int status);

  bool unavailable() const { return unavailable_; }
  /// When the latest request that succeeded was sent, in steady seconds; 0: none yet.
  double last_contact() const { return last_contact_; }

  /// Called for each failure that makes or keeps the state store unavailable.
  std::function<void()> on_unavailable;

 private:
  Context& context_;
  double last_contact_ = 0;
  bool unavailable_ = false;
};

}  // namespace rushtrestle::coordination
