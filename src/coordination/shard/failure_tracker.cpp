#include "coordination/shard/failure_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobStatus;

// Failures are attributed before they count. When each failure counted against its machine and a
// third of the arrays were submitted with a mistake, 104 healthy machines were marked for deletion
// in ten minutes. A healthy array also backed off because its tasks failed on one faulty machine.
void FailureTracker::task_failed(ShardMachine& machine, ShardJob& job) {
  context_.counters["task_errors"]++;
  machine.failed_jobs.insert(job.desired.spec.id);
  job.failed_on.insert(machine.id);
  job.avoid.insert(machine.id);
  job.avoid_until = context_.now + context_.settings.lease_s * 2;
  update_verdict(machine);
  if (!fails_everywhere({known_good(job), job.failed_on.size()})) return;
  back_off(job);
  // The job is at fault, so its failures no longer count against the machines where they happened.
  for (const auto& id : job.failed_on)
    if (ShardMachine* other = state_.find_machine(id)) update_verdict(*other);
}

// A job's tasks fail concurrently, so failures during the backoff don't raise the backoff level.
void FailureTracker::back_off(ShardJob& job) {
  constexpr int kMaxBackoffLevel = 5;
  if (context_.now < job.retry_at) return;
  job.backoff_level = std::min(job.backoff_level + 1, kMaxBackoffLevel);
  job.retry_at = context_.now + context_.jitter(context_.settings.heartbeat_interval_s *
                                                std::pow(2.0, job.backoff_level));
  job.avoid.clear();
}

bool FailureTracker::known_good(const ShardJob& job) const {
  if (job.desired.done.size() > 0) return true;
  return job.desired.spec.kind != JobKind::array && job.desired.running() > 0 &&
         context_.wall - job.desired.last_start > context_.settings.lease_s;
}

// Retrying one task at a time bounds the cost of an array that fails everywhere.
bool FailureTracker::limited_to_one_task(const ShardJob& job) const {
  return job.desired.spec.kind == JobKind::array &&
         fails_everywhere({known_good(job), job.failed_on.size()});
}

void FailureTracker::update_verdict(ShardMachine& machine) {
  std::vector<FailedJob> failed;
  for (const auto& id : machine.failed_jobs) {
    const ShardJob* job = state_.find_job(id);
    const auto* finished = state_cache_.finished_job(id);
    if (job) failed.push_back({known_good(*job), job->failed_on.size()});
    if (!job && finished && finished->status == JobStatus::done) failed.push_back({true, 1});
  }
  const MachineVerdict previous = std::exchange(machine.verdict, classify_machine(failed));
  if (previous == machine.verdict) return;
  if (previous == MachineVerdict::healthy) machine.suspect_since = context_.now;
  state_.request_scheduling();
  if (machine.quarantined()) {
    context_.info("machine_quarantined machine=" + machine.id + " reason=failed_jobs");
  } else {
    context_.info("machine_quarantine_lifted machine=" + machine.id);
  }
}

}  // namespace rushtrestle::coordination
