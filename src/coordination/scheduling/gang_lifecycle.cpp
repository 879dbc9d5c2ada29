#include "coordination/scheduling/gang_lifecycle.h"

#include <algorithm>

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::Placement;

namespace {

bool any_stopping(const JobRecord& job) {
  return std::any_of(job.placed.begin(), job.placed.end(),
                     [](const Placement& placement) { return placement.stopping; });
}

}  // namespace

GangPhase gang_phase(const JobRecord& gang) {
  if (gang.placed.empty()) return GangPhase::idle;
  if (any_stopping(gang)) return GangPhase::ending;
  const bool runs = std::any_of(gang.placed.begin(), gang.placed.end(),
                                [](const Placement& placement) { return placement.running; });
  return runs ? GangPhase::running : GangPhase::gathering;
}

void end_attempt(JobRecord& job) {
  if (job.spec.kind != JobKind::gang) return;
  for (auto& placement : job.placed) placement.stopping = true;
}

void stop_all_if_any_stopping(JobRecord& job) {
  if (any_stopping(job)) end_attempt(job);
}

double stop_grace_s(const JobRecord& job) {
  const bool member_missing = job.spec.kind == JobKind::gang && job.placed.size() < job.spec.tasks;
  return member_missing ? 0 : job.spec.save_s;
}

}  // namespace rushtrestle::coordination
