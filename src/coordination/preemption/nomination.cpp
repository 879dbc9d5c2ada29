#include "coordination/preemption/nomination.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

std::string nomination_skip_reason(const store::JobRecord& job, double wall,
                                   const store::OperatorSettings& operators, double clock_error_s) {
  const auto& preemptible_ranks = operators.preemptible;
  const double expected_runtime_s = job.spec.estimate_s;
  if (job.running() == 0) return "not_running";
  if (std::find(preemptible_ranks.begin(), preemptible_ranks.end(), job.spec.rank) ==
      preemptible_ranks.end())
    return "not_preemptible";
  if (!std::isfinite(expected_runtime_s) || expected_runtime_s <= 0) return "invalid_duration";
  if (!std::isfinite(job.last_start) || job.last_start <= 0) return "missing_start";
  // The clocks of two controllers may differ by twice the error bound; only a larger difference
  // counts as clock skew.
  if (wall < job.last_start - 2 * clock_error_s) return "clock_skew";
  if (wall - job.last_start < expected_runtime_s) return "not_due";
  if (!std::isfinite(job.not_before) || job.not_before < 0) return "invalid_not_before";
  if (wall < job.not_before) return "cooldown";
  return "";
}

}  // namespace rushtrestle::coordination
