// Checks of the protocol's rules, at each task start and each step of a worker.
#include <algorithm>

#include "coordination/scheduling/placement.h"
#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

void ClusterSimulation::check_start(const Worker& worker, const std::string& job_id,
                                    uint32_t task_number, uint64_t attempt) {
  ++task_starts_;
  Job& job = jobs_.at(job_id);
  ++job.starts;
  ++job.starts_by_attempt[attempt];
  if (job.cancellation_confirmed) ++starts_after_cancellation_;
  if (job.cancellation_confirmed && now_ - job.cancellation_confirmed_at > settings_.cancel_s)
    fail("ran_cancelled: " + job_id + " starts on " + worker.id);
  std::map<std::string, uint32_t> zones;
  uint32_t others = 0;
  for (const auto& id : machines_of_job_[job_id]) {
    const auto machine = workers_.find(id);
    if (machine == workers_.end() || machine->second.phase != Worker::Phase::up) continue;
    const Worker& other_worker = machine->second;
    for (auto it = other_worker.tasks.lower_bound({job_id, 0});
         it != other_worker.tasks.end() && it->first.first == job_id; ++it) {
      const auto& [key, task] = *it;
      if (!occupies_machine(task)) continue;
      if (key.second == task_number && id != worker.id)
        fail(std::string("ran_twice: ")
                 .append(job_id)
                 .append("/")
                 .append(std::to_string(task_number)) +
             " on " + id + " and " + worker.id);
      // Stricter than the protocol, which forbids only a second run of the same task and tasks in
      // other zones.
      if (job.spec.kind == store::JobKind::gang && task.reported.attempt != attempt)
        fail("two attempts: " + job_id + " " + std::to_string(task.reported.attempt) + " and " +
             std::to_string(attempt));
      zones[other_worker.zone]++;
      ++others;
    }
  }
  const auto& spec = job.spec;
  if (!type_allowed(spec, worker.type) || (spec.zone && *spec.zone != worker.zone) ||
      (worker.spot && !spec.spot))
    fail("wrong_place: " + job_id);
  if (spec.one_zone && zones[worker.zone] != others)
    fail("wrong_place: " + job_id + " in two zones");
  if (spec.spread && zones[worker.zone] > (spec.tasks + 1) / 2)
    fail("wrong_place: " + job_id + " is not spread");
}

// Checks cancellations and quotas over all machines.
void ClusterSimulation::check_rules() {
  usage_.clear();
  usage_by_machine_.clear();
  for (const auto& [id, worker] : workers_) {
    if (worker.phase != Worker::Phase::up) continue;
    check_cancelled(worker);
    count_usage(worker);
  }
  check_quotas();
}

void ClusterSimulation::check_cancelled(const Worker& worker) {
  if (worker.phase != Worker::Phase::up || now_ < worker.hang_until) return;
  for (const auto& [key, task] : worker.tasks) {
    const Job& job = jobs_.at(key.first);
    if (occupies_machine(task) && job.cancellation_confirmed &&
        now_ - job.cancellation_confirmed_at > settings_.cancel_s)
      fail("ran_cancelled: " + key.first);
  }
}

void ClusterSimulation::forget_usage(const std::string& machine) {
  const auto before = usage_by_machine_.extract(machine);
  if (before.empty()) return;
  for (const auto& [team, resources] : before.mapped()) usage_[team].add(resources, -1);
}

void ClusterSimulation::count_usage(const Worker& worker) {
  forget_usage(worker.id);
  if (worker.phase != Worker::Phase::up || worker.tasks.empty()) return;
  Usage& now = usage_by_machine_[worker.id];
  for (const auto& [key, task] : worker.tasks) {
    const auto& spec = jobs_.at(key.first).spec;
    if (occupies_machine(task)) now[spec.team].add(spec.per_task);
  }
  for (const auto& [team, resources] : now) usage_[team].add(resources);
}

// Updates one machine's usage and checks the quotas. The usage of other machines may still count
// ended tasks, so an exceeded quota is recounted over all machines before it is a violation.
void ClusterSimulation::recheck_quotas(const Worker& worker) {
  count_usage(worker);
  const auto over_quota = [this](const store::TeamSettings& team) {
    const auto used = usage_.find(team.name);
    return used != usage_.end() && (used->second.cpus > team.quota.cpus + 1e-6 ||
                                    used->second.gpus > team.quota.gpus + 1e-6);
  };
  if (std::any_of(settings_.teams.begin(), settings_.teams.end(), over_quota)) check_rules();
}

void ClusterSimulation::check_quotas() {
  for (const auto& team : settings_.teams) {
    const auto used = usage_.find(team.name);
    if (used != usage_.end() &&
        (used->second.cpus > team.quota.cpus + 1e-6 || used->second.gpus > team.quota.gpus + 1e-6))
      fail("quota: " + team.name);
  }
}

}  // namespace rushtrestle::testing
