// A token bucket: keeps calls to another service within its rate.
#pragma once
#include <algorithm>

namespace rushtrestle::coordination {

/// Lets `rate` through per second, with a second's worth at once; may be overdrawn by one use.
class TokenBucket {
 public:
  void set_rate(double rate) { rate_ = rate; }
  bool ready(double now) { return level(now) > 0; }
  /// What is left of a second's worth, as a share of it; below 0: overdrawn.
  double level(double now) {
    tokens_ = std::min(std::max(1.0, rate_), tokens_ + (now - last_) * rate_);
    last_ = now;
    return tokens_ / std::max(1.0, rate_);
  }
  void take(double amount) { tokens_ -= amount; }
  /// When `level` will be above `floor`, if nothing is taken until then.
  double above_at(double floor, double now) {
    const double missing = floor * std::max(1.0, rate_) - level(now) * std::max(1.0, rate_);
    return missing < 0 ? now : now + missing / std::max(kSlowest, rate_);
  }

 private:
  static constexpr double kSlowest =
      1e-3;  // a rate of nothing gives a late time, not a division by zero
  double rate_ = 1, tokens_ = 1, last_ = 0;
};

}  // namespace rushtrestle::coordination
