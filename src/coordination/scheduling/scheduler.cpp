#include "coordination/scheduling/scheduler.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace rushtrestle::coordination {

Scheduler::Scheduler(Context& context, store::StateCache& state_cache, ShardState& state,
                     JobRecordWriter& job_writer, const FailureTracker& failures,
                     ImageCaches& images, const ArrivalForecast& arrival_forecast,
                     PreemptorReservations& preemptor_reservations)
    : context_(context),
      state_cache_(state_cache),
      state_(state),
      job_writer_(job_writer),
      failures_(failures),
      arrival_forecast_(arrival_forecast),
      preemptor_reservations_(preemptor_reservations),
      quotas_(context, state),
      limits_(context, state),
      queue_order_(context, state_cache, state),
      gang_reservations_(context, state_cache, state, quotas_, limits_),
      slot_finder_(context, state_cache, state, images, preemptor_reservations, gang_reservations_,
                   quotas_),
      gang_scheduler_(context, state_cache, state, job_writer, queue_order_, slot_finder_, limits_,
                      gang_reservations_) {}

void Scheduler::schedule(int shard) {
  gang_reservations_.remove_if_finished(shard);
  auto jobs = queue_order_.scheduling_queue(shard);
  if (jobs.empty()) return;
  limits_.measure_machine_ids();
  const auto first_best_effort = std::stable_partition(
      jobs.begin(), jobs.end(),
      [&](const ShardJob* job) { return !context_.is_best_effort(job->desired.spec.team); });
  const std::vector<ShardJob*> best_effort_jobs(first_best_effort, jobs.end());
  jobs.erase(first_best_effort, jobs.end());
  const PassConditions conditions = pass_conditions(shard, jobs);
  slot_finder_.begin_pass(conditions);
  auto open_slots = slot_finder_.slots(shard);
  schedule_by_fair_share(jobs, open_slots);
  if (best_effort_jobs.empty()) return;
  set_aside_forecast_capacity(shard, conditions.cpu_per_gpu, open_slots);
  schedule_by_fair_share(best_effort_jobs, open_slots);
}

// `queue` holds the waiting jobs of teams with a guarantee; headroom is kept only for these jobs
// and for forecast arrivals.
PassConditions Scheduler::pass_conditions(int shard, const std::vector<ShardJob*>& queue) const {
  PassConditions conditions;
  for (const auto& [id, job] : state_.jobs()) {
    const auto& per_task = job.desired.spec.per_task;
    if (per_task.gpus > 0)
      conditions.cpu_per_gpu = std::max(conditions.cpu_per_gpu, per_task.cpus / per_task.gpus);
  }
  for (const auto& forecast : arrival_forecast_.expected_arrivals(shard))
    add_to_headroom(conditions.headroom, forecast.shape,
                    forecast.jobs * static_cast<double>(forecast.shape.tasks));
  for (const ShardJob* job : queue) {
    const auto& record = job->desired;
    conditions.non_preemptible_job_waits |= !state_.preemptible(record);
    add_to_headroom(
        conditions.headroom, record.spec,
        record.spec.tasks - record.done.size() - static_cast<double>(record.placed.size()));
  }
  return conditions;
}

// Schedules the jobs from one queue per team, by fair share: the next job is taken from the team
// with the lowest load (`TeamQuotas::team_load`), usually the one that uses least of its guarantee.
void Scheduler::schedule_by_fair_share(const std::vector<ShardJob*>& jobs,
                                       std::vector<Slot>& open_slots) {
  std::map<std::string, std::vector<ShardJob*>> queues;  // by team
  for (ShardJob* job : jobs) queues[job->desired.spec.team].push_back(job);
  std::map<std::string, size_t> next_job;  // by team: index of the next job in its queue
  // Load and name of each team with jobs left.
  std::set<std::pair<double, std::string>> teams_by_load;
  for (const auto& [team, queue] : queues) teams_by_load.emplace(quotas_.team_load(team), team);
  // A placement class that did not fit is not tried again in this pass.
  std::set<std::string> classes_that_do_not_fit;
  while (!teams_by_load.empty()) {
    const std::string team = teams_by_load.extract(teams_by_load.begin()).value().second;
    const auto& queue = queues[team];
    ShardJob& job = *queue[next_job[team]++];
    schedule_job(job, open_slots, classes_that_do_not_fit);
    if (next_job[team] < queue.size()) teams_by_load.emplace(quotas_.team_load(team), team);
  }
}

// Subtracts the resources of forecast arrivals from the slots before best-effort jobs are placed.
// Otherwise long best-effort jobs fill the spare capacity, and a gateway submitted after them waits
// for a machine to boot.
void Scheduler::set_aside_forecast_capacity(int shard, double cpu_per_gpu,
                                            std::vector<Slot>& open_slots) const {
  PlacementConstraints constraints;
  constraints.cpu_per_gpu = cpu_per_gpu;
  for (const auto& forecast : arrival_forecast_.expected_arrivals(shard))
    for (int i = 0; i < forecast.jobs; ++i) {
      ZoneCounts zones;
      for (uint32_t task = 0; task < forecast.shape.tasks; ++task) {
        Slot* slot = select_slot(forecast.shape, zones, open_slots, constraints);
        if (!slot) break;
        slot->free.add(forecast.shape.per_task, -1);
        zones[*slot->zone]++;
      }
    }
}

void Scheduler::schedule_job(ShardJob& job, std::vector<Slot>& open_slots,
                             std::set<std::string>& classes_that_do_not_fit) {
  const std::string& id = job.desired.spec.id;
  const std::string placement_class = slot_finder_.placement_class_of(job);
  if (!placement_class.empty() && classes_that_do_not_fit.count(placement_class)) return;
  const bool has_reservation = add_reserved_room(id, open_slots);
  const Outcome outcome = place(job, open_slots);
  if (has_reservation && outcome == Outcome::placed)
    preemptor_reservations_.remove_job(id);
  else if (has_reservation)
    subtract_reserved_room(id, open_slots);
  if (outcome == Outcome::no_room && !placement_class.empty())
    classes_that_do_not_fit.insert(placement_class);
}

// Adds the resources reserved for this job to the slots. Removes its reservations on machines that
// no longer exist in the shards of this controller. Returns true if the job had a reservation.
bool Scheduler::add_reserved_room(const std::string& job_id, std::vector<Slot>& open_slots) {
  bool has_reservation = false;
  for (const auto& reservation : preemptor_reservations_.all()) {
    if (reservation.job != job_id) continue;
    has_reservation = true;
    for (auto& slot : open_slots)
      if (slot.machine == reservation.machine) slot.free.add(reservation.room);
  }
  if (has_reservation)
    preemptor_reservations_.remove_if([&](const PreemptorReservation& reservation) {
      return reservation.job == job_id && state_.find_machine(reservation.machine) == nullptr;
    });
  return has_reservation;
}

// Subtracts the resources reserved for this job from the slots again.
void Scheduler::subtract_reserved_room(const std::string& job_id,
                                       std::vector<Slot>& open_slots) const {
  for (const auto& reservation : preemptor_reservations_.all()) {
    if (reservation.job != job_id) continue;
    for (auto& slot : open_slots)
      if (slot.machine == reservation.machine) slot.free.add(reservation.room, -1);
  }
}

Scheduler::Outcome Scheduler::place(ShardJob& job, std::vector<Slot>& slots) {
  if (job.desired.spec.kind != store::JobKind::gang) return place_tasks(job, slots);
  return gang_scheduler_.place(job, slots) ? Outcome::placed : Outcome::nothing_placed;
}

// Returns `no_room` only if a task found no slot. A full record or a full write says nothing about
// later jobs of the same placement class.
Scheduler::Outcome Scheduler::place_tasks(ShardJob& job, std::vector<Slot>& slots) {
  const auto& record = job.desired;
  const auto& spec = record.spec;
  ZoneCounts zones = zones_of(record, state_cache_);
  // The limit is computed only after a slot was found, as most waiting jobs find none.
  std::optional<uint32_t> max_new_placements;
  // A write that places tasks on too many machines is refused as malformed; without this limit, a
  // large array was refused and then held back for a lease duration, repeatedly. The tasks that
  // need more machines than one write allows are placed with the next write.
  const size_t max_machines = limits_.max_new_machines_per_write();
  std::set<std::string> machines_to_write = machines_of_unwritten_placements(job);
  const size_t max_placed = failures_.limited_to_one_task(job) ? 1 : spec.tasks;
  bool any_placed = false;
  bool no_room = false;
  for (uint32_t task = next_pending_task(record, 0);
       task < spec.tasks && max_new_placements != 0U && record.placed.size() < max_placed;
       task = next_pending_task(record, task + 1)) {
    if (!quotas_.within_quota(spec.team, spec.per_task)) break;
    Slot* slot = slot_finder_.select_slot_for(job, zones, slots);
    no_room = slot == nullptr;
    if (no_room) break;
    if (!max_new_placements) max_new_placements = limits_.max_new_placements(record);
    if (*max_new_placements == 0) break;
    if (!machines_to_write.count(slot->machine) && machines_to_write.size() >= max_machines) break;
    machines_to_write.insert(slot->machine);
    state_.bind(job, task, slot->machine);
    slot->free.add(spec.per_task, -1);
    slot->empty = false;
    zones[*slot->zone]++;
    --*max_new_placements;
    any_placed = true;
  }
  if (!any_placed) return no_room ? Outcome::no_room : Outcome::nothing_placed;
  state_.update_pending(job);
  context_.counters["placements"]++;
  job_writer_.enqueue(spec.id, WriteCause::placement);
  return Outcome::placed;
}

// Returns the machines of placements that are not durable yet. The next write of the job has a
// condition on each of them.
std::set<std::string> Scheduler::machines_of_unwritten_placements(const ShardJob& job) const {
  std::set<std::string> machines;
  const auto* durable = state_cache_.job(job.desired.spec.id);
  for (const auto& placement : job.desired.placed)
    if (!durable || !durable->record.same_placement(placement)) machines.insert(placement.machine);
  return machines;
}

}  // namespace rushtrestle::coordination
