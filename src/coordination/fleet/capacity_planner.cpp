#include "coordination/fleet/capacity_planner.h"

#include <algorithm>

#include "coordination/scheduling/best_effort.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;
using store::MachineRecord;

namespace {

bool within(const store::Resources& used, const store::Resources& more,
            const store::Resources& quota) {
  return used.cpus + more.cpus <= quota.cpus + store::Resources::kSlack &&
         used.gpus + more.gpus <= quota.gpus + store::Resources::kSlack;
}

}  // namespace

const store::TeamSettings& CapacityPlanner::team_settings(const std::string& team) const {
  static const store::TeamSettings none;
  const auto* known = context_.team(team);
  return known ? *known : none;
}

double CapacityPlanner::missing_tasks(const JobRecord& job) const {
  return job.spec.tasks - job.done.size() - static_cast<double>(job.placed.size());
}

void CapacityPlanner::plan_shard(int shard, CapacityPlan& plan) { run(shard, {}, plan); }

CapacityPlan CapacityPlanner::plan_without(int shard, const std::set<std::string>& machines) {
  CapacityPlan plan;
  run(shard, machines, plan);
  return plan;
}

void CapacityPlanner::run(int shard, const std::set<std::string>& without, CapacityPlan& plan) {
  shard_ = shard;
  without_ = &without;
  count_placed();
  add_slots();
  for (auto* jobs : {&waiting_, &waiting_guests_})
    std::sort(jobs->begin(), jobs->end(), [](const auto* a, const auto* b) {
      if (a->spec.rank != b->spec.rank) return a->spec.rank > b->spec.rank;
      return a->submitted < b->submitted;
    });
  production_waits_ = std::any_of(waiting_.begin(), waiting_.end(), [&](const auto* r) {
    return !is_preemptible(r->spec, context_);
  });
  if (logging_ && without.empty()) log_part();
  auto forecasts = arrival_forecast_.expected(shard_);
  // A machine is emptied only where twice the usual spare room stays for work that can't use spot
  // machines: else its like is rented again soon, and what a dead machine held finds no room.
  constexpr int kStays = 2;
  if (!without.empty())
    for (auto& f : forecasts)
      if (!f.shape.spot) f.jobs *= kStays;
  hold_headroom(forecasts);
  plan_waiting(waiting_, plan);
  plan_spare(std::move(forecasts), plan);
  plan_waiting(waiting_guests_, plan);  // what the others leave, and of what is expected of them
  note_unused(plan);
}

void CapacityPlanner::count_placed() {
  used_.clear();
  pinned_.clear();
  placed_tasks_.clear();
  team_used_.clear();
  waiting_.clear();
  waiting_guests_.clear();
  arrays_ = {};
  guest_arrays_ = {};
  failures_.clear();
  fit_ = {};
  for (const auto& id : state_cache_.live_jobs()) {
    const auto& r = state_cache_.job(id)->record;
    if (membership_.shard_of_team(r.spec.team) != shard_) continue;
    uint32_t displaced = 0;
    for (const auto& p : r.placed) {
      if (without_->count(p.machine)) {
        if (can_move(r.spec)) ++displaced;
        continue;
      }
      const auto* m = state_cache_.machine(p.machine);
      auto& counts = placed_tasks_[r.spec.job_class];
      ++(m && m->record.spot ? counts.spot : counts.ordinary);
      used_[p.machine].add(r.spec.per_task);
      if (!is_preemptible(r.spec, context_)) pinned_.insert(p.machine);
      team_used_[r.spec.team].add(r.spec.per_task);
    }
    const bool guest = context_.is_best_effort(r.spec.team);
    if (r.spec.kind == JobKind::array)
      (guest ? guest_arrays_ : arrays_).running_tasks += r.running();
    if (r.spec.per_task.gpus > 0)
      fit_.cpu_per_gpu = std::max(fit_.cpu_per_gpu, r.spec.per_task.cpus / r.spec.per_task.gpus);
    if (r.status == JobStatus::open && r.placed.size() - displaced + r.done.size() < r.spec.tasks)
      (guest ? waiting_guests_ : waiting_).push_back(&r);
  }
}

void CapacityPlanner::add_slot(const MachineRecord& machine) {
  const auto* type = state_cache_.type(machine.type);
  if (!type) return;
  Slot s{machine.id, type, shared_zone(*type, machine.zone), machine.spot, type->size, true};
  if (const auto it = used_.find(machine.id); it != used_.end()) {
    s.free.add(it->second, -1);
    s.empty = false;
    s.pinned = pinned_.count(machine.id) != 0;
  }
  slots_.add(s);
}

void CapacityPlanner::add_slots() {
  slots_.reset(fit_.cpu_per_gpu);
  for (const auto& [id, m] : state_cache_.present_machines())
    if (m->record.shard == shard_ && m->record.usable() && !without_->count(id) &&
        !boot_overdue(m->record, state_cache_, outlook_.running, context_.wall))
      add_slot(m->record);
  for (const auto& m : outlook_.unrecorded)
    if (m.shard == shard_ && !state_cache_.machine(m.id)) add_slot(m);
  if (const auto requested = outlook_.requested.find(shard_); requested != outlook_.requested.end())
    for (const auto& kind : requested->second)
      if (const auto* type = state_cache_.type(kind.type))
        slots_.add({"", type, shared_zone(*type, kind.zone), kind.spot, type->size, true});
  slots_of_.clear();
  for (size_t i = 0; i < slots_.size(); ++i)
    ++slots_of_[{slots_.at(i).type->name, *slots_.at(i).zone}];
  existing_ = slots_.size();
  was_empty_.assign(existing_, false);
  for (size_t i = 0; i < existing_; ++i) was_empty_[i] = slots_.at(i).empty;
}

// The same room is held here as the shard leader will hold, or what it turns away would find
// nothing rented.
void CapacityPlanner::hold_headroom(const std::vector<ArrivalForecast::Forecast>& forecasts) {
  for (const auto& f : forecasts)
    keep_headroom_for(fit_.reserve, f.shape, f.jobs * static_cast<double>(f.shape.tasks));
  for (const auto* r : waiting_) keep_headroom_for(fit_.reserve, r->spec, missing_tasks(*r));
}

void CapacityPlanner::plan_waiting(const std::vector<const JobRecord*>& jobs, CapacityPlan& plan) {
  for (const auto* r : jobs) plan_job(*r, plan);
}

// For best-effort teams that can wait, only spot machines are rented, and for none of them a
// machine whose GPUs would stand idle: idle-time work on ordinary machines with GPUs cost forty
// times what it costs on the cheapest ones.
CapacityPlanner::Request CapacityPlanner::request_for(const JobRecord& job, uint32_t need) {
  Request request{job.spec, true, can_wait_for_spot(job, context_.settings, context_.wall), true};
  const bool guest = context_.is_best_effort(job.spec.team);
  if (guest) {
    request.may_rent_gpus = false;
    request.idle_room_only = takes_idle_room_only(job, context_);
    request.spot_only |= request.idle_room_only;
  }
  if (job.spec.kind != JobKind::array || job.spec.estimate_s <= 0) return request;
  // Work that ends by itself makes room: what gets its turn in time on the machines that are there
  // needs no new ones.
  ArrayTurns& arrays = guest ? guest_arrays_ : arrays_;
  const double left = due_after_s(job.spec, context_.settings) - (context_.wall - job.submitted) -
                      1.3 * job.spec.estimate_s;
  const double turns = arrays.running_tasks * std::max(0.0, left) / job.spec.estimate_s;
  arrays.backlog += need;
  request.may_rent = arrays.backlog > turns;
  return request;
}

void CapacityPlanner::plan_job(const JobRecord& job, CapacityPlan& plan) {
  constexpr uint32_t kMostTasks =
      400;  // of one job in one plan: more machines than that come in steps
  ZoneCounts zones;
  uint32_t placed = 0;
  for (const auto& p : job.placed) {
    if (without_->count(p.machine) && can_move(job.spec)) continue;
    ++placed;
    if (const auto* m = state_cache_.machine(p.machine)) zones[m->record.zone]++;
  }
  const uint32_t need = std::min<uint32_t>(kMostTasks, job.spec.tasks - job.done.size() - placed);
  const Request request = request_for(job, need);
  if (job.spec.kind == JobKind::gang) {
    put_gang(request, zones, need, plan);
    return;
  }
  if (need == 0 || !put_first(request, zones, plan)) return;
  for (uint32_t i = 1; i < need; ++i)
    if (!put(request, zones, plan)) break;
}

bool CapacityPlanner::any_slot_may_take(const Request& request, size_t from) const {
  for (size_t place = from; place < slots_.size(); ++place) {
    const Slot& slot = slots_.at(place);
    if (request.spec.per_task.fits(slot.free) && kind_allowed(request.spec, slot.spot) &&
        type_allowed(request.spec, slot.type->name))
      return true;
  }
  return false;
}

// The first task of a job. Where thousands of jobs of a few shapes wait in vain, each of them was
// tried on every slot: only what was rented since the last of its shape can make a difference, as
// other slots only lose room.
bool CapacityPlanner::put_first(const Request& request, ZoneCounts& zones, CapacityPlan& plan) {
  const auto& spec = request.spec;
  if (!within(team_used_[spec.team], spec.per_task, team_settings(spec.team).quota)) return false;
  // What is held back for work with GPUs moves from slot to slot, and may let in later what it kept
  // out.
  const bool bound = fit_.reserve.gpus > 0 && (spec.per_task.gpus == 0 || spec.spot);
  if (bound) return put(request, zones, plan);
  const std::string shape =
      placement_shape(spec) + (spec.spread || spec.one_zone ? zones_shape(zones) : "") +
      (request.spot_only ? "|o" : "") + (request.may_rent ? "|r" : "") +
      (request.may_rent_gpus ? "|g" : "") + (request.idle_room_only ? "|i" : "");
  auto& failure = failures_[shape];
  const bool tried = failure.slots_tried > 0 && !any_slot_may_take(request, failure.slots_tried);
  if (!tried && put(request, zones, plan)) {
    failure = {};
    return true;
  }
  if (tried) note_unmet(request, zones, plan);
  failure.slots_tried = slots_.size();
  return false;
}

// All of them, or nothing is taken and nothing wanted.
bool CapacityPlanner::put_all(const Request& request, ZoneCounts zones, uint32_t tasks,
                              CapacityPlan& plan) {
  const size_t changes_before = slots_.changes();
  const auto slots_of_before = slots_of_;
  const auto team_before = team_used_[request.spec.team];
  const auto shortages_before = plan.shortages;
  const auto best_effort_before = plan.best_effort_shortages;
  for (uint32_t i = 0; i < tasks; ++i) {
    if (put(request, zones, plan)) continue;
    slots_.undo_to(changes_before);
    slots_of_ = slots_of_before;
    team_used_[request.spec.team] = team_before;
    failures_.clear();  // room that they found taken is free again
    plan.shortages = shortages_before;
    plan.best_effort_shortages = best_effort_before;
    return false;
  }
  return true;
}

// A gang runs whole or not at all. The zone that is best for its first task may neither have nor
// get room for the rest, and room that is held for a part of it is held in vain.
void CapacityPlanner::put_gang(const Request& request, const ZoneCounts& zones, uint32_t tasks,
                               CapacityPlan& plan) {
  const auto& spec = request.spec;
  if (put_all(request, zones, tasks, plan) || !spec.one_zone || spec.zone || !zones.empty()) return;
  store::JobSpec bound = spec;
  for (const auto& zone : context_.settings.zones) {
    bound.zone = zone;
    const Request in_zone{bound,
                          request.urgent,
                          request.spot_only,
                          request.may_rent,
                          request.may_rent_gpus,
                          request.idle_room_only};
    if (put_all(in_zone, zones, tasks, plan)) return;
  }
}

// Spare room for what arrives while a machine boots; first for what can run in fewest places.
void CapacityPlanner::plan_spare(std::vector<ArrivalForecast::Forecast> forecasts,
                                 CapacityPlan& plan) {
  fit_.reserve = {};
  std::stable_sort(forecasts.begin(), forecasts.end(), [](const auto& a, const auto& b) {
    return a.shape.per_task.gpus > b.shape.per_task.gpus;
  });
  for (const auto& f : forecasts)
    for (int i = 0; i < f.jobs; ++i) {
      ZoneCounts zones;
      for (uint32_t t = 0; t < f.shape.tasks; ++t)
        if (!put({f.shape, false, f.shape.spot, true}, zones, plan)) break;
    }
}

void CapacityPlanner::note_unused(CapacityPlan& plan) const {
  for (size_t i = 0; i < existing_; ++i)
    if (was_empty_[i] && slots_.at(i).empty && !slots_.at(i).machine.empty() &&
        state_cache_.machine(slots_.at(i).machine))
      plan.unused.push_back(slots_.at(i).machine);
}

void CapacityPlanner::note_unmet(const Request& request, const ZoneCounts& zones,
                                 CapacityPlan& plan) {
  const auto& spec = request.spec;
  if (request.urgent && !request.spot_only &&
      within(team_used_[spec.team], spec.per_task, team_settings(spec.team).guarantee))
    plan.unmet.push_back({shard_, spec, zones});
}

bool CapacityPlanner::put(const Request& request, ZoneCounts& zones, CapacityPlan& plan) {
  const auto& spec = request.spec;
  // What is only expected must not hold an ordinary machine that it could do without.
  fit_.spot_only = request.spot_only && (production_waits_ || !request.urgent);
  fit_.idle_room_only = request.idle_room_only;
  auto& team = team_used_[spec.team];
  const auto& settings = team_settings(spec.team);
  if (!within(team, spec.per_task, settings.quota)) return false;
  // Work without GPUs takes what is beside them, then machines without, then what free GPUs
  // would need, and machines with GPUs only where nothing else is to be had.
  auto slot = slots_.select_slot(spec, zones, fit_);
  if (!slot && !request.may_rent) return false;
  bool rented = !slot && rent_slot(request, zones, false, plan);
  if (!slot && !rented && spec.per_task.gpus == 0) {
    Fit any = fit_;
    any.strand_gpus = true;
    slot = slots_.select_slot(spec, zones, any);
    rented = !slot && request.may_rent_gpus && rent_slot(request, zones, true, plan);
  }
  if (!slot && !rented) {
    note_unmet(request, zones, plan);
    return false;
  }
  if (!slot) slot = slots_.size() - 1;  // the one just rented
  slots_.take(*slot, spec.per_task);
  zones[*slots_.at(*slot).zone]++;
  team.add(spec.per_task);
  return true;
}

const store::MachineType* CapacityPlanner::cheapest(const Request& request, const ZoneCounts& zones,
                                                    bool with_gpus, MachineKind& kind) {
  const auto& spec = request.spec;
  const store::MachineType* best = nullptr;
  double best_cost = 0;
  for (const auto& t : outlook_.prices.empty() ? state_cache_.types() : outlook_.prices) {
    const int fitting = type_allowed(spec, t.name) ? capacity_for(spec, t) : 0;
    if (fitting <= 0 || (spec.per_task.gpus == 0 && (t.size.gpus > 0) != with_gpus)) continue;
    for (const auto& zone : t.zones) {
      if (!zone_allowed(spec, zone, zones)) continue;
      const int in_zone = slots_of_[{t.name, zone}];
      for (const bool spot : {false, true}) {
        if (!kind_allowed(spec, spot) || (request.spot_only && !spot)) continue;
        const MachineKind candidate{t.name, zone, spot};
        if (outlook_.unavailable.count(candidate)) continue;
        // Zones take turns.
        const double cost =
            (spot ? t.spot_price : t.price) / fitting * (1 + 0.001 * static_cast<double>(in_zone));
        if (best && cost >= best_cost) continue;
        best = &t;
        kind = candidate;
        best_cost = cost;
      }
    }
  }
  return best;
}

bool CapacityPlanner::rent_slot(const Request& request, const ZoneCounts& zones, bool with_gpus,
                                CapacityPlan& plan) {
  MachineKind kind;
  const auto* cheapest_type = cheapest(request, zones, with_gpus, kind);
  const auto* type = cheapest_type ? state_cache_.type(cheapest_type->name) : nullptr;
  if (!type) return false;
  const auto zone = std::find(type->zones.begin(), type->zones.end(), kind.zone);
  if (zone == type->zones.end()) return false;
  slots_.add({"", type, &*zone, kind.spot, type->size, true});
  ++slots_of_[{type->name, kind.zone}];
  auto& wants =
      context_.is_best_effort(request.spec.team) ? plan.best_effort_shortages : plan.shortages;
  auto want = std::find_if(wants.begin(), wants.end(), [&](const MachineShortage& w) {
    return w.shard == shard_ && w.kind == kind;
  });
  if (want == wants.end()) want = wants.insert(wants.end(), MachineShortage{shard_, kind});
  ++(request.urgent ? want->urgent : want->expected);
  if (request.urgent) want->rank = std::max(want->rank, request.spec.rank);
  return true;
}

void CapacityPlanner::log_part() const {
  store::Resources free;
  store::Resources waiting;
  for (size_t i = 0; i < existing_; ++i) free.add(slots_.at(i).free);
  std::map<std::string, int> classes;
  std::vector<const JobRecord*> jobs = waiting_;
  jobs.insert(jobs.end(), waiting_guests_.begin(), waiting_guests_.end());
  for (const auto* r : jobs) {
    waiting.add(r->spec.per_task, missing_tasks(*r));
    classes[r->spec.job_class] += static_cast<int>(missing_tasks(*r));
  }
  std::string text = "part " + std::to_string(shard_) + ": " + std::to_string(existing_) +
                     " machines, free " + std::to_string(static_cast<int>(free.cpus)) + " cpus " +
                     std::to_string(static_cast<int>(free.gpus)) + " gpus; waiting " +
                     std::to_string(static_cast<int>(waiting.cpus)) + " cpus " +
                     std::to_string(static_cast<int>(waiting.gpus)) + " gpus";
  for (const auto& [name, n] : classes) text += ", " + name + " " + std::to_string(n);
  text += "; placed";
  for (const auto& [name, n] : placed_tasks_)
    text += ", " + name + " " + std::to_string(n.ordinary) + " and " + std::to_string(n.spot) +
            " on spot machines";
  context_.info(std::move(text));
}

}  // namespace rushtrestle::coordination
