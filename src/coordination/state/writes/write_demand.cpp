#include "coordination/state/writes/write_demand.h"

#include <cmath>

namespace rushtrestle::coordination {

double WriteDemand::writes_per_second(double now) {
  writes_per_second_ *= std::exp2((as_of_ - now) / half_life_s_);
  as_of_ = now;
  return writes_per_second_;
}

void WriteDemand::record(size_t writes, double now) {
  writes_per_second(now);  // decays the average to the present
  writes_per_second_ += static_cast<double>(writes) * std::log(2.0) / half_life_s_;
}

}  // namespace rushtrestle::coordination
