// The simulated execution of gangs: all tasks of an attempt run, or none does.
#include <algorithm>
#include <cmath>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

// Advances the attempts of all gangs. The tasks of an attempt start and complete together, and stop
// when one of them is gone.
void ClusterSimulation::advance_gangs() {
  if (!has_gangs_) return;
  for (auto& [id, job] : jobs_) {
    if (job.spec.kind != store::JobKind::gang || !job.accepted) continue;
    std::map<uint64_t, Attempt> attempts;
    for (auto& [machine, worker] : workers_) {
      if (worker.phase != Worker::Phase::up) continue;
      for (auto& [key, task] : worker.tasks)
        if (key.first == id)
          attempts[task.reported.attempt][key.second] = {&task, now_ < worker.hang_until};
    }
    for (auto& [attempt, members] : attempts) advance_attempt(job, members);
  }
}

void ClusterSimulation::advance_attempt(Job& job, Attempt& members) {
  const auto is = [](const Member& member, TaskState state) {
    return member.task->reported.state == state;
  };
  const bool all = members.size() == job.spec.tasks;
  if (job.completed.size() == job.spec.tasks) {  // the gang completed in an earlier attempt
    for (auto& [number, member] : members)
      if (member.task->gathered_at >= 0 && !is(member, TaskState::exited) && !member.hangs)
        exit_task(member, ExitCause::done);
    return;
  }
  const auto every = [&](auto condition) {
    return all && std::all_of(members.begin(), members.end(),
                              [&](const auto& member) { return condition(member.second); });
  };
  if (every([&](const Member& member) {
        return is(member, TaskState::fetching) && member.task->gathered_at >= 0 && !member.hangs;
      })) {
    for (auto& [number, member] : members) member.task->reported.state = TaskState::running;
    job.progress = job.checkpointed;
    job.progress_updated_at = now_;
    job.first_stop_at = -1;
    job.tasks_asked_to_stop.clear();
  }
  if (every(
          [&](const Member& member) { return is(member, TaskState::running) && !member.hangs; })) {
    progress_gang(job, members);
    return;
  }
  job.progress_updated_at = now_;
  for (auto& [number, member] : members)
    if (!member.hangs) detect_missing_peers(job, members, member);
}

void ClusterSimulation::exit_task(Member& member, ExitCause cause) {
  member.task->reported.state = TaskState::exited;
  member.task->reported.cause = cause;
}

void ClusterSimulation::progress_gang(Job& job, Attempt& members) {
  job.progress += now_ - job.progress_updated_at;
  job.progress_updated_at = now_;
  if (job.spec.checkpoint_s > 0)
    job.checkpointed = std::max(
        job.checkpointed, std::floor(job.progress / job.spec.checkpoint_s) * job.spec.checkpoint_s);
  if (job.progress < job.spec.estimate_s * options_.run_factor) return;
  for (uint32_t number = 0; number < job.spec.tasks; ++number) job.completed.insert(number);
  for (auto& [number, member] : members) exit_task(member, ExitCause::done);
}

void ClusterSimulation::detect_missing_peers(const Job& job, const Attempt& members,
                                             Member& observer) {
  const auto is = [](const Member& member, TaskState state) {
    return member.task->reported.state == state;
  };
  if (is(observer, TaskState::fetching) && observer.task->gathered_at >= 0 &&
      now_ - observer.task->gathered_at > options_.gang_wait_s)
    exit_task(observer, ExitCause::stopped);  // the gang did not gather: `incomplete`
  if (!is(observer, TaskState::running) && !is(observer, TaskState::saving)) return;
  const bool member_missing =
      members.size() < job.spec.tasks ||
      std::any_of(members.begin(), members.end(), [&](const auto& other) {
        return other.second.hangs || is(other.second, TaskState::fetching) ||
               (is(other.second, TaskState::exited) && !other.second.task->reported.saved);
      });
  if (!member_missing) return;
  if (observer.task->peer_missing_since < 0) observer.task->peer_missing_since = now_;
  if (now_ - observer.task->peer_missing_since > options_.gang_peer_s)
    exit_task(observer, ExitCause::stopped);  // another task is gone: `peers`
}

}  // namespace rushtrestle::testing
