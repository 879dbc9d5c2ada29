// Owner: which waiting job gets room next, and where.
#include <algorithm>

#include "coordination/guests.h"
#include "coordination/owner.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;
using store::Placement;

namespace {
// Long enough for most work that ends by itself to end.
constexpr double kHoldSeconds = 120;
}  // namespace

std::vector<Slot> Owner::slots(int part) const {
  std::vector<Slot> out;
  for (const auto& [id, m] : machines_) {
    const auto* record = model_.machine(id);
    if (m.part != part || !record || !record->record.usable() || !m.known || m.quarantined() || m.notice_s || m.condemning ||
        m.writing || m.direct_failing_since > 0 || !reports(m))
      continue;
    const auto* type = model_.type(record->record.type);
    if (!type) continue;
    store::Resources free = type->size;
    free.add(m.used, -1);
    for (const auto& p : promises_)
      if (p.machine == id) free.add(p.room, -1);
    out.push_back({id, type, shared_zone(*type, record->record.zone), record->record.spot, free, m.placed.empty(),
                   m.pinned > 0, images_.of(id)});
  }
  return out;
}

ZoneCounts Owner::zones_of(const JobRecord& r) const {
  ZoneCounts zones;
  for (const auto& p : r.placed)
    if (const auto* m = model_.machine(p.machine)) zones[m->record.zone]++;
  return zones;
}

Fit Owner::fit_for(const OwnedJob& j) const {
  Fit fit;
  fit.cpu_per_gpu = cpu_per_gpu_;
  fit.images = &images_;
  fit.avoid = &j.avoid;
  if (const GangHold* hold = hold_against(j)) fit.held = &hold->machines;
  fit.reserve = reserve_;
  fit.spot_only = production_waits_ && can_wait_for_spot(j.cur, ctx_.settings, ctx_.wall);
  fit.idle_room_only = takes_idle_room_only(j.cur, ctx_);
  const double within = start_within_s(j.cur.spec, ctx_.settings);
  if (ctx_.wall - j.cur.submitted < within) fit.start_within_s = within;
  return fit;
}

// CPUs beside free GPUs are kept for work with GPUs only as long as there are others, and only
// where that does not make a start late for its image: where CPUs are what is short, an idle GPU
// costs less than a service that is down.
Slot* Owner::pick_for(const OwnedJob& j, const ZoneCounts& zones, std::vector<Slot>& slots) const {
  Fit fit = fit_for(j);
  const auto& spec = j.cur.spec;
  const auto late = [&](const Slot& s) {
    return fit.start_within_s > 0 && !images_.has(s.machine, spec.image) &&
           spec.image_gb / std::max(0.01, s.type->fetch_gb_per_s) > fit.start_within_s / 2;
  };
  Slot* slot = pick(spec, zones, slots, fit);
  if (spec.per_task.gpus > 0 || (slot && !late(*slot))) return slot;
  fit.strand_gpus = true;
  Slot* other = pick(spec, zones, slots, fit);
  return !slot || (other && !late(*other)) ? other : slot;
}

bool Owner::within_limit(const std::string& team, const store::Resources& more) const {
  const auto* t = ctx_.team(team);
  if (!t) return false;
  store::Resources used = more;
  const auto it = team_used_.find(team);
  if (it != team_used_.end()) used.add(it->second);
  return used.cpus <= t->limit.cpus + store::Resources::kSlack && used.gpus <= t->limit.gpus + store::Resources::kSlack;
}

namespace {
size_t digits(uint64_t n) { return std::to_string(n).size(); }
}  // namespace

// A record must stay below value_kb: the number of tasks placed at once is bound by it, and since the lowest tasks
// start first, so is the number of holes among the done ones. What a task's end adds is less than its placement took.
uint32_t Owner::placement_room(const JobRecord& r) const {
  constexpr size_t kAddedLater = 160;  // the times of the last start and of the cooldown, and the writer's mark
  constexpr size_t kPunctuation = 13;  // of [1, "n-000001", 1, 0] and the comma after it, beside its values
  const size_t placement = kPunctuation + digits(r.spec.tasks) + longest_machine_id_ + digits(r.attempts + r.spec.tasks);
  const size_t taken = store::stored_size(to_json(r)) + kAddedLater;
  const auto limit = static_cast<size_t>(ctx_.settings.value_kb * 1024);
  if (taken < limit) return static_cast<uint32_t>((limit - taken) / placement);
  return r.placed.empty() ? 1 : 0;  // however long its description, one task at a time
}

size_t Owner::longest_machine_id() const {
  size_t longest = 0;
  for (const auto& [id, m] : machines_) longest = std::max(longest, id.size());
  return longest;
}

uint32_t Owner::next_pending(const JobRecord& r, uint32_t from) const {
  for (uint32_t t = r.done.first_missing(from); t < r.spec.tasks; t = r.done.first_missing(t + 1))
    if (!r.placement_of(t)) return t;
  return r.spec.tasks;
}

std::vector<Owner::OwnedJob*> Owner::waiting(int part) {
  struct Entry {
    store::Rank rank;
    int group;
    double due;
    OwnedJob* job;
  };
  std::vector<Entry> entries;
  for (const auto& id : pending_) {
    OwnedJob& j = jobs_.at(id);
    const auto* durable = model_.job(id);
    if (j.part != part || ctx_.now < j.retry_at || !durable || durable->record.status != JobStatus::open) continue;
    if (ctx_.now > j.avoid_until) j.avoid.clear();
    const int group = order_group(j.cur);
    if (!j.due_after_s) j.due_after_s = due_after_s(j.cur.spec, ctx_.settings);
    entries.push_back({j.cur.spec.rank, group, j.cur.submitted + (group == 1 ? *j.due_after_s : 0), &j});
  }
  // Stable: by id in the end, as the set is.
  std::stable_sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    if (a.rank != b.rank) return a.rank > b.rank;
    return std::tie(a.group, a.due) < std::tie(b.group, b.due);
  });
  std::vector<OwnedJob*> out;
  out.reserve(entries.size());
  for (const auto& e : entries) out.push_back(e.job);
  return out;
}

// Within a rank: what has waited too long to begin at all, then by deadline or age what can
// still be in time, last what can't be (it would only make others late, too).
int Owner::order_group(const JobRecord& r) const {
  if (starves(r, ctx_.wall)) return 0;
  if (r.spec.deadline_s && ctx_.wall + r.spec.estimate_s > r.submitted + *r.spec.deadline_s) return 2;
  return 1;
}

void Owner::reserve_for_arrivals(int part, const std::vector<OwnedJob*>& waiting) {
  reserve_ = {};
  production_waits_ = false;
  for (const auto& f : demand_.expected(part)) keep_for(reserve_, f.shape, f.jobs * static_cast<double>(f.shape.tasks));
  for (const OwnedJob* j : waiting) {
    const auto& r = j->cur;
    production_waits_ |= !preemptible(r);
    keep_for(reserve_, r.spec, r.spec.tasks - r.done.size() - static_cast<double>(r.placed.size()));
  }
}

// Every member that is placed was reported as waiting by a machine that still reports. One that was lost at the very
// moment of the start leaves the others running: a replacement would wait in vain. The loss is known only after a
// silence that is longer than reports are apart, so the others have told of their start by then.
bool Owner::all_gathering(const OwnedJob& j) {
  return std::all_of(j.cur.placed.begin(), j.cur.placed.end(), [&](const Placement& p) {
    const Machine* m = machine(p.machine);
    return m && m->known && reports(*m) && std::any_of(m->reported.begin(), m->reported.end(), [&](const ReportedTask& t) {
             return t.job == j.cur.spec.id && t.task == p.task && t.attempt == p.attempt && t.state == TaskState::fetching;
           });
  });
}

namespace {
size_t machines_of(const std::vector<std::pair<std::string, store::Resources>>& room) {
  std::set<std::string> machines;
  for (const auto& [machine, resources] : room) machines.insert(machine);
  return machines.size();
}
}  // namespace

const GangHold* Owner::hold_against(const OwnedJob& j) const {
  const auto it = holds_.find(j.part);
  return it != holds_.end() && it->second.keeps_out(j.cur.spec) ? &it->second : nullptr;
}

// A hold that has not helped in its time gives way to others for as long.
void Owner::end_hold(int part) {
  const auto it = holds_.find(part);
  if (it == holds_.end() || (pending_.count(it->second.job) && ctx_.now < it->second.until)) return;
  if (ctx_.now >= it->second.until) next_hold_allowed_[part] = ctx_.now + kHoldSeconds;
  holds_.erase(it);
}

void Owner::hold_for(const OwnedJob& j) {
  if (holds_.count(j.part) || ctx_.now < next_hold_allowed_[j.part] || !within_limit_whole(j)) return;
  std::vector<RoomToCome> room;
  for (const auto& [id, m] : machines_) {
    const auto* record = model_.machine(id);
    const auto* type = record ? model_.type(record->record.type) : nullptr;
    if (m.part != j.part || !type || !record->record.usable() || !m.known || m.quarantined() || !reports(m)) continue;
    RoomToCome r{id, record->record.zone, record->record.type, record->record.spot, type->size};
    for (const auto& [key, attempt] : m.placed) {
      const auto& spec = jobs_.at(key.first).cur.spec;
      if (spec.kind == JobKind::service) r.room.add(spec.per_task, -1);
    }
    room.push_back(std::move(r));
  }
  auto machines = machines_to_hold(j.cur.spec, room, ctx_.settings.zones, most_new_machines());
  if (machines.empty()) return;
  ctx_.counters["gang_holds"]++;
  ctx_.info(std::to_string(machines.size()) + " machines are held for gang " + j.cur.spec.id);
  holds_[j.part] = {j.cur.spec.id, j.cur.spec.rank, std::move(machines), ctx_.now + kHoldSeconds};
}

bool Owner::within_limit_whole(const OwnedJob& j) const {
  store::Resources all;
  all.add(j.cur.spec.per_task, j.cur.spec.tasks);
  return within_limit(j.cur.spec.team, all);
}

// All in one write, with a condition for each machine. The best places may be on more machines than a transaction takes
// conditions for: then on as few as can be, or a gang in a fleet with little room on each machine would wait for ever.
Owner::PlannedRoom Owner::room_for_gang(const OwnedJob& j, uint32_t need, std::vector<Slot>& slots) const {
  PlannedRoom best;
  if (!fits_whole(j, slots, &best)) return {};
  if (machines_of(best) <= most_new_machines()) return best;
  if (j.cur.spec.spread || hold_against(j)) return {};
  store::JobSpec bound = j.cur.spec;
  const ZoneCounts zones = zones_of(j.cur);
  for (const auto& zone : ctx_.settings.zones) {
    if (bound.one_zone && !zone_allowed(j.cur.spec, zone, zones)) continue;
    if (bound.one_zone) bound.zone = zone;
    PlannedRoom packed = pack(bound, need, slots, j.avoid);
    if (!packed.empty() && machines_of(packed) <= most_new_machines()) return packed;
    if (!bound.one_zone) break;
  }
  return {};
}

// All that is missing or nothing: a whole attempt, or replacements for members that are known to be gone.
bool Owner::place_gang(const std::string& id, OwnedJob& j, std::vector<Slot>& slots) {
  const auto& placed = j.cur.placed;
  const GangPhase phase = gang_phase(j.cur);
  const bool may_join = phase == GangPhase::idle || (phase == GangPhase::gathering && all_gathering(j));
  if (!may_join) return false;
  const uint32_t need = j.cur.spec.tasks - static_cast<uint32_t>(placed.size());
  // No word on the shape: a smaller gang of the same class may fit where this one does not.
  if (placement_room(j.cur) < need) return false;
  const PlannedRoom used = room_for_gang(j, need, slots);
  if (used.empty()) {
    if (order_group(j.cur) == 0) hold_for(j);
    return false;
  }
  uint32_t task = next_pending(j.cur, 0);
  for (const auto& [machine, room] : used) {
    place(j, task, machine);
    for (auto& slot : slots) {
      if (slot.machine != machine) continue;
      slot.free.add(room, -1);
      slot.empty = false;
    }
    task = next_pending(j.cur, task + 1);
  }
  update_pending(j);
  ctx_.counters["placements"]++;
  mark(id, WriteCause::placement);
  return true;
}

bool Owner::place_some(const std::string& id, OwnedJob& j, std::vector<Slot>& slots, bool& no_room) {
  if (j.cur.spec.kind == JobKind::gang) return place_gang(id, j, slots);
  ZoneCounts zones = zones_of(j.cur);
  std::optional<uint32_t> room;  // in the record; worked out once there is a place, as most that wait find none
  // A placement is conditioned on its machine's record, and a transaction takes four conditions an operation:
  // a large array on many machines was refused as malformed, and set aside for a lease, again and again.
  // What needs more machines goes on with the next write; the job's and the part's keys count, too.
  const size_t most_machines = most_new_machines();
  std::set<std::string> unwritten;
  const auto* durable = model_.job(id);
  for (const auto& p : j.cur.placed)
    if (!durable || !durable->record.same_placement(p)) unwritten.insert(p.machine);
  const size_t most_placed = on_probation(j) ? 1 : j.cur.spec.tasks;
  bool any = false;
  for (uint32_t t = next_pending(j.cur, 0); t < j.cur.spec.tasks && room != 0U && j.cur.placed.size() < most_placed;
       t = next_pending(j.cur, t + 1)) {
    if (!within_limit(j.cur.spec.team, j.cur.spec.per_task)) break;
    Slot* slot = pick_for(j, zones, slots);
    no_room = slot == nullptr;
    if (no_room) break;
    if (!room) room = placement_room(j.cur);
    if (*room == 0) break;
    if (!unwritten.count(slot->machine) && unwritten.size() >= most_machines) break;
    unwritten.insert(slot->machine);
    place(j, t, slot->machine);
    slot->free.add(j.cur.spec.per_task, -1);
    slot->empty = false;
    zones[*slot->zone]++;
    --*room;
    any = true;
  }
  if (any) {
    update_pending(j);
    ctx_.counters["placements"]++;
    mark(id, WriteCause::placement);
  }
  return any;
}

// Jobs of the same placement class fit or don't fit alike. Empty: this one is like no other.
std::string Owner::placement_class_of(OwnedJob& j) const {
  if (!j.avoid.empty()) return "";
  const auto& s = j.cur.spec;
  // Once a job: written anew for each job in each pass it was a quarter of a pass with thousands waiting.
  if (j.shape.empty()) j.shape = s.job_class + "|" + s.team + "|" + placement_shape(s);
  std::string result = j.shape;
  if (can_wait_for_spot(j.cur, ctx_.settings, ctx_.wall)) result += "|w";
  if (takes_idle_room_only(j.cur, ctx_)) result += "|i";
  if (s.spread || s.one_zone) result += zones_shape(zones_of(j.cur));
  return result;
}

void Owner::schedule(int part) {
  end_hold(part);
  auto jobs = waiting(part);
  if (jobs.empty()) return;
  longest_machine_id_ = longest_machine_id();
  cpu_per_gpu_ = 0;
  for (const auto& [id, j] : jobs_)
    if (j.cur.spec.per_task.gpus > 0)
      cpu_per_gpu_ = std::max(cpu_per_gpu_, j.cur.spec.per_task.cpus / j.cur.spec.per_task.gpus);
  const auto first_guest =
      std::stable_partition(jobs.begin(), jobs.end(), [&](const OwnedJob* j) { return !ctx_.is_guest(j->cur.spec.team); });
  const std::vector<OwnedJob*> guests(first_guest, jobs.end());
  jobs.erase(first_guest, jobs.end());
  reserve_for_arrivals(part, jobs);
  auto open_slots = slots(part);
  serve_in_turn(jobs, open_slots);
  if (guests.empty()) return;
  set_expected_room_aside(part, open_slots);
  serve_in_turn(guests, open_slots);
}

// A queue for each team, served in turn by shares: who has least of its guarantee is next.
void Owner::serve_in_turn(const std::vector<OwnedJob*>& jobs, std::vector<Slot>& open_slots) {
  std::map<std::string, std::vector<OwnedJob*>> queues;
  for (OwnedJob* j : jobs) queues[j->cur.spec.team].push_back(j);
  std::map<std::string, size_t> next;
  std::set<std::pair<double, std::string>> turns;  // load and name of those with jobs left
  for (const auto& [name, queue] : queues) turns.emplace(team_load(name), name);
  // Placement classes that did not fit in this pass need not be tried again.
  std::set<std::string> without_room;
  while (!turns.empty()) {
    const std::string team = turns.extract(turns.begin()).value().second;
    const auto& queue = queues[team];
    OwnedJob& j = *queue[next[team]++];
    schedule_job(j, open_slots, without_room);
    if (next[team] < queue.size()) turns.emplace(team_load(team), team);
  }
}

// Guests' long work filled the spare room, and a gateway that came after it waited for a machine to boot.
void Owner::set_expected_room_aside(int part, std::vector<Slot>& open_slots) const {
  Fit fit;
  fit.cpu_per_gpu = cpu_per_gpu_;
  for (const auto& forecast : demand_.expected(part))
    for (int i = 0; i < forecast.jobs; ++i) {
      ZoneCounts zones;
      for (uint32_t task = 0; task < forecast.shape.tasks; ++task) {
        Slot* slot = pick(forecast.shape, zones, open_slots, fit);
        if (!slot) break;
        slot->free.add(forecast.shape.per_task, -1);
        zones[*slot->zone]++;
      }
    }
}

// What the team uses, as a part of its guarantee and by its share; guests among themselves, by what they use.
double Owner::team_load(const std::string& team) {
  const auto* t = ctx_.team(team);
  if (!t) return 1e9;
  const auto& used = team_used_[team];
  double share = 1;
  for (const auto& [name, s] : ctx_.operators.team_shares)
    if (name == team) share = s;
  if (!t->has_guarantee()) return std::max(used.cpus, used.gpus) / share;
  return std::max(t->guarantee.cpus > 0 ? used.cpus / t->guarantee.cpus : 0,
                  t->guarantee.gpus > 0 ? used.gpus / t->guarantee.gpus : 0) /
         share;
}

void Owner::schedule_job(OwnedJob& j, std::vector<Slot>& open_slots, std::set<std::string>& without_room) {
  const std::string& id = j.cur.spec.id;
  const std::string placement_class = placement_class_of(j);
  if (!placement_class.empty() && without_room.count(placement_class)) return;
  // Room promised to this job counts for it.
  bool promised = false;
  for (const auto& p : promises_)
    if (p.job == id) {
      promised = true;
      for (auto& slot : open_slots)
        if (slot.machine == p.machine) slot.free.add(p.room);
    }
  if (promised) std::erase_if(promises_, [&](const Promise& p) { return p.job == id && machine(p.machine) == nullptr; });
  // A record that is full, or a write that is, says nothing of the jobs of the same class behind this one.
  bool no_room = false;
  const bool placed = place_some(id, j, open_slots, no_room);
  if (promised && placed) {
    std::erase_if(promises_, [&](const Promise& p) { return p.job == id; });
  } else if (promised) {
    for (const auto& p : promises_)
      if (p.job == id)
        for (auto& slot : open_slots)
          if (slot.machine == p.machine) slot.free.add(p.room, -1);
  }
  if (!placed && no_room && !placement_class.empty()) without_room.insert(placement_class);
}

}  // namespace rushtrestle::coordination
