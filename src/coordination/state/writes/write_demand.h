// The recent write rate of this controller, by which the write budget is divided among controllers.
//
// Owns an average in writes per second that decays exponentially: a write sent one half-life ago
// counts half. The write pipeline records the writes that it sends; times are in steady seconds.
#pragma once
#include <cstddef>

namespace rushtrestle::coordination {

class WriteDemand {
 public:
  explicit WriteDemand(double half_life_s) : half_life_s_(half_life_s) {}

  void record(size_t writes, double now);
  double writes_per_second(double now);

 private:
  double half_life_s_;
  double writes_per_second_ = 0;
  double as_of_ = 0;
};

}  // namespace rushtrestle::coordination
