#include "coordination/membership/budget_share.h"

#include <algorithm>

namespace rushtrestle::coordination {

double fair_share(double own, std::vector<double> others) {
  std::vector<double> needs = std::move(others);
  needs.push_back(own);
  constexpr double kMostTimes = 4;  // a flood of one counts for so many times the whole budget
  for (double& need : needs) need = std::min(need, kMostTimes);
  const auto count = static_cast<double>(needs.size());
  const double assured = 0.5 / count;
  double left = 1, unmet = 0;
  for (const double need : needs) {
    left -= std::min(need, assured);
    unmet += std::max(0.0, need - assured);
  }
  const double more = std::max(0.0, needs.back() - assured);
  const double base = std::min(needs.back(), assured);
  if (unmet > left) return base + left * more / unmet;
  return base + more + (left - unmet) / count;
}

}  // namespace rushtrestle::coordination
