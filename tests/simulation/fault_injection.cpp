// Faults of single machines, controllers and heartbeats, and cancellations by users.
#include <algorithm>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

ClusterSimulation::Worker* ClusterSimulation::pick_worker(size_t machine_index) {
  std::vector<Worker*> up;
  for (auto& [id, worker] : workers_)
    if (worker.phase == Worker::Phase::up) up.push_back(&worker);
  return up.empty() ? nullptr : up[machine_index % up.size()];
}

void ClusterSimulation::kill_machine(size_t machine_index) {
  if (Worker* worker = pick_worker(machine_index)) {
    worker->phase = Worker::Phase::dead;
    worker->tasks.clear();
  }
}
void ClusterSimulation::kill_zone(const std::string& zone) {
  for (auto& [id, worker] : workers_) {
    if (worker.zone != zone || worker.phase != Worker::Phase::up) continue;
    worker.phase = Worker::Phase::dead;
    worker.tasks.clear();
  }
}
ClusterSimulation::Worker* ClusterSimulation::worker_of(const std::string& job, size_t nth) {
  for (auto& [id, worker] : workers_) {
    const bool has_task = std::any_of(worker.tasks.begin(), worker.tasks.end(),
                                      [&](const auto& entry) { return entry.first.first == job; });
    if (has_task && worker.phase == Worker::Phase::up && nth-- == 0) return &worker;
  }
  return nullptr;
}
void ClusterSimulation::kill_machine_of(const std::string& job) {
  if (Worker* worker = worker_of(job, 0)) {
    worker->phase = Worker::Phase::dead;
    worker->tasks.clear();
  }
}
void ClusterSimulation::cut_machine_of(const std::string& job, size_t nth, double for_s) {
  if (Worker* worker = worker_of(job, nth)) cut("*", worker->id, for_s, false);
}
void ClusterSimulation::fail_tasks_on_machine_of(const std::string& job, double for_s) {
  if (Worker* worker = worker_of(job, 0)) worker->tasks_fail_until = now_ + for_s;
}
void ClusterSimulation::kill_shard_holder_of(const std::string& job, double back_after_s) {
  if (const auto holder = shard_holder_of(job)) kill_node(*holder, back_after_s);
}
std::optional<int> ClusterSimulation::shard_holder_of(const std::string& job) const {
  // Teams, sorted by name, are assigned to the shards in turn.
  std::set<std::string> teams;
  for (const auto& team : settings_.teams) teams.insert(team.name);
  const auto place = std::distance(teams.begin(), teams.find(jobs_.at(job).spec.team));
  const Json* lease_holder =
      stored_value(store::shard_key(static_cast<int>(place) % options_.nodes));
  for (int node = 0; lease_holder && node < options_.nodes; ++node)
    if (node_name(node) == lease_holder->at("node").get<std::string>()) return node;
  return std::nullopt;
}
void ClusterSimulation::reclaim_machine_of(const std::string& job, double notice_s) {
  Worker* worker = worker_of(job, 0);
  if (!worker) return;
  worker->reclaimed_at = now_ + notice_s;
  worker->next_report = now_;
  at(*worker->reclaimed_at, [this, machine = worker->id] { workers_.erase(machine); });
}
size_t ClusterSimulation::placed_tasks(const std::string& job) const {
  const Json* record = stored_value("job/" + job);
  return record && record->contains("placed") ? (*record)["placed"].size() : 0;
}
void ClusterSimulation::hang_machine(size_t machine_index, double for_s) {
  if (Worker* worker = pick_worker(machine_index)) worker->hang_until = now_ + for_s;
}
void ClusterSimulation::fail_tasks_on_machine(size_t machine_index, double for_s) {
  if (Worker* worker = pick_worker(machine_index)) worker->tasks_fail_until = now_ + for_s;
}
void ClusterSimulation::refuse_starts_on_machine(size_t machine_index, double for_s) {
  if (Worker* worker = pick_worker(machine_index)) worker->refuses_starts_until = now_ + for_s;
}
void ClusterSimulation::cut_machine(size_t machine_index, double for_s, bool hold,
                                    bool only_inbound) {
  if (Worker* worker = pick_worker(machine_index)) cut("*", worker->id, for_s, hold, only_inbound);
}
void ClusterSimulation::block_heartbeats(size_t machine_index, double for_s) {
  if (Worker* worker = pick_worker(machine_index)) worker->heartbeats_blocked_until = now_ + for_s;
}
void ClusterSimulation::report_invalid_tasks(const std::string& job, int node) {
  Worker* worker = worker_of(job, 0);
  if (!worker) return;
  auto heartbeat = snapshot(*worker);
  for (auto& task : heartbeat.tasks) task.gathering = true;
  auto stray = heartbeat.tasks.front();
  stray.attempt += 1000;
  stray.task = jobs_.at(job).spec.tasks;  // the first number past the last task
  heartbeat.tasks.push_back(stray);
  stray.job = "job-nobody";
  heartbeat.tasks.push_back(stray);
  deliver(node, HandleHeartbeat{next_request_++, heartbeat});
}
void ClusterSimulation::replay_heartbeats_to_new_holders(double for_s) {
  record_until_ = now_ + for_s;
}
void ClusterSimulation::cancel_jobs_at_completion(double for_s, double share) {
  cancel_at_completion_until_ = now_ + for_s;
  cancel_at_completion_share_ = share;
}
void ClusterSimulation::query_after_status_changes(double for_s) {
  extra_queries_until_ = now_ + for_s;
}
void ClusterSimulation::cancel_running_jobs(size_t count, double hang_s) {
  for (auto& [id, job] : jobs_) {
    if (count == 0) return;
    if (!job.accepted || job.user_cancelled || job.completion_reported || running(id) == 0)
      continue;
    --count;
    cancel_by_user(id);
    for (auto& [machine, worker] : workers_)
      if (hang_s > 0 &&
          std::any_of(worker.tasks.begin(), worker.tasks.end(),
                      [&job_id = id](const auto& task) { return task.first.first == job_id; })) {
        worker.hang_until = std::max(worker.hang_until, now_ + hang_s);
        break;
      }
  }
}
void ClusterSimulation::cancel_by_user(const std::string& id) {
  jobs_.at(id).user_cancelled = true;
  user_cancel(id, 0, kAnyNode);
}
void ClusterSimulation::duplicate_heartbeats(double for_s, double delay_s) {
  duplicates_until_ = now_ + for_s;
  duplicate_delay_s_ = delay_s;
}

size_t ClusterSimulation::ended_tasks_reported() const {
  size_t ended = 0;
  for (const auto& [id, worker] : workers_)
    for (const auto& [key, task] : worker.tasks)
      if (task.reported.state == TaskState::exited) ++ended;
  return ended;
}

size_t ClusterSimulation::machines_up() const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(),
                    [](const auto& worker) { return worker.second.phase == Worker::Phase::up; }));
}

}  // namespace rushtrestle::testing
