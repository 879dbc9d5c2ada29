// Troubles of single machines, and cancellations at inconvenient moments.
#include <algorithm>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

ClusterSimulation::Worker* ClusterSimulation::pick_worker(size_t select_slot) {
  std::vector<Worker*> up;
  for (auto& [id, w] : workers_)
    if (w.phase == Worker::Phase::up) up.push_back(&w);
  return up.empty() ? nullptr : up[select_slot % up.size()];
}

void ClusterSimulation::kill_machine(size_t select_slot) {
  if (Worker* w = pick_worker(select_slot)) {
    w->phase = Worker::Phase::dead;
    w->tasks.clear();
  }
}
void ClusterSimulation::kill_zone(const std::string& zone) {
  for (auto& [id, w] : workers_) {
    if (w.zone != zone || w.phase != Worker::Phase::up) continue;
    w.phase = Worker::Phase::dead;
    w.tasks.clear();
  }
}
ClusterSimulation::Worker* ClusterSimulation::worker_of(const std::string& job, size_t nth) {
  for (auto& [id, w] : workers_) {
    const bool has_it = std::any_of(w.tasks.begin(), w.tasks.end(),
                                    [&](const auto& entry) { return entry.first.first == job; });
    if (has_it && w.phase == Worker::Phase::up && nth-- == 0) return &w;
  }
  return nullptr;
}
void ClusterSimulation::kill_machine_of(const std::string& job) {
  if (Worker* w = worker_of(job, 0)) {
    w->phase = Worker::Phase::dead;
    w->tasks.clear();
  }
}
void ClusterSimulation::cut_machine_of(const std::string& job, size_t nth, double for_s) {
  if (Worker* w = worker_of(job, nth)) cut("*", w->id, for_s, false);
}
void ClusterSimulation::sicken_machine_of(const std::string& job, double for_s) {
  if (Worker* w = worker_of(job, 0)) w->sick_until = now_ + for_s;
}
void ClusterSimulation::kill_owner_of(const std::string& job, double back_after_s) {
  if (const auto n = owner_of(job)) kill_node(*n, back_after_s);
}
std::optional<int> ClusterSimulation::owner_of(const std::string& job) const {
  // Teams, sorted by name, are dealt over the parts.
  std::set<std::string> teams;
  for (const auto& t : settings_.teams) teams.insert(t.name);
  const auto place = std::distance(teams.begin(), teams.find(jobs_.at(job).spec.team));
  const Json* lease_holder = stored(store::shard_key(static_cast<int>(place) % options_.nodes));
  for (int n = 0; lease_holder && n < options_.nodes; ++n)
    if (node_name(n) == lease_holder->at("node").get<std::string>()) return n;
  return std::nullopt;
}
void ClusterSimulation::take_machine_of(const std::string& job, double notice_s) {
  Worker* w = worker_of(job, 0);
  if (!w) return;
  w->taken_at = now_ + notice_s;
  w->next_report = now_;
  at(*w->taken_at, [this, machine = w->id] { workers_.erase(machine); });
}
size_t ClusterSimulation::placed(const std::string& job) const {
  const Json* record = stored("job/" + job);
  return record && record->contains("placed") ? (*record)["placed"].size() : 0;
}
void ClusterSimulation::hang_machine(size_t select_slot, double for_s) {
  if (Worker* w = pick_worker(select_slot)) w->hang_until = now_ + for_s;
}
void ClusterSimulation::sick_machine(size_t select_slot, double for_s) {
  if (Worker* w = pick_worker(select_slot)) w->sick_until = now_ + for_s;
}
void ClusterSimulation::cut_machine(size_t select_slot, double for_s, bool hold,
                                    bool only_inbound) {
  if (Worker* w = pick_worker(select_slot)) cut("*", w->id, for_s, hold, only_inbound);
}
void ClusterSimulation::mute_machine(size_t select_slot, double for_s) {
  if (Worker* w = pick_worker(select_slot)) w->mute_until = now_ + for_s;
}
void ClusterSimulation::report_nonsense(const std::string& job, int node) {
  Worker* w = worker_of(job, 0);
  if (!w) return;
  auto heartbeat = snapshot(*w);
  for (auto& t : heartbeat.tasks) t.gathering = true;
  auto stray = heartbeat.tasks.front();
  stray.attempt += 1000;
  stray.task = jobs_.at(job).spec.tasks;  // one more than there are
  heartbeat.tasks.push_back(stray);
  stray.job = "job-nobody";
  heartbeat.tasks.push_back(stray);
  deliver(node, HandleHeartbeat{next_request_++, heartbeat});
}
void ClusterSimulation::keep_report_copies(double for_s) { copies_kept_until_ = now_ + for_s; }
void ClusterSimulation::cancel_at_end(double for_s, double share) {
  ends_until_ = now_ + for_s;
  ends_share_ = share;
}
void ClusterSimulation::close_looks(double for_s) { looks_until_ = now_ + for_s; }
void ClusterSimulation::cancel_some_now(size_t count, double hang_s) {
  for (auto& [id, j] : jobs_) {
    if (count == 0) return;
    if (!j.accepted || j.user_cancelled || j.done_told || running(id) == 0) continue;
    --count;
    cancel_by_user(id);
    for (auto& [machine, w] : workers_)
      if (hang_s > 0 && std::any_of(w.tasks.begin(), w.tasks.end(),
                                    [&job = id](const auto& t) { return t.first.first == job; })) {
        w.hang_until = std::max(w.hang_until, now_ + hang_s);
        break;
      }
  }
}
void ClusterSimulation::cancel_by_user(const std::string& id) {
  jobs_.at(id).user_cancelled = true;
  user_cancel(id, 0, kAnyNode);
}
void ClusterSimulation::delay_report_copies(double for_s, double late_s) {
  copies_until_ = now_ + for_s;
  copies_late_ = late_s;
}

size_t ClusterSimulation::machines_up() const {
  return static_cast<size_t>(std::count_if(workers_.begin(), workers_.end(), [](const auto& w) {
    return w.second.phase == Worker::Phase::up;
  }));
}

}  // namespace rushtrestle::testing
