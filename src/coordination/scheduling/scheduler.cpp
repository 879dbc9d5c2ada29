#include "coordination/scheduling/scheduler.h"

#include <algorithm>
#include <tuple>

#include "coordination/scheduling/best_effort.h"
#include "coordination/scheduling/gang_lifecycle.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;
using store::Placement;

namespace {
// Long enough for most work that ends by itself to end.
constexpr double kGangReservationSeconds = 120;
}  // namespace

std::vector<Slot> Scheduler::slots(int shard) const {
  std::vector<Slot> out;
  for (const auto& [id, m] : state_.machines()) {
    const auto* record = state_cache_.machine(id);
    if (m.shard != shard || !record || !record->record.usable() || !m.known || m.quarantined() ||
        m.notice_s || m.marking_for_deletion || m.record_write_queued ||
        m.commands_failing_since > 0 || !state_.sends_heartbeats(m))
      continue;
    const auto* type = state_cache_.type(record->record.type);
    if (!type) continue;
    store::Resources free = type->size;
    free.add(m.used, -1);
    for (const auto& p : preemptor_reservations_.all())
      if (p.machine == id) free.add(p.room, -1);
    out.push_back({id, type, shared_zone(*type, record->record.zone), record->record.spot, free,
                   m.placed.empty(), m.non_preemptible > 0, images_.of(id)});
  }
  return out;
}

ZoneCounts Scheduler::zones_of(const JobRecord& r) const {
  ZoneCounts zones;
  for (const auto& p : r.placed)
    if (const auto* m = state_cache_.machine(p.machine)) zones[m->record.zone]++;
  return zones;
}

Fit Scheduler::placement_request_for(const ShardJob& j) const {
  Fit fit;
  fit.cpu_per_gpu = cpu_per_gpu_;
  fit.images = &images_;
  fit.avoid = &j.avoid;
  if (const GangReservation* hold = reservation_against(j)) fit.held = &hold->machines;
  fit.reserve = headroom_;
  fit.spot_only =
      production_waits_ && can_wait_for_spot(j.desired, context_.settings, context_.wall);
  fit.idle_room_only = takes_idle_room_only(j.desired, context_);
  const double within = start_within_s(j.desired.spec, context_.settings);
  if (context_.wall - j.desired.submitted < within) fit.start_within_s = within;
  return fit;
}

// CPUs beside free GPUs are kept for work with GPUs only as long as there are others, and only
// where that does not make a start late for its image: where CPUs are what is short, an idle GPU
// costs less than a service that is down.
Slot* Scheduler::select_slot_for(const ShardJob& j, const ZoneCounts& zones,
                                 std::vector<Slot>& slots) const {
  Fit fit = placement_request_for(j);
  const auto& spec = j.desired.spec;
  const auto late = [&](const Slot& s) {
    return fit.start_within_s > 0 && !images_.has(s.machine, spec.image) &&
           spec.image_gb / std::max(0.01, s.type->fetch_gb_per_s) > fit.start_within_s / 2;
  };
  Slot* slot = select_slot(spec, zones, slots, fit);
  if (spec.per_task.gpus > 0 || (slot && !late(*slot))) return slot;
  fit.strand_gpus = true;
  Slot* other = select_slot(spec, zones, slots, fit);
  return !slot || (other && !late(*other)) ? other : slot;
}

bool Scheduler::within_quota(const std::string& team, const store::Resources& more) const {
  const auto* t = context_.team(team);
  if (!t) return false;
  store::Resources used = more;
  const auto it = state_.team_usage().find(team);
  if (it != state_.team_usage().end()) used.add(it->second);
  return used.cpus <= t->quota.cpus + store::Resources::kSlack &&
         used.gpus <= t->quota.gpus + store::Resources::kSlack;
}

namespace {
size_t digits(uint64_t n) { return std::to_string(n).size(); }
}  // namespace

// A record must stay below value_kb: the number of tasks placed at once is bound by it, and since
// the lowest tasks start first, so is the number of holes among the done ones. What a task's end
// adds is less than its placement took.
uint32_t Scheduler::placement_room(const JobRecord& r) const {
  constexpr size_t kAddedLater =
      160;  // the times of the last start and of the cooldown, and the writer's mark
  constexpr size_t kPunctuation =
      13;  // of [1, "n-000001", 1, 0] and the comma after it, beside its values
  const size_t placement =
      kPunctuation + digits(r.spec.tasks) + longest_machine_id_ + digits(r.attempts + r.spec.tasks);
  const size_t taken = store::stored_size(to_json(r)) + kAddedLater;
  const auto limit = static_cast<size_t>(context_.settings.value_kb * 1024);
  if (taken < limit) return static_cast<uint32_t>((limit - taken) / placement);
  return r.placed.empty() ? 1 : 0;  // however long its description, one task at a time
}

size_t Scheduler::longest_machine_id() const {
  size_t longest = 0;
  for (const auto& [id, m] : state_.machines()) longest = std::max(longest, id.size());
  return longest;
}

uint32_t Scheduler::next_pending(const JobRecord& r, uint32_t from) const {
  for (uint32_t t = r.done.first_missing(from); t < r.spec.tasks; t = r.done.first_missing(t + 1))
    if (!r.placement_of(t)) return t;
  return r.spec.tasks;
}

std::vector<ShardJob*> Scheduler::scheduling_queue(int shard) {
  struct Entry {
    store::Rank rank;
    int group;
    double due;
    ShardJob* job;
  };
  std::vector<Entry> entries;
  for (const auto& id : state_.pending_jobs()) {
    ShardJob& j = state_.jobs().at(id);
    const auto* durable = state_cache_.job(id);
    if (j.shard != shard || context_.now < j.retry_at || !durable ||
        durable->record.status != JobStatus::open)
      continue;
    if (context_.now > j.avoid_until) j.avoid.clear();
    const int group = queue_group(j.desired);
    if (!j.due_after_s) j.due_after_s = due_after_s(j.desired.spec, context_.settings);
    entries.push_back(
        {j.desired.spec.rank, group, j.desired.submitted + (group == 1 ? *j.due_after_s : 0), &j});
  }
  // Stable: by id in the end, as the set is.
  std::stable_sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    if (a.rank != b.rank) return a.rank > b.rank;
    return std::tie(a.group, a.due) < std::tie(b.group, b.due);
  });
  std::vector<ShardJob*> out;
  out.reserve(entries.size());
  for (const auto& e : entries) out.push_back(e.job);
  return out;
}

// Within a rank: what has waited too long to begin at all, then by deadline or age what can
// still be in time, last what can't be (it would only make others late, too).
int Scheduler::queue_group(const JobRecord& r) const {
  if (starves(r, context_.wall)) return 0;
  if (r.spec.deadline_s && context_.wall + r.spec.estimate_s > r.submitted + *r.spec.deadline_s)
    return 2;
  return 1;
}

void Scheduler::set_headroom_for_arrivals(int shard,
                                          const std::vector<ShardJob*>& scheduling_queue) {
  headroom_ = {};
  production_waits_ = false;
  for (const auto& f : arrival_forecast_.expected(shard))
    keep_headroom_for(headroom_, f.shape, f.jobs * static_cast<double>(f.shape.tasks));
  for (const ShardJob* j : scheduling_queue) {
    const auto& r = j->desired;
    production_waits_ |= !state_.preemptible(r);
    keep_headroom_for(headroom_, r.spec,
                      r.spec.tasks - r.done.size() - static_cast<double>(r.placed.size()));
  }
}

// Every member that is placed was reported as waiting by a machine that still reports. One that was
// lost at the very moment of the start leaves the others running: a replacement would wait in vain.
// The loss is known only after a silence that is longer than heartbeats are apart, so the others
// have told of their start by then.
bool Scheduler::all_gathering(const ShardJob& j) {
  return std::all_of(j.desired.placed.begin(), j.desired.placed.end(), [&](const Placement& p) {
    const ShardMachine* m = state_.find_machine(p.machine);
    return m && m->known && state_.sends_heartbeats(*m) &&
           std::any_of(m->reported.begin(), m->reported.end(), [&](const ReportedTask& t) {
             return t.job == j.desired.spec.id && t.task == p.task && t.attempt == p.attempt &&
                    t.state == TaskState::fetching;
           });
  });
}

namespace {
size_t machines_of(const PlannedRoom& room) {
  std::set<std::string> machines;
  for (const auto& [machine, resources] : room) machines.insert(machine);
  return machines.size();
}
}  // namespace

const GangReservation* Scheduler::reservation_against(const ShardJob& j) const {
  const auto it = gang_reservations_.find(j.shard);
  return it != gang_reservations_.end() && it->second.keeps_out(j.desired.spec) ? &it->second
                                                                                : nullptr;
}

// A hold that has not helped in its time gives way to others for as long.
void Scheduler::end_gang_reservation(int shard) {
  const auto it = gang_reservations_.find(shard);
  if (it == gang_reservations_.end() ||
      (state_.pending_jobs().count(it->second.job) && context_.now < it->second.until))
    return;
  if (context_.now >= it->second.until)
    next_gang_reservation_[shard] = context_.now + kGangReservationSeconds;
  gang_reservations_.erase(it);
}

void Scheduler::reserve_for_gang(const ShardJob& j) {
  if (gang_reservations_.count(j.shard) || context_.now < next_gang_reservation_[j.shard] ||
      !gang_within_quota(j))
    return;
  std::vector<RoomToCome> room;
  for (const auto& [id, m] : state_.machines()) {
    const auto* record = state_cache_.machine(id);
    const auto* type = record ? state_cache_.type(record->record.type) : nullptr;
    if (m.shard != j.shard || !type || !record->record.usable() || !m.known || m.quarantined() ||
        !state_.sends_heartbeats(m))
      continue;
    RoomToCome r{id, record->record.zone, record->record.type, record->record.spot, type->size};
    for (const auto& [key, attempt] : m.placed) {
      const auto& spec = state_.jobs().at(key.first).desired.spec;
      if (spec.kind == JobKind::service) r.room.add(spec.per_task, -1);
    }
    room.push_back(std::move(r));
  }
  auto machines =
      machines_to_reserve(j.desired.spec, room, context_.settings.zones, most_new_machines());
  if (machines.empty()) return;
  context_.counters["gang_holds"]++;
  context_.info(std::to_string(machines.size()) + " machines are held for gang " +
                j.desired.spec.id);
  gang_reservations_[j.shard] = {j.desired.spec.id, j.desired.spec.rank, std::move(machines),
                                 context_.now + kGangReservationSeconds};
}

bool Scheduler::gang_within_quota(const ShardJob& j) const {
  store::Resources all;
  all.add(j.desired.spec.per_task, j.desired.spec.tasks);
  return within_quota(j.desired.spec.team, all);
}

bool Scheduler::fits_whole(const ShardJob& preemptor, std::vector<Slot>& picture,
                           PlannedRoom* used) const {
  const ZoneCounts zones = zones_of(preemptor.desired);
  if (!preemptor.desired.spec.one_zone || preemptor.desired.spec.zone || !zones.empty())
    return fits_whole_beside(preemptor, zones, picture, used);
  // The first task's place decides the zone; what is best for it alone may have no room for the
  // rest.
  ShardJob bound = preemptor;
  for (const auto& zone : context_.settings.zones) {
    bound.desired.spec.zone = zone;
    if (fits_whole_beside(bound, zones, picture, used)) return true;
    if (used) used->clear();
  }
  return false;
}

bool Scheduler::fits_whole_beside(const ShardJob& preemptor, ZoneCounts zones,
                                  std::vector<Slot>& picture, PlannedRoom* used) const {
  const uint32_t need = preemptor.desired.spec.tasks - preemptor.desired.done.size() -
                        static_cast<uint32_t>(preemptor.desired.placed.size());
  store::Resources more;
  std::vector<std::pair<Slot*, store::Resources>> before;
  bool fits = true;
  for (uint32_t i = 0; i < need && fits; ++i) {
    more.add(preemptor.desired.spec.per_task);
    Slot* slot = within_quota(preemptor.desired.spec.team, more)
                     ? select_slot_for(preemptor, zones, picture)
                     : nullptr;
    fits = slot != nullptr;
    if (!fits) break;
    before.emplace_back(slot, slot->free);
    slot->free.add(preemptor.desired.spec.per_task, -1);
    zones[*slot->zone]++;
    if (used) used->emplace_back(slot->machine, preemptor.desired.spec.per_task);
  }
  // Rolled back, to the bit: the picture serves the next trial, too.
  for (auto it = before.rbegin(); it != before.rend(); ++it) it->first->free = it->second;
  return fits;
}

// All in one write, with a condition for each machine. The best places may be on more machines than
// a transaction takes conditions for: then on as few as can be, or a gang in a fleet with little
// room on each machine would wait for ever.
PlannedRoom Scheduler::room_for_gang(const ShardJob& j, uint32_t need,
                                     std::vector<Slot>& slots) const {
  PlannedRoom best;
  if (!fits_whole(j, slots, &best)) return {};
  if (machines_of(best) <= most_new_machines()) return best;
  if (j.desired.spec.spread || reservation_against(j)) return {};
  store::JobSpec bound = j.desired.spec;
  const ZoneCounts zones = zones_of(j.desired);
  for (const auto& zone : context_.settings.zones) {
    if (bound.one_zone && !zone_allowed(j.desired.spec, zone, zones)) continue;
    if (bound.one_zone) bound.zone = zone;
    PlannedRoom packed = bin_pack(bound, need, slots, j.avoid);
    if (!packed.empty() && machines_of(packed) <= most_new_machines()) return packed;
    if (!bound.one_zone) break;
  }
  return {};
}

// All that is missing or nothing: a whole attempt, or replacements for members that are known to be
// gone.
bool Scheduler::place_gang(const std::string& id, ShardJob& j, std::vector<Slot>& slots) {
  const auto& placed = j.desired.placed;
  const GangPhase phase = gang_phase(j.desired);
  const bool may_join =
      phase == GangPhase::idle || (phase == GangPhase::gathering && all_gathering(j));
  if (!may_join) return false;
  const uint32_t need = j.desired.spec.tasks - static_cast<uint32_t>(placed.size());
  // No word on the shape: a smaller gang of the same class may fit where this one does not.
  if (placement_room(j.desired) < need) return false;
  const PlannedRoom used = room_for_gang(j, need, slots);
  if (used.empty()) {
    if (queue_group(j.desired) == 0) reserve_for_gang(j);
    return false;
  }
  uint32_t task = next_pending(j.desired, 0);
  for (const auto& [machine, room] : used) {
    state_.bind(j, task, machine);
    for (auto& slot : slots) {
      if (slot.machine != machine) continue;
      slot.free.add(room, -1);
      slot.empty = false;
    }
    task = next_pending(j.desired, task + 1);
  }
  state_.update_pending(j);
  context_.counters["placements"]++;
  job_writer_.enqueue(id, WriteCause::placement);
  return true;
}

bool Scheduler::place_some(const std::string& id, ShardJob& j, std::vector<Slot>& slots,
                           bool& no_room) {
  if (j.desired.spec.kind == JobKind::gang) return place_gang(id, j, slots);
  ZoneCounts zones = zones_of(j.desired);
  std::optional<uint32_t>
      room;  // in the record; worked out once there is a place, as most that wait find none
  // A placement is conditioned on its machine's record, and a transaction takes four conditions an
  // operation: a large array on many machines was refused as malformed, and set aside for a lease,
  // again and again. What needs more machines goes on with the next write; the job's and the
  // shard's keys count, too.
  const size_t most_machines = most_new_machines();
  std::set<std::string> unwritten;
  const auto* durable = state_cache_.job(id);
  for (const auto& p : j.desired.placed)
    if (!durable || !durable->record.same_placement(p)) unwritten.insert(p.machine);
  const size_t most_placed = failures_.on_probation(j) ? 1 : j.desired.spec.tasks;
  bool any = false;
  for (uint32_t t = next_pending(j.desired, 0);
       t < j.desired.spec.tasks && room != 0U && j.desired.placed.size() < most_placed;
       t = next_pending(j.desired, t + 1)) {
    if (!within_quota(j.desired.spec.team, j.desired.spec.per_task)) break;
    Slot* slot = select_slot_for(j, zones, slots);
    no_room = slot == nullptr;
    if (no_room) break;
    if (!room) room = placement_room(j.desired);
    if (*room == 0) break;
    if (!unwritten.count(slot->machine) && unwritten.size() >= most_machines) break;
    unwritten.insert(slot->machine);
    state_.bind(j, t, slot->machine);
    slot->free.add(j.desired.spec.per_task, -1);
    slot->empty = false;
    zones[*slot->zone]++;
    --*room;
    any = true;
  }
  if (any) {
    state_.update_pending(j);
    context_.counters["placements"]++;
    job_writer_.enqueue(id, WriteCause::placement);
  }
  return any;
}

// Jobs of the same placement class fit or don't fit alike. Empty: this one is like no other.
std::string Scheduler::placement_class_of(ShardJob& j) const {
  if (!j.avoid.empty()) return "";
  const auto& s = j.desired.spec;
  // Once a job: written anew for each job in each pass it was a quarter of a pass with thousands
  // waiting.
  if (j.placement_shape.empty())
    j.placement_shape = s.job_class + "|" + s.team + "|" + placement_shape(s);
  std::string result = j.placement_shape;
  if (can_wait_for_spot(j.desired, context_.settings, context_.wall)) result += "|w";
  if (takes_idle_room_only(j.desired, context_)) result += "|i";
  if (s.spread || s.one_zone) result += zones_shape(zones_of(j.desired));
  return result;
}

void Scheduler::schedule(int shard) {
  end_gang_reservation(shard);
  auto jobs = scheduling_queue(shard);
  if (jobs.empty()) return;
  longest_machine_id_ = longest_machine_id();
  cpu_per_gpu_ = 0;
  for (const auto& [id, j] : state_.jobs())
    if (j.desired.spec.per_task.gpus > 0)
      cpu_per_gpu_ =
          std::max(cpu_per_gpu_, j.desired.spec.per_task.cpus / j.desired.spec.per_task.gpus);
  const auto first_guest = std::stable_partition(jobs.begin(), jobs.end(), [&](const ShardJob* j) {
    return !context_.is_best_effort(j->desired.spec.team);
  });
  const std::vector<ShardJob*> guests(first_guest, jobs.end());
  jobs.erase(first_guest, jobs.end());
  set_headroom_for_arrivals(shard, jobs);
  auto open_slots = slots(shard);
  serve_in_turn(jobs, open_slots);
  if (guests.empty()) return;
  set_expected_room_aside(shard, open_slots);
  serve_in_turn(guests, open_slots);
}

// A queue for each team, served in turn by shares: who has least of its guarantee is next.
void Scheduler::serve_in_turn(const std::vector<ShardJob*>& jobs, std::vector<Slot>& open_slots) {
  std::map<std::string, std::vector<ShardJob*>> queues;
  for (ShardJob* j : jobs) queues[j->desired.spec.team].push_back(j);
  std::map<std::string, size_t> next;
  std::set<std::pair<double, std::string>> turns;  // load and name of those with jobs left
  for (const auto& [name, queue] : queues) turns.emplace(team_load(name), name);
  // Placement classes that did not fit in this pass need not be tried again.
  std::set<std::string> without_room;
  while (!turns.empty()) {
    const std::string team = turns.extract(turns.begin()).value().second;
    const auto& queue = queues[team];
    ShardJob& j = *queue[next[team]++];
    schedule_job(j, open_slots, without_room);
    if (next[team] < queue.size()) turns.emplace(team_load(team), team);
  }
}

// Best-effort teams' long work filled the spare room, and a gateway that came after it waited for a
// machine to boot.
void Scheduler::set_expected_room_aside(int shard, std::vector<Slot>& open_slots) const {
  Fit fit;
  fit.cpu_per_gpu = cpu_per_gpu_;
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

// What the team uses, as a part of its guarantee and by its share; best-effort teams among
// themselves, by what they use.
double Scheduler::team_load(const std::string& team) {
  const auto* t = context_.team(team);
  if (!t) return 1e9;
  const auto& used = state_.team_usage()[team];
  double share = 1;
  for (const auto& [name, s] : context_.operators.team_shares)
    if (name == team) share = s;
  if (!t->has_guarantee()) return std::max(used.cpus, used.gpus) / share;
  return std::max(t->guarantee.cpus > 0 ? used.cpus / t->guarantee.cpus : 0,
                  t->guarantee.gpus > 0 ? used.gpus / t->guarantee.gpus : 0) /
         share;
}

void Scheduler::schedule_job(ShardJob& j, std::vector<Slot>& open_slots,
                             std::set<std::string>& without_room) {
  const std::string& id = j.desired.spec.id;
  const std::string placement_class = placement_class_of(j);
  if (!placement_class.empty() && without_room.count(placement_class)) return;
  // Room promised to this job counts for it.
  bool promised = false;
  for (const auto& p : preemptor_reservations_.all())
    if (p.job == id) {
      promised = true;
      for (auto& slot : open_slots)
        if (slot.machine == p.machine) slot.free.add(p.room);
    }
  if (promised)
    preemptor_reservations_.remove_if([&](const PreemptorReservation& p) {
      return p.job == id && state_.find_machine(p.machine) == nullptr;
    });
  // A record that is full, or a write that is, says nothing of the jobs of the same class behind
  // this one.
  bool no_room = false;
  const bool placed = place_some(id, j, open_slots, no_room);
  if (promised && placed) {
    preemptor_reservations_.remove_if([&](const PreemptorReservation& p) { return p.job == id; });
  } else if (promised) {
    for (const auto& p : preemptor_reservations_.all())
      if (p.job == id)
        for (auto& slot : open_slots)
          if (slot.machine == p.machine) slot.free.add(p.room, -1);
  }
  if (!placed && no_room && !placement_class.empty()) without_room.insert(placement_class);
}

}  // namespace rushtrestle::coordination
