// A token bucket that limits the rate of calls to another service.
#pragma once
#include <algorithm>

namespace rushtrestle::coordination {

/// Refills at `rate` tokens per second and holds one second's worth, but at least one token. A
/// `take` after `ready` may overdraw it.
class TokenBucket {
 public:
  void set_rate(double rate) { rate_ = rate; }
  bool ready(double now) { return level(now) > 0; }
  /// Returns the tokens left as a share of the capacity; below 0: overdrawn. Times are in steady
  /// seconds.
  double level(double now) {
    tokens_ = std::min(std::max(1.0, rate_), tokens_ + (now - last_) * rate_);
    last_ = now;
    return tokens_ / std::max(1.0, rate_);
  }
  void take(double amount) { tokens_ -= amount; }
  /// Returns the time at which `level` will be above `floor` if nothing is taken until then.
  double time_above(double floor, double now) {
    const double missing = floor * std::max(1.0, rate_) - level(now) * std::max(1.0, rate_);
    return missing < 0 ? now : now + missing / std::max(kMinRate, rate_);
  }

 private:
  /// Lower bound of the rate in `time_above`, so that a rate of 0 gives a late time instead of a
  /// division by zero.
  static constexpr double kMinRate = 1e-3;
  double rate_ = 1, tokens_ = 1, last_ = 0;
};

}  // namespace rushtrestle::coordination
