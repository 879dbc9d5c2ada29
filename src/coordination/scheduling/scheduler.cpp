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
  gang_reservations_.end_if_over(shard);
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
  serve_in_turn(jobs, open_slots);
  if (best_effort_jobs.empty()) return;
  set_expected_room_aside(shard, conditions.cpu_per_gpu, open_slots);
  serve_in_turn(best_effort_jobs, open_slots);
}

// `queue`: the waiting jobs of teams with a guarantee; headroom is kept for no others.
PassConditions Scheduler::pass_conditions(int shard, const std::vector<ShardJob*>& queue) const {
  PassConditions conditions;
  for (const auto& [id, job] : state_.jobs()) {
    const auto& per_task = job.desired.spec.per_task;
    if (per_task.gpus > 0)
      conditions.cpu_per_gpu = std::max(conditions.cpu_per_gpu, per_task.cpus / per_task.gpus);
  }
  for (const auto& forecast : arrival_forecast_.expected(shard))
    keep_headroom_for(conditions.headroom, forecast.shape,
                      forecast.jobs * static_cast<double>(forecast.shape.tasks));
  for (const ShardJob* job : queue) {
    const auto& record = job->desired;
    conditions.production_waits |= !state_.preemptible(record);
    keep_headroom_for(
        conditions.headroom, record.spec,
        record.spec.tasks - record.done.size() - static_cast<double>(record.placed.size()));
  }
  return conditions;
}

// A queue for each team, served in turn by shares: the team that has least of its guarantee is
// next.
void Scheduler::serve_in_turn(const std::vector<ShardJob*>& jobs, std::vector<Slot>& open_slots) {
  std::map<std::string, std::vector<ShardJob*>> queues;  // by team
  for (ShardJob* job : jobs) queues[job->desired.spec.team].push_back(job);
  std::map<std::string, size_t> next;              // by team: the place in its queue
  std::set<std::pair<double, std::string>> turns;  // load and name of teams with jobs left
  for (const auto& [team, queue] : queues) turns.emplace(quotas_.team_load(team), team);
  // Placement classes that did not fit in this pass need not be tried again.
  std::set<std::string> classes_without_room;
  while (!turns.empty()) {
    const std::string team = turns.extract(turns.begin()).value().second;
    const auto& queue = queues[team];
    ShardJob& job = *queue[next[team]++];
    schedule_job(job, open_slots, classes_without_room);
    if (next[team] < queue.size()) turns.emplace(quotas_.team_load(team), team);
  }
}

// Best-effort teams' long work filled the spare room, and a gateway that came after it waited for a
// machine to boot.
void Scheduler::set_expected_room_aside(int shard, double cpu_per_gpu,
                                        std::vector<Slot>& open_slots) const {
  Fit fit;
  fit.cpu_per_gpu = cpu_per_gpu;
  for (const auto& forecast : arrival_forecast_.expected(shard))
    for (int i = 0; i < forecast.jobs; ++i) {
      ZoneCounts zones;
      for (uint32_t task = 0; task < forecast.shape.tasks; ++task) {
        Slot* slot = select_slot(forecast.shape, zones, open_slots, fit);
        if (!slot) break;
        slot->free.add(forecast.shape.per_task, -1);
        zones[*slot->zone]++;
      }
    }
}

void Scheduler::schedule_job(ShardJob& job, std::vector<Slot>& open_slots,
                             std::set<std::string>& classes_without_room) {
  const std::string& id = job.desired.spec.id;
  const std::string placement_class = slot_finder_.placement_class_of(job);
  if (!placement_class.empty() && classes_without_room.count(placement_class)) return;
  const bool has_reservation = open_reserved_room(id, open_slots);
  const Outcome outcome = place(job, open_slots);
  if (has_reservation && outcome == Outcome::placed)
    preemptor_reservations_.remove_job(id);
  else if (has_reservation)
    close_reserved_room(id, open_slots);
  if (outcome == Outcome::no_room && !placement_class.empty())
    classes_without_room.insert(placement_class);
}

// Room reserved for this job counts for it. Reservations on machines that are no more are dropped.
bool Scheduler::open_reserved_room(const std::string& job_id, std::vector<Slot>& open_slots) {
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

void Scheduler::close_reserved_room(const std::string& job_id,
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

// A record that is full, or a write that is, says nothing of the jobs of the same class behind this
// one; only a task that finds no slot does.
Scheduler::Outcome Scheduler::place_tasks(ShardJob& job, std::vector<Slot>& slots) {
  const auto& record = job.desired;
  const auto& spec = record.spec;
  ZoneCounts zones = zones_of(record, state_cache_);
  // Worked out once there is a slot, as most jobs that wait find none.
  std::optional<uint32_t> room_in_record;
  // A large array on many machines was refused as malformed, and set aside for a lease, again and
  // again. What needs more machines than a write takes goes on with the next write.
  const size_t most_machines = limits_.most_new_machines();
  std::set<std::string> machines_to_write = machines_to_be_written(job);
  const size_t most_placed = failures_.on_probation(job) ? 1 : spec.tasks;
  bool any_placed = false;
  bool no_room = false;
  for (uint32_t task = next_pending_task(record, 0);
       task < spec.tasks && room_in_record != 0U && record.placed.size() < most_placed;
       task = next_pending_task(record, task + 1)) {
    if (!quotas_.within_quota(spec.team, spec.per_task)) break;
    Slot* slot = slot_finder_.select_slot_for(job, zones, slots);
    no_room = slot == nullptr;
    if (no_room) break;
    if (!room_in_record) room_in_record = limits_.room_in_record(record);
    if (*room_in_record == 0) break;
    if (!machines_to_write.count(slot->machine) && machines_to_write.size() >= most_machines) break;
    machines_to_write.insert(slot->machine);
    state_.bind(job, task, slot->machine);
    slot->free.add(spec.per_task, -1);
    slot->empty = false;
    zones[*slot->zone]++;
    --*room_in_record;
    any_placed = true;
  }
  if (!any_placed) return no_room ? Outcome::no_room : Outcome::nothing_placed;
  state_.update_pending(job);
  context_.counters["placements"]++;
  job_writer_.enqueue(spec.id, WriteCause::placement);
  return Outcome::placed;
}

// Machines of placements that are not durable yet: the next write is conditioned on each of them.
std::set<std::string> Scheduler::machines_to_be_written(const ShardJob& job) const {
  std::set<std::string> machines;
  const auto* durable = state_cache_.job(job.desired.spec.id);
  for (const auto& placement : job.desired.placed)
    if (!durable || !durable->record.same_placement(placement)) machines.insert(placement.machine);
  return machines;
}

}  // namespace rushtrestle::coordination
