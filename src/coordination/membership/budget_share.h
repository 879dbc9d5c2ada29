// The pure function by which controllers divide the state store's write budget among themselves.
// Called by BudgetDivision.
#pragma once
#include <vector>

namespace rushtrestle::coordination {

/// Returns this controller's share of a budget of 1. Each controller is guaranteed half of an even
/// share if it needs that much; the rest goes to those that need more, in proportion to their unmet
/// need, and what nobody needs is divided evenly. `own` and `others` are needs as fractions of the
/// budget; each is capped at four times the whole budget.
double fair_share(double own, std::vector<double> others);

}  // namespace rushtrestle::coordination
