#include "coordination/membership/budget_share.h"

#include <algorithm>
#include <utility>

namespace rushtrestle::coordination {

double fair_share(double own, std::vector<double> others) {
  std::vector<double> needs = std::move(others);
  needs.push_back(own);
  constexpr double kMaxNeed = 4;  // whole budgets; limits the weight of a flooded controller
  for (double& need : needs) need = std::min(need, kMaxNeed);
  const auto count = static_cast<double>(needs.size());
  constexpr double kGuaranteedPart = 0.5;  // of an even share
  const double guaranteed = kGuaranteedPart / count;
  double remaining = 1;
  double unmet = 0;
  for (const double need : needs) {
    remaining -= std::min(need, guaranteed);
    unmet += std::max(0.0, need - guaranteed);
  }
  const double own_unmet = std::max(0.0, needs.back() - guaranteed);
  const double own_guaranteed = std::min(needs.back(), guaranteed);
  if (unmet > remaining) return own_guaranteed + remaining * own_unmet / unmet;
  return own_guaranteed + own_unmet + (remaining - unmet) / count;
}

}  // namespace rushtrestle::coordination
