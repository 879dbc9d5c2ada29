#include "coordination/membership/budget_share.h"

#include <algorithm>
#include <utility>

namespace rushtrestle::coordination {

double fair_share(double own, std::vector<double> others) {
  std::vector<double> needs = std::move(others);
  needs.push_back(own);
  constexpr double kMostTimes = 4;  // a flood of one counts for so many times the whole budget
  for (double& need : needs) need = std::min(need, kMostTimes);
  const auto count = static_cast<double>(needs.size());
  constexpr double kAssuredPart = 0.5;  // of an even part
  const double assured = kAssuredPart / count;
  double left = 1;
  double unmet = 0;
  for (const double need : needs) {
    left -= std::min(need, assured);
    unmet += std::max(0.0, need - assured);
  }
  const double own_unmet = std::max(0.0, needs.back() - assured);
  const double own_assured = std::min(needs.back(), assured);
  if (unmet > left) return own_assured + left * own_unmet / unmet;
  return own_assured + own_unmet + (left - unmet) / count;
}

}  // namespace rushtrestle::coordination
