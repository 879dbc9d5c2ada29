#include "coordination/fleet/shard_planner.h"

#include <algorithm>
#include <utility>

#include "coordination/scheduling/best_effort.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;

namespace {

// Tasks of one job in one plan: more machines than that come in steps.
constexpr uint32_t kMostTasks = 400;
// A machine is emptied only where twice the usual headroom stays for work that can't use spot
// machines: else its like is provisioned again soon, and what a dead machine held finds no room.
constexpr int kHeadroomTimesWithoutMachines = 2;
// Time that a run is given before its due time, times its estimate.
constexpr double kRunMargin = 1.3;
constexpr double kZoneTurnCost = 0.001;  // share of the price, for each machine in the zone

bool within(const store::Resources& used, const store::Resources& more,
            const store::Resources& limit) {
  return used.cpus + more.cpus <= limit.cpus + store::Resources::kSlack &&
         used.gpus + more.gpus <= limit.gpus + store::Resources::kSlack;
}

}  // namespace

ShardPlanner::ShardPlanner(const PlanningInputs& inputs, int shard,
                           const ExcludedMachines& excluded, CapacityPlan& plan)
    : inputs_(inputs),
      shard_(shard),
      excluded_(excluded),
      plan_(plan),
      load_(count_shard_load(inputs, shard, excluded)),
      capacity_(inputs, shard, load_, excluded) {}

void ShardPlanner::run() {
  auto expected = forecasts();
  hold_headroom(expected);
  plan_waiting(load_.guaranteed.waiting);
  plan_expected(std::move(expected));
  // What the others leave, and of what is expected of them.
  plan_waiting(load_.best_effort.waiting);
  for (auto& machine : capacity_.unused_machines()) plan_.unused.push_back(std::move(machine));
}

const store::TeamSettings& ShardPlanner::team_settings(const std::string& team) const {
  static const store::TeamSettings none;
  const auto* known = inputs_.context.team(team);
  return known ? *known : none;
}

bool ShardPlanner::within_quota(const store::JobSpec& spec) {
  return within(load_.used_by_team[spec.team], spec.per_task, team_settings(spec.team).quota);
}

std::vector<ArrivalForecast::Forecast> ShardPlanner::forecasts() const {
  auto expected = inputs_.arrival_forecast.expected(shard_);
  if (!excluded_.empty())
    for (auto& forecast : expected)
      if (!forecast.shape.spot) forecast.jobs *= kHeadroomTimesWithoutMachines;
  return expected;
}

// The same room is held here as the shard leader will hold, or what it turns away would find
// nothing provisioned.
void ShardPlanner::hold_headroom(const std::vector<ArrivalForecast::Forecast>& forecasts) {
  for (const auto& forecast : forecasts)
    keep_headroom_for(headroom_, forecast.shape,
                      forecast.jobs * static_cast<double>(forecast.shape.tasks));
  for (const auto* job : load_.guaranteed.waiting)
    keep_headroom_for(headroom_, job->spec, missing_tasks(*job));
}

void ShardPlanner::plan_waiting(const std::vector<const JobRecord*>& jobs) {
  for (const auto* job : jobs) plan_job(*job);
}

// Headroom for what arrives while a machine boots; first for what can run in fewest places.
void ShardPlanner::plan_expected(std::vector<ArrivalForecast::Forecast> forecasts) {
  headroom_ = {};
  std::stable_sort(forecasts.begin(), forecasts.end(), [](const auto& a, const auto& b) {
    return a.shape.per_task.gpus > b.shape.per_task.gpus;
  });
  for (const auto& forecast : forecasts)
    for (int job = 0; job < forecast.jobs; ++job) {
      ZoneCounts zones;
      const TaskRequest request{.spec = forecast.shape, .spot_only = forecast.shape.spot};
      for (uint32_t task = 0; task < forecast.shape.tasks; ++task)
        if (!place_task(request, zones)) break;
    }
}

// Work that ends by itself makes room: what gets its turn in time on the machines that are there
// needs no new ones.
bool ShardPlanner::exceeds_array_turns(const JobRecord& job, uint32_t need,
                                       ShardLoad::ArrayTurns& arrays) const {
  const auto& spec = job.spec;
  const double left_s = due_after_s(spec, inputs_.context.settings) -
                        (inputs_.context.wall - job.submitted) - kRunMargin * spec.estimate_s;
  const double turns = arrays.running_tasks * std::max(0.0, left_s) / spec.estimate_s;
  arrays.backlog += need;
  return arrays.backlog > turns;
}

// For best-effort teams that can wait, only spot machines are provisioned, and for none of them a
// machine whose GPUs would stand idle: idle-time work on ordinary machines with GPUs cost forty
// times what it costs on the cheapest ones.
ShardPlanner::TaskRequest ShardPlanner::request_for(const JobRecord& job, uint32_t need) {
  const Context& context = inputs_.context;
  TaskRequest request{.spec = job.spec,
                      .urgent = true,
                      .spot_only = can_wait_for_spot(job, context.settings, context.wall)};
  const bool best_effort = context.is_best_effort(job.spec.team);
  if (best_effort) {
    request.may_provision_gpus = false;
    request.idle_room_only = takes_idle_room_only(job, context);
    request.spot_only |= request.idle_room_only;
  }
  if (job.spec.kind == JobKind::array && job.spec.estimate_s > 0)
    request.may_provision = exceeds_array_turns(
        job, need, best_effort ? load_.best_effort.arrays : load_.guaranteed.arrays);
  return request;
}

void ShardPlanner::plan_job(const JobRecord& job) {
  ZoneCounts zones;
  uint32_t placed = 0;
  for (const auto& placement : job.placed) {
    if (excluded_.count(placement.machine) && can_move(job.spec)) continue;
    ++placed;
    if (const auto* machine = inputs_.state_cache.machine(placement.machine))
      zones[machine->record.zone]++;
  }
  const uint32_t need = std::min<uint32_t>(kMostTasks, job.spec.tasks - job.done.size() - placed);
  const TaskRequest request = request_for(job, need);
  if (job.spec.kind == JobKind::gang) {
    place_gang(request, zones, need);
    return;
  }
  if (need == 0 || !place_first_task(request, zones)) return;
  for (uint32_t task = 1; task < need; ++task)
    if (!place_task(request, zones)) break;
}

std::string ShardPlanner::failure_key(const TaskRequest& request, const ZoneCounts& zones) const {
  const auto& spec = request.spec;
  return placement_shape(spec) + (spec.spread || spec.one_zone ? zones_shape(zones) : "") +
         (request.spot_only ? "|o" : "") + (request.may_provision ? "|r" : "") +
         (request.may_provision_gpus ? "|g" : "") + (request.idle_room_only ? "|i" : "");
}

// The first task of a job. Where thousands of jobs of a few shapes found no room, each of them was
// tried on every slot: only what was provisioned since the last of its shape can make a difference,
// as other slots only lose room.
bool ShardPlanner::place_first_task(const TaskRequest& request, ZoneCounts& zones) {
  const auto& spec = request.spec;
  if (!within_quota(spec)) return false;
  // What is held back for work with GPUs moves from slot to slot, and may let in later what it kept
  // out.
  const bool bound_by_headroom = headroom_.gpus > 0 && (spec.per_task.gpus == 0 || spec.spot);
  if (bound_by_headroom) return place_task(request, zones);
  auto& failure = failures_[failure_key(request, zones)];
  const bool tried = failure.slots_tried > 0 && !capacity_.any_may_take(spec, failure.slots_tried);
  if (!tried && place_task(request, zones)) {
    failure = {};
    return true;
  }
  if (tried) note_unmet(request, zones);
  failure.slots_tried = capacity_.size();
  return false;
}

// All of them, or nothing is taken and nothing lacking.
bool ShardPlanner::place_all(const TaskRequest& request, ZoneCounts zones, uint32_t tasks) {
  const auto capacity_before = capacity_.checkpoint();
  const auto team_before = load_.used_by_team[request.spec.team];
  const auto shortages_before = plan_.shortages;
  const auto best_effort_before = plan_.best_effort_shortages;
  for (uint32_t task = 0; task < tasks; ++task) {
    if (place_task(request, zones)) continue;
    capacity_.restore(capacity_before);
    load_.used_by_team[request.spec.team] = team_before;
    failures_.clear();  // room that they found taken is free again
    plan_.shortages = shortages_before;
    plan_.best_effort_shortages = best_effort_before;
    return false;
  }
  return true;
}

// A gang runs whole or not at all. The zone that is best for its first task may neither have nor
// get room for the rest, and room that is held for a part of it serves nobody.
void ShardPlanner::place_gang(const TaskRequest& request, const ZoneCounts& zones, uint32_t tasks) {
  const auto& spec = request.spec;
  if (place_all(request, zones, tasks) || !spec.one_zone || spec.zone || !zones.empty()) return;
  store::JobSpec bound_to_zone = spec;
  for (const auto& zone : inputs_.context.settings.zones) {
    bound_to_zone.zone = zone;
    const TaskRequest in_zone{.spec = bound_to_zone,
                              .urgent = request.urgent,
                              .spot_only = request.spot_only,
                              .may_provision = request.may_provision,
                              .may_provision_gpus = request.may_provision_gpus,
                              .idle_room_only = request.idle_room_only};
    if (place_all(in_zone, zones, tasks)) return;
  }
}

void ShardPlanner::note_unmet(const TaskRequest& request, const ZoneCounts& zones) {
  const auto& spec = request.spec;
  if (request.urgent && !request.spot_only &&
      within(load_.used_by_team[spec.team], spec.per_task, team_settings(spec.team).guarantee))
    plan_.unmet.push_back({shard_, spec, zones});
}

Fit ShardPlanner::fit_for(const TaskRequest& request) const {
  Fit fit;
  fit.cpu_per_gpu = load_.cpu_per_gpu;
  fit.reserve = headroom_;
  // What is only expected must not hold an ordinary machine that it could do without.
  fit.spot_only = request.spot_only && (load_.unpreemptible_waiting || !request.urgent);
  fit.idle_room_only = request.idle_room_only;
  return fit;
}

// Work without GPUs takes what is beside them, then machines without, then what free GPUs would
// need, and machines with GPUs only where nothing else is to be had.
std::optional<ShardCapacity::Place> ShardPlanner::find_place(const TaskRequest& request,
                                                             const ZoneCounts& zones) {
  const auto& spec = request.spec;
  Fit fit = fit_for(request);
  auto place = capacity_.select_slot(spec, zones, fit);
  if (place || !request.may_provision) return place;
  place = provision_slot(request, zones, TypesForCpuWork::without_gpus);
  if (!place && spec.per_task.gpus == 0) {
    fit.strand_gpus = true;
    place = capacity_.select_slot(spec, zones, fit);
    if (!place && request.may_provision_gpus)
      place = provision_slot(request, zones, TypesForCpuWork::with_gpus);
  }
  if (!place) note_unmet(request, zones);
  return place;
}

bool ShardPlanner::place_task(const TaskRequest& request, ZoneCounts& zones) {
  const auto& spec = request.spec;
  if (!within_quota(spec)) return false;
  const auto place = find_place(request, zones);
  if (!place) return false;
  capacity_.take(*place, spec.per_task);
  zones[*capacity_.at(*place).zone]++;
  load_.used_by_team[spec.team].add(spec.per_task);
  return true;
}

std::optional<MachineKind> ShardPlanner::cheapest_kind(const TaskRequest& request,
                                                       const ZoneCounts& zones,
                                                       TypesForCpuWork types) const {
  const auto& spec = request.spec;
  const auto& outlook = inputs_.outlook;
  const bool with_gpus = types == TypesForCpuWork::with_gpus;
  std::optional<MachineKind> cheapest;
  double lowest_cost = 0;
  for (const auto& type : outlook.prices.empty() ? inputs_.state_cache.types() : outlook.prices) {
    const int fitting = type_allowed(spec, type.name) ? capacity_for(spec, type) : 0;
    if (fitting <= 0 || (spec.per_task.gpus == 0 && (type.size.gpus > 0) != with_gpus)) continue;
    for (const auto& zone : type.zones) {
      if (!zone_allowed(spec, zone, zones)) continue;
      // Zones take turns.
      const double zone_factor =
          1 + kZoneTurnCost * static_cast<double>(capacity_.count(type.name, zone));
      for (const bool spot : {false, true}) {
        if (!kind_allowed(spec, spot) || (request.spot_only && !spot)) continue;
        const MachineKind candidate{type.name, zone, spot};
        if (outlook.unavailable.count(candidate)) continue;
        const double cost = (spot ? type.spot_price : type.price) / fitting * zone_factor;
        if (cheapest && cost >= lowest_cost) continue;
        cheapest = candidate;
        lowest_cost = cost;
      }
    }
  }
  return cheapest;
}

std::optional<ShardCapacity::Place> ShardPlanner::provision_slot(const TaskRequest& request,
                                                                 const ZoneCounts& zones,
                                                                 TypesForCpuWork types) {
  const auto kind = cheapest_kind(request, zones, types);
  if (!kind) return std::nullopt;
  const auto place = capacity_.add(*kind);
  if (place) note_shortage(request, *kind);
  return place;
}

void ShardPlanner::note_shortage(const TaskRequest& request, const MachineKind& kind) {
  auto& shortages = inputs_.context.is_best_effort(request.spec.team) ? plan_.best_effort_shortages
                                                                      : plan_.shortages;
  auto shortage = std::find_if(
      shortages.begin(), shortages.end(),
      [&](const MachineShortage& known) { return known.shard == shard_ && known.kind == kind; });
  if (shortage == shortages.end())
    shortage = shortages.insert(shortages.end(), MachineShortage{shard_, kind});
  ++(request.urgent ? shortage->urgent : shortage->expected);
  if (request.urgent) shortage->rank = std::max(shortage->rank, request.spec.rank);
}

void ShardPlanner::log_load() const {
  store::Resources free;
  for (size_t place = 0; place < capacity_.existing(); ++place) free.add(capacity_.at(place).free);
  store::Resources waiting;
  std::map<std::string, int> waiting_tasks;  // by class
  for (const auto* jobs : {&load_.guaranteed, &load_.best_effort})
    for (const auto* job : jobs->waiting) {
      waiting.add(job->spec.per_task, missing_tasks(*job));
      waiting_tasks[job->spec.job_class] += static_cast<int>(missing_tasks(*job));
    }
  const auto field = [](const std::string& name, double value) {
    return " " + name + "=" + std::to_string(static_cast<int>(value));
  };
  std::string text = "shard_planned" + field("shard", shard_) +
                     field("machines", static_cast<double>(capacity_.existing())) +
                     field("free_cpus", free.cpus) + field("free_gpus", free.gpus) +
                     field("waiting_cpus", waiting.cpus) + field("waiting_gpus", waiting.gpus);
  for (const auto& [name, tasks] : waiting_tasks) text += field("waiting_tasks." + name, tasks);
  for (const auto& [name, tasks] : load_.placed_tasks)
    text +=
        field("placed_ordinary." + name, tasks.ordinary) + field("placed_spot." + name, tasks.spot);
  inputs_.context.info(std::move(text));
}

}  // namespace rushtrestle::coordination
