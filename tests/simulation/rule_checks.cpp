// The rules of the protocol, checked at every start and at every step.
#include <algorithm>

#include "coordination/scheduling/placement.h"
#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

void ClusterSimulation::check_start(const Worker& w, const std::string& job, uint32_t task,
                                    uint64_t attempt) {
  ++started_;
  Job& j = jobs_.at(job);
  ++j.starts;
  ++j.starts_by_attempt[attempt];
  if (j.cancel_told) ++starts_after_cancellation_;
  std::map<std::string, uint32_t> zones;
  uint32_t others = 0;
  for (const auto& id : machines_of_job_[job]) {
    const auto machine = workers_.find(id);
    if (machine == workers_.end() || machine->second.phase != Worker::Phase::up) continue;
    const Worker& o = machine->second;
    for (auto it = o.tasks.lower_bound({job, 0}); it != o.tasks.end() && it->first.first == job;
         ++it) {
      const auto& [key, t] = *it;
      if (!on_machine(t)) continue;
      if (key.second == task && id != w.id)
        fail(std::string("ran_twice: ").append(job).append("/").append(std::to_string(task)) +
             " on " + id + " and " + w.id);
      // Stricter than the protocol, which forbids only the same task and other zones.
      if (j.spec.kind == store::JobKind::gang && t.reported.attempt != attempt)
        fail("two attempts: " + job + " " + std::to_string(t.reported.attempt) + " and " +
             std::to_string(attempt));
      zones[o.zone]++;
      ++others;
    }
  }
  const auto& s = j.spec;
  if (!type_allowed(s, w.type) || (s.zone && *s.zone != w.zone) || (w.spot && !s.spot))
    fail("wrong_place: " + job);
  if (s.one_zone && zones[w.zone] != others) fail("wrong_place: " + job + " in two zones");
  if (s.spread && zones[w.zone] > (s.tasks + 1) / 2) fail("wrong_place: " + job + " is not spread");
}

// All machines.
void ClusterSimulation::check_rules() {
  usage_.clear();
  usage_by_machine_.clear();
  for (const auto& [id, w] : workers_) {
    if (w.phase != Worker::Phase::up) continue;
    check_cancelled(w);
    count_usage(w);
  }
  check_quotas();
}

void ClusterSimulation::check_cancelled(const Worker& w) {
  if (w.phase != Worker::Phase::up || now_ < w.hang_until) return;
  for (const auto& [key, t] : w.tasks) {
    const Job& j = jobs_.at(key.first);
    if (on_machine(t) && j.cancel_told && now_ - j.cancel_told_at > settings_.cancel_s)
      fail("ran_cancelled: " + key.first);
  }
}

void ClusterSimulation::forget_usage(const std::string& machine) {
  const auto before = usage_by_machine_.extract(machine);
  if (before.empty()) return;
  for (const auto& [team, resources] : before.mapped()) usage_[team].add(resources, -1);
}

void ClusterSimulation::count_usage(const Worker& w) {
  forget_usage(w.id);
  if (w.phase != Worker::Phase::up || w.tasks.empty()) return;
  Usage& now = usage_by_machine_[w.id];
  for (const auto& [key, t] : w.tasks) {
    const auto& spec = jobs_.at(key.first).spec;
    if (on_machine(t)) now[spec.team].add(spec.per_task);
  }
  for (const auto& [team, resources] : now) usage_[team].add(resources);
}

// What the count holds of tasks that ended elsewhere meanwhile is taken out before anything is
// called broken.
void ClusterSimulation::recheck_quotas(const Worker& w) {
  count_usage(w);
  const auto over = [this](const store::TeamSettings& team) {
    const auto used = usage_.find(team.name);
    return used != usage_.end() && (used->second.cpus > team.quota.cpus + 1e-6 ||
                                    used->second.gpus > team.quota.gpus + 1e-6);
  };
  if (std::any_of(settings_.teams.begin(), settings_.teams.end(), over)) check_rules();
}

void ClusterSimulation::check_quotas() {
  for (const auto& t : settings_.teams) {
    const auto used = usage_.find(t.name);
    if (used != usage_.end() &&
        (used->second.cpus > t.quota.cpus + 1e-6 || used->second.gpus > t.quota.gpus + 1e-6))
      fail("quota: " + t.name);
  }
}

}  // namespace rushtrestle::testing
