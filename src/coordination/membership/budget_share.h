// How controllers divide the state store's budget of writes among themselves: a pure function.
// Called by BudgetDivision.
#pragma once
#include <vector>

namespace rushtrestle::coordination {

/// Our part of a budget of 1. Everybody has half of an even part if he needs it; the rest goes to
/// who needs more, in proportion to that, and what nobody needs is dealt out evenly. `own` and
/// `others` are needs as parts of the budget; one of more than four times the whole counts as that.
double fair_share(double own, std::vector<double> others);

}  // namespace rushtrestle::coordination
