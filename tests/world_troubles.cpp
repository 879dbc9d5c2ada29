// Troubles of single machines, and cancellations at inconvenient moments.
#include <algorithm>

#include "world.h"

namespace rushtrestle::testing {

World::Worker* World::pick_worker(size_t pick) {
  std::vector<Worker*> up;
  for (auto& [id, w] : workers_)
    if (w.phase == Worker::Phase::up) up.push_back(&w);
  return up.empty() ? nullptr : up[pick % up.size()];
}

void World::kill_machine(size_t pick) {
  if (Worker* w = pick_worker(pick)) {
    w->phase = Worker::Phase::dead;
    w->tasks.clear();
  }
}
void World::kill_zone(const std::string& zone) {
  for (auto& [id, w] : workers_) {
    if (w.zone != zone || w.phase != Worker::Phase::up) continue;
    w.phase = Worker::Phase::dead;
    w.tasks.clear();
  }
}
World::Worker* World::worker_of(const std::string& job, size_t nth) {
  for (auto& [id, w] : workers_) {
    const bool has_it =
        std::any_of(w.tasks.begin(), w.tasks.end(), [&](const auto& entry) { return entry.first.first == job; });
    if (has_it && w.phase == Worker::Phase::up && nth-- == 0) return &w;
  }
  return nullptr;
}
void World::kill_machine_of(const std::string& job) {
  if (Worker* w = worker_of(job, 0)) {
    w->phase = Worker::Phase::dead;
    w->tasks.clear();
  }
}
void World::cut_machine_of(const std::string& job, size_t nth, double for_s) {
  if (Worker* w = worker_of(job, nth)) cut("*", w->id, for_s, false);
}
void World::sicken_machine_of(const std::string& job, double for_s) {
  if (Worker* w = worker_of(job, 0)) w->sick_until = now_ + for_s;
}
void World::kill_owner_of(const std::string& job, double back_after_s) {
  if (const auto n = owner_of(job)) kill_node(*n, back_after_s);
}
std::optional<int> World::owner_of(const std::string& job) const {
  // Teams, sorted by name, are dealt over the parts.
  std::set<std::string> teams;
  for (const auto& t : settings_.teams) teams.insert(t.name);
  const auto place = std::distance(teams.begin(), teams.find(jobs_.at(job).spec.team));
  const Json* holder = stored(store::part_key(static_cast<int>(place) % options_.nodes));
  for (int n = 0; holder && n < options_.nodes; ++n)
    if (node_name(n) == holder->at("node").get<std::string>()) return n;
  return std::nullopt;
}
void World::take_machine_of(const std::string& job, double notice_s) {
  Worker* w = worker_of(job, 0);
  if (!w) return;
  w->taken_at = now_ + notice_s;
  w->next_report = now_;
  at(*w->taken_at, [this, machine = w->id] { workers_.erase(machine); });
}
size_t World::placed(const std::string& job) const {
  const Json* record = stored("job/" + job);
  return record && record->contains("placed") ? (*record)["placed"].size() : 0;
}
void World::hang_machine(size_t pick, double for_s) {
  if (Worker* w = pick_worker(pick)) w->hang_until = now_ + for_s;
}
void World::sick_machine(size_t pick, double for_s) {
  if (Worker* w = pick_worker(pick)) w->sick_until = now_ + for_s;
}
void World::cut_machine(size_t pick, double for_s, bool hold, bool only_inbound) {
  if (Worker* w = pick_worker(pick)) cut("*", w->id, for_s, hold, only_inbound);
}
void World::mute_machine(size_t pick, double for_s) {
  if (Worker* w = pick_worker(pick)) w->mute_until = now_ + for_s;
}
void World::report_nonsense(const std::string& job, int node) {
  Worker* w = worker_of(job, 0);
  if (!w) return;
  auto report = snapshot(*w);
  for (auto& t : report.tasks) t.gathering = true;
  auto stray = report.tasks.front();
  stray.attempt += 1000;
  stray.task = jobs_.at(job).spec.tasks;  // one more than there are
  report.tasks.push_back(stray);
  stray.job = "job-nobody";
  report.tasks.push_back(stray);
  deliver(node, TakeReport{next_request_++, report});
}
void World::keep_report_copies(double for_s) { copies_kept_until_ = now_ + for_s; }
void World::cancel_at_end(double for_s, double share) {
  ends_until_ = now_ + for_s;
  ends_share_ = share;
}
void World::close_looks(double for_s) { looks_until_ = now_ + for_s; }
void World::cancel_some_now(size_t count, double hang_s) {
  for (auto& [id, j] : jobs_) {
    if (count == 0) return;
    if (!j.accepted || j.user_cancelled || j.done_told || running(id) == 0) continue;
    --count;
    called_off(id);
    for (auto& [machine, w] : workers_)
      if (hang_s > 0 &&
          std::any_of(w.tasks.begin(), w.tasks.end(), [&job = id](const auto& t) { return t.first.first == job; })) {
        w.hang_until = std::max(w.hang_until, now_ + hang_s);
        break;
      }
  }
}
void World::called_off(const std::string& id) {
  jobs_.at(id).user_cancelled = true;
  user_cancel(id, 0, kAnyNode);
}
void World::delay_report_copies(double for_s, double late_s) {
  copies_until_ = now_ + for_s;
  copies_late_ = late_s;
}

size_t World::machines_up() const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(), [](const auto& w) { return w.second.phase == Worker::Phase::up; }));
}

}  // namespace rushtrestle::testing
