// How many writes a second this controller has sent lately, for dividing the budget by need.
//
// Owns one average that decays exponentially: writes of one half-life ago count half. The write
// pipeline records what it sends.
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
