#include "coordination/shard/failure_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobStatus;

// With a third of the arrays submitted with a mistake, 104 healthy machines were marked for
// deletion in ten minutes: each failure counted against the machine. And a healthy array was set
// aside for the tasks that one bad machine had failed.
void FailureTracker::task_failed(ShardMachine& m, ShardJob& j) {
  context_.counters["task_errors"]++;
  m.failed_jobs.insert(j.desired.spec.id);
  j.failed_on.insert(m.id);
  j.avoid.insert(m.id);
  j.avoid_until = context_.now + context_.settings.lease_s * 2;
  judge(m);
  if (!fails_everywhere({known_good(j), j.failed_on.size()})) return;
  // Its tasks fail side by side: one setback for all of them.
  if (context_.now >= j.retry_at) {
    constexpr int kMostDoublings = 5;
    j.backoff_level = std::min(j.backoff_level + 1, kMostDoublings);
    j.retry_at = context_.now + context_.jitter(context_.settings.heartbeat_interval_s *
                                                std::pow(2.0, j.backoff_level));
    j.avoid.clear();
  }
  // What it was blamed for elsewhere is blamed on it.
  for (const auto& id : j.failed_on)
    if (ShardMachine* other = state_.find_machine(id)) judge(*other);
}

// Known to run: an array that has completed a task, a service or gang that has run for a worker's
// lease.
bool FailureTracker::known_good(const ShardJob& j) const {
  if (j.desired.done.size() > 0) return true;
  return j.desired.spec.kind != JobKind::array && j.desired.running() > 0 &&
         context_.wall - j.desired.last_start > context_.settings.lease_s;
}

// An array that fails everywhere is tried with one task at a time: what it costs is bounded.
bool FailureTracker::on_probation(const ShardJob& j) const {
  return j.desired.spec.kind == JobKind::array &&
         fails_everywhere({known_good(j), j.failed_on.size()});
}

void FailureTracker::judge(ShardMachine& m) {
  std::vector<FailedJob> failed;
  for (const auto& id : m.failed_jobs) {
    const auto* j = state_.find_job(id);
    const auto* finished = state_cache_.finished_job(id);
    if (j) failed.push_back({known_good(*j), j->failed_on.size()});
    if (!j && finished && finished->status == JobStatus::done) failed.push_back({true, 1});
  }
  const auto before = std::exchange(m.verdict, judge_machine(failed));
  if (before == m.verdict) return;
  if (before == MachineVerdict::healthy) m.suspect_since = context_.now;
  state_.request_scheduling();
  context_.info(
      "machine " + m.id +
      (m.quarantined() ? " quarantined: tasks of different jobs fail on it" : " is trusted again"));
}

}  // namespace rushtrestle::coordination
