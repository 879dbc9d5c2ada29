// How workers run the tasks of a gang: together, or not at all.
#include <algorithm>
#include <cmath>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

// The tasks of an attempt find each other, start and complete together, and end when one of them is
// gone.
void ClusterSimulation::advance_gangs() {
  if (!any_gang_) return;
  for (auto& [id, j] : jobs_) {
    if (j.spec.kind != store::JobKind::gang || !j.accepted) continue;
    std::map<uint64_t, Attempt> attempts;
    for (auto& [machine, w] : workers_) {
      if (w.phase != Worker::Phase::up) continue;
      for (auto& [key, t] : w.tasks)
        if (key.first == id) attempts[t.reported.attempt][key.second] = {&t, now_ < w.hang_until};
    }
    for (auto& [attempt, members] : attempts) advance_attempt(j, members);
  }
}

void ClusterSimulation::advance_attempt(Job& j, Attempt& members) {
  const auto is = [](const Member& m, TaskState s) { return m.task->reported.state == s; };
  const bool all = members.size() == j.spec.tasks;
  if (j.completed.size() == j.spec.tasks) {  // the result is kept
    for (auto& [n, m] : members)
      if (m.task->gathered_at >= 0 && !is(m, TaskState::exited) && !m.hangs)
        leave(m, ExitCause::done);
    return;
  }
  const auto every = [&](auto condition) {
    return all && std::all_of(members.begin(), members.end(),
                              [&](const auto& m) { return condition(m.second); });
  };
  if (every([&](const Member& m) {
        return is(m, TaskState::fetching) && m.task->gathered_at >= 0 && !m.hangs;
      })) {
    for (auto& [n, m] : members) m.task->reported.state = TaskState::running;
    j.progress = j.safe;
    j.progressed_at = now_;
    j.first_stop_at = -1;
    j.told_to_stop.clear();
  }
  if (every([&](const Member& m) { return is(m, TaskState::running) && !m.hangs; })) {
    progress_gang(j, members);
    return;
  }
  j.progressed_at = now_;
  for (auto& [n, m] : members)
    if (!m.hangs) notice_peers(j, members, m);
}

void ClusterSimulation::leave(Member& m, ExitCause cause) {
  m.task->reported.state = TaskState::exited;
  m.task->reported.cause = cause;
}

void ClusterSimulation::progress_gang(Job& j, Attempt& members) {
  j.progress += now_ - j.progressed_at;
  j.progressed_at = now_;
  if (j.spec.checkpoint_s > 0)
    j.safe = std::max(j.safe, std::floor(j.progress / j.spec.checkpoint_s) * j.spec.checkpoint_s);
  if (j.progress < j.spec.estimate_s * options_.run_factor) return;
  for (uint32_t n = 0; n < j.spec.tasks; ++n) j.completed.insert(n);
  for (auto& [n, m] : members) leave(m, ExitCause::done);
}

void ClusterSimulation::notice_peers(const Job& j, const Attempt& members, Member& m) {
  const auto is = [](const Member& member, TaskState s) {
    return member.task->reported.state == s;
  };
  if (is(m, TaskState::fetching) && m.task->gathered_at >= 0 &&
      now_ - m.task->gathered_at > options_.gang_wait_s)
    leave(m, ExitCause::stopped);  // `incomplete`
  if (!is(m, TaskState::running) && !is(m, TaskState::saving)) return;
  const bool one_is_gone =
      members.size() < j.spec.tasks ||
      std::any_of(members.begin(), members.end(), [&](const auto& o) {
        return o.second.hangs || is(o.second, TaskState::fetching) ||
               (is(o.second, TaskState::exited) && !o.second.task->reported.saved);
      });
  if (!one_is_gone) return;
  if (m.task->noticed_at < 0) m.task->noticed_at = now_;
  if (now_ - m.task->noticed_at > options_.gang_peer_s) leave(m, ExitCause::stopped);  // `peers`
}

}  // namespace rushtrestle::testing
