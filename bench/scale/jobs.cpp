#include "jobs.h"

namespace rushtrestle::scale {

namespace {
const char* rank_name(store::Rank rank) {
  static constexpr const char* kNames[] = {"idle", "normal", "urgent", "prod"};
  return kNames[static_cast<size_t>(rank)];
}
}  // namespace

Job& JobTracker::add(store::JobSpec spec, std::vector<double> run_s, double now) {
  Job& job = jobs_[spec.id];
  job.submitted_at = now;
  job.saved.assign(spec.tasks, 0);
  job.started.assign(spec.tasks, false);
  job.completed.assign(spec.tasks, false);
  job.run_s = std::move(run_s);
  job.spec = std::move(spec);
  return job;
}

Job* JobTracker::find(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

void JobTracker::add_violation(const std::string& rule, const std::string& what) {
  violations.push_back(rule + ": " + what);
}

void JobTracker::check_location(const Job& job, const StartLocation& place) {
  const auto& spec = job.spec;
  const bool zone_allowed = !spec.zone || *spec.zone == place.zone;
  if (!zone_allowed || (place.spot && !spec.spot))
    add_violation("wrong_place", spec.id + " on " + place.machine);
  const auto zone = job.zones.find(place.zone);
  if (spec.spread && zone != job.zones.end() &&
      zone->second > static_cast<int>((spec.tasks + 1) / 2))
    add_violation("wrong_place", spec.id + " is not spread");
}

void JobTracker::task_on_machine(Job& job, uint32_t task, const StartLocation& place, double now) {
  const auto& spec = job.spec;
  const auto elsewhere = job.on_machine.find(task);
  if (elsewhere != job.on_machine.end())
    add_violation("ran_twice", spec.id + "/" + std::to_string(task) + " on " + elsewhere->second +
                                   " and " + place.machine);
  job.on_machine[task] = place.machine;
  ++job.zones[place.zone];
  check_location(job, place);
  auto& used = team_used_[spec.team];
  used.add(spec.per_task);
  if (used.cpus > experiment_.team_cpus_max + store::Resources::kSlack)
    add_violation("quota", spec.team);
  if (job.cancel_seen_at >= 0 && now - job.cancel_seen_at > experiment_.platform.cancel_s)
    add_violation("ran_cancelled", spec.id + " starts");
  ++running_tasks;
  ++starts;
  start_times.push_back(now);
  if (job.started[task]) return;
  job.started[task] = true;
  start_waits[rank_name(spec.rank)].push_back(
      now - (job.accepted_at >= 0 ? job.accepted_at : job.submitted_at));
}

void JobTracker::task_off_machine(Job& job, uint32_t task, const std::string& machine,
                                  const std::string& zone) {
  const auto it = job.on_machine.find(task);
  if (it == job.on_machine.end() || it->second != machine) return;
  job.on_machine.erase(it);
  --job.zones[zone];
  team_used_[job.spec.team].add(job.spec.per_task, -1);
  --running_tasks;
}

void JobTracker::task_completed(Job& job, uint32_t task, double now) {
  if (job.completed[task]) return;
  job.completed[task] = true;
  if (++job.completed_tasks == job.spec.tasks) job.completed_at = now;
}

void JobTracker::check_answer(Job& job, int status, const std::string& state,
                              bool sent_after_cancel, bool sent_after_done, double now) {
  const auto& id = job.spec.id;
  if (status == 404 && job.accepted_at >= 0) add_violation("forgotten", id + " gets 404");
  if (status != 200) return;
  if (state == "done") {
    if (job.completed_tasks < job.spec.tasks) add_violation("not_done", id);
    if (sent_after_cancel) add_violation("went_back", id + " cancelled, then done");
    if (job.done_seen_at < 0) job.done_seen_at = now;
  } else if (state == "withdrawn") {
    if (!job.cancel_asked) add_violation("went_back", id + " cancelled without a request");
    if (job.cancel_seen_at < 0) job.cancel_seen_at = now;
    if (!job.on_machine.empty()) cancelled_.insert(id);
  } else if (sent_after_cancel || sent_after_done) {
    add_violation("went_back", id + " is " + state + " again");
  }
}

void JobTracker::check_unknown_job_answer(int status) {
  if (status == 200) add_violation("invented", "a job that was never submitted gets 200");
}

void JobTracker::check_cancelled(double now) {
  for (auto it = cancelled_.begin(); it != cancelled_.end();) {
    const Job& job = jobs_.at(*it);
    if (!job.on_machine.empty() && now - job.cancel_seen_at > experiment_.platform.cancel_s)
      add_violation("ran_cancelled", *it);
    it = job.on_machine.empty() ? cancelled_.erase(it) : std::next(it);
  }
}

}  // namespace rushtrestle::scale
