#include "coordination/preemption/nomination.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

std::string nomination_skip_reason(const store::JobRecord& r, double wall,
                                   const store::OperatorSettings& operators, double clock_error_s) {
  const auto& ranks = operators.preemptible;
  if (r.running() == 0) return "not_running";
  if (std::find(ranks.begin(), ranks.end(), r.spec.rank) == ranks.end()) return "not_preemptible";
  if (!std::isfinite(r.spec.estimate_s) || r.spec.estimate_s <= 0) return "invalid_duration";
  if (!std::isfinite(r.last_start) || r.last_start <= 0) return "missing_start";
  // Two nodes' clocks may differ by twice the bound; only more than that is a skew.
  if (wall < r.last_start - 2 * clock_error_s) return "clock_skew";
  if (wall - r.last_start < r.spec.estimate_s) return "not_due";
  if (!std::isfinite(r.not_before) || r.not_before < 0) return "invalid_not_before";
  if (wall < r.not_before) return "cooldown";
  return "";
}

}  // namespace rushtrestle::coordination
