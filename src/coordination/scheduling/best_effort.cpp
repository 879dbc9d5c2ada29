#include "coordination/scheduling/best_effort.h"

#include <algorithm>

namespace rushtrestle::coordination {

bool is_starving(const store::JobRecord& job, double wall) {
  constexpr double kStarvingAfterSeconds = 120;
  return job.attempts == 0 && wall - job.submitted > kStarvingAfterSeconds;
}

bool uses_best_effort_capacity_only(const store::JobRecord& job, const Context& context) {
  const auto& spec = job.spec;
  const bool may_wait = spec.rank == store::Rank::low && spec.spot && !spec.deadline_s;
  if (!may_wait || !context.is_best_effort(spec.team) || is_starving(job, context.wall))
    return false;
  const auto& objectives = context.settings.objectives;
  return std::none_of(objectives.begin(), objectives.end(),
                      [&](const auto& objective) { return objective.job_class == spec.job_class; });
}

}  // namespace rushtrestle::coordination
