#include "coordination/fleet/shard_planner.h"

#include <algorithm>
#include <utility>

#include "coordination/scheduling/best_effort.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;

namespace {

// Tasks of one job per plan. Larger jobs get their machines over several plans.
constexpr uint32_t kMaxTasksPerJob = 400;
// Factor on forecasts of work that cannot use spot machines, in plans without some machines: a
// machine is drained only if twice the usual headroom remains. Otherwise a similar machine is soon
// provisioned again, and the work of a failed machine finds no free capacity.
constexpr int kDrainHeadroomFactor = 2;
// Time reserved for a run before the job is due, as a multiple of the estimated run time.
constexpr double kRunTimeFactor = 1.3;
// Extra cost per machine of the type in the zone, as a share of the price.
constexpr double kZoneBalancePenalty = 0.001;

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
  reserve_headroom(expected);
  plan_waiting(load_.guaranteed.waiting);
  plan_forecast(std::move(expected));
  // Best-effort work gets what the waiting and forecast work of teams with a guarantee leaves over.
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
  auto expected = inputs_.arrival_forecast.expected_arrivals(shard_);
  if (!excluded_.empty())
    for (auto& forecast : expected)
      if (!forecast.shape.spot) forecast.jobs *= kDrainHeadroomFactor;
  return expected;
}

// Reserves the same headroom as the shard leader will. Otherwise no machine would be provisioned
// for the work that the shard leader keeps out of the headroom.
void ShardPlanner::reserve_headroom(const std::vector<ArrivalForecast::Forecast>& forecasts) {
  for (const auto& forecast : forecasts)
    add_to_headroom(headroom_, forecast.shape,
                    forecast.jobs * static_cast<double>(forecast.shape.tasks));
  for (const auto* job : load_.guaranteed.waiting)
    add_to_headroom(headroom_, job->spec, missing_tasks(*job));
}

void ShardPlanner::plan_waiting(const std::vector<const JobRecord*>& jobs) {
  for (const auto* job : jobs) plan_job(*job);
}

// Plans headroom for the jobs that are expected to arrive while a machine boots. Tasks with the
// most GPUs come first because they fit on the fewest machines.
void ShardPlanner::plan_forecast(std::vector<ArrivalForecast::Forecast> forecasts) {
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

// Returns whether more array tasks wait than can run before the job is due on the capacity that
// running array tasks free as they end. Tasks below that limit need no new machine.
bool ShardPlanner::exceeds_array_throughput(const JobRecord& job, uint32_t need,
                                            ShardLoad::ArrayQueue& arrays) const {
  const auto& spec = job.spec;
  const double left_s = due_after_s(spec, inputs_.context.settings) -
                        (inputs_.context.wall - job.submitted) - kRunTimeFactor * spec.estimate_s;
  const double completions = arrays.running_tasks * std::max(0.0, left_s) / spec.estimate_s;
  arrays.backlog += need;
  return arrays.backlog > completions;
}

// For best-effort jobs that can wait, only spot machines are provisioned. No best-effort job
// without GPUs gets a new machine with GPUs, because the GPUs would be idle. Low-priority work on
// on-demand machines with GPUs cost forty times as much as on the cheapest ones.
ShardPlanner::TaskRequest ShardPlanner::request_for(const JobRecord& job, uint32_t need) {
  const Context& context = inputs_.context;
  TaskRequest request{.spec = job.spec,
                      .urgent = true,
                      .spot_only = can_wait_for_spot(job, context.settings, context.wall)};
  const bool best_effort = context.is_best_effort(job.spec.team);
  if (best_effort) {
    request.may_provision_gpus = false;
    request.best_effort_capacity_only = uses_best_effort_capacity_only(job, context);
    request.spot_only |= request.best_effort_capacity_only;
  }
  if (job.spec.kind == JobKind::array && job.spec.estimate_s > 0)
    request.may_provision = exceeds_array_throughput(
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
  const uint32_t need =
      std::min<uint32_t>(kMaxTasksPerJob, job.spec.tasks - job.done.size() - placed);
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
         (request.may_provision_gpus ? "|g" : "") + (request.best_effort_capacity_only ? "|i" : "");
}

// Places the first task of a job. After a failure, jobs of the same shape are tried only if a slot
// added since then fits, because the other slots only lose free capacity. Without this, thousands
// of waiting jobs of a few shapes were each tried on every slot.
bool ShardPlanner::place_first_task(const TaskRequest& request, ZoneCounts& zones) {
  const auto& spec = request.spec;
  if (!within_quota(spec)) return false;
  // The headroom for work with GPUs moves between slots, so a slot that rejected a task may
  // accept it later.
  const bool bound_by_headroom = headroom_.gpus > 0 && (spec.per_task.gpus == 0 || spec.spot);
  if (bound_by_headroom) return place_task(request, zones);
  auto& failure = failures_[failure_key(request, zones)];
  const bool tried = failure.slots_tried > 0 && !capacity_.any_slot_fits(spec, failure.slots_tried);
  if (!tried && place_task(request, zones)) {
    failure = {};
    return true;
  }
  if (tried) add_unmet_demand(request, zones);
  failure.slots_tried = capacity_.size();
  return false;
}

// Places all tasks, or restores the state and the shortages from before the call.
bool ShardPlanner::place_all_or_none(const TaskRequest& request, ZoneCounts zones, uint32_t tasks) {
  const auto capacity_before = capacity_.checkpoint();
  const auto team_before = load_.used_by_team[request.spec.team];
  const auto shortages_before = plan_.shortages;
  const auto best_effort_before = plan_.best_effort_shortages;
  for (uint32_t task = 0; task < tasks; ++task) {
    if (place_task(request, zones)) continue;
    capacity_.restore(capacity_before);
    load_.used_by_team[request.spec.team] = team_before;
    failures_.clear();  // they were recorded with less free capacity
    plan_.shortages = shortages_before;
    plan_.best_effort_shortages = best_effort_before;
    return false;
  }
  return true;
}

// Places all tasks of a gang or none, because capacity held for a part of a gang is wasted. The
// best zone for the first task may have no capacity for the others, so a gang that is bound to one
// zone is then tried in each zone.
void ShardPlanner::place_gang(const TaskRequest& request, const ZoneCounts& zones, uint32_t tasks) {
  const auto& spec = request.spec;
  if (place_all_or_none(request, zones, tasks) || !spec.one_zone || spec.zone || !zones.empty())
    return;
  store::JobSpec bound_to_zone = spec;
  for (const auto& zone : inputs_.context.settings.zones) {
    bound_to_zone.zone = zone;
    const TaskRequest in_zone{.spec = bound_to_zone,
                              .urgent = request.urgent,
                              .spot_only = request.spot_only,
                              .may_provision = request.may_provision,
                              .may_provision_gpus = request.may_provision_gpus,
                              .best_effort_capacity_only = request.best_effort_capacity_only};
    if (place_all_or_none(in_zone, zones, tasks)) return;
  }
}

void ShardPlanner::add_unmet_demand(const TaskRequest& request, const ZoneCounts& zones) {
  const auto& spec = request.spec;
  if (request.urgent && !request.spot_only &&
      within(load_.used_by_team[spec.team], spec.per_task, team_settings(spec.team).guarantee))
    plan_.unmet.push_back({shard_, spec, zones});
}

PlacementConstraints ShardPlanner::constraints_for(const TaskRequest& request) const {
  PlacementConstraints constraints;
  constraints.cpu_per_gpu = load_.cpu_per_gpu;
  constraints.headroom = headroom_;
  // Forecast work that can use spot machines must not occupy an on-demand machine. The same
  // holds for waiting work while work waits that must not be preempted.
  constraints.spot_only = request.spot_only && (load_.unpreemptible_waiting || !request.urgent);
  constraints.best_effort_capacity_only = request.best_effort_capacity_only;
  return constraints;
}

// Finds a slot or provisions a machine. Work without GPUs is tried in this order: CPUs that no free
// GPU needs, a new machine without GPUs, CPUs that free GPUs need, a new machine with GPUs.
std::optional<ShardCapacity::SlotNumber> ShardPlanner::find_place(const TaskRequest& request,
                                                                  const ZoneCounts& zones) {
  const auto& spec = request.spec;
  PlacementConstraints constraints = constraints_for(request);
  auto slot_number = capacity_.select_slot(spec, zones, constraints);
  if (slot_number || !request.may_provision) return slot_number;
  slot_number = provision_slot(request, zones, TypesForCpuWork::without_gpus);
  if (!slot_number && spec.per_task.gpus == 0) {
    constraints.may_strand_gpus = true;
    slot_number = capacity_.select_slot(spec, zones, constraints);
    if (!slot_number && request.may_provision_gpus)
      slot_number = provision_slot(request, zones, TypesForCpuWork::with_gpus);
  }
  if (!slot_number) add_unmet_demand(request, zones);
  return slot_number;
}

bool ShardPlanner::place_task(const TaskRequest& request, ZoneCounts& zones) {
  const auto& spec = request.spec;
  if (!within_quota(spec)) return false;
  const auto slot_number = find_place(request, zones);
  if (!slot_number) return false;
  capacity_.place_task(*slot_number, spec.per_task);
  zones[*capacity_.at(*slot_number).zone]++;
  load_.used_by_team[spec.team].add(spec.per_task);
  return true;
}

std::optional<MachineKind> ShardPlanner::cheapest_kind(const TaskRequest& request,
                                                       const ZoneCounts& zones,
                                                       TypesForCpuWork types) const {
  const auto& spec = request.spec;
  const auto& cloud_view = inputs_.cloud_view;
  const bool with_gpus = types == TypesForCpuWork::with_gpus;
  std::optional<MachineKind> cheapest;
  double lowest_cost = 0;
  for (const auto& type :
       cloud_view.priced_types.empty() ? inputs_.state_cache.types() : cloud_view.priced_types) {
    const int fitting = type_allowed(spec, type.name) ? capacity_for(spec, type) : 0;
    if (fitting <= 0 || (spec.per_task.gpus == 0 && (type.size.gpus > 0) != with_gpus)) continue;
    for (const auto& zone : type.zones) {
      if (!zone_allowed(spec, zone, zones)) continue;
      // The penalty spreads new machines over the zones.
      const double zone_factor =
          1 + kZoneBalancePenalty * static_cast<double>(capacity_.count(type.name, zone));
      for (const bool spot : {false, true}) {
        if (!spot_allowed(spec, spot) || (request.spot_only && !spot)) continue;
        const MachineKind candidate{type.name, zone, spot};
        if (cloud_view.unavailable.count(candidate)) continue;
        const double cost = (spot ? type.spot_price : type.price) / fitting * zone_factor;
        if (cheapest && cost >= lowest_cost) continue;
        cheapest = candidate;
        lowest_cost = cost;
      }
    }
  }
  return cheapest;
}

std::optional<ShardCapacity::SlotNumber> ShardPlanner::provision_slot(const TaskRequest& request,
                                                                      const ZoneCounts& zones,
                                                                      TypesForCpuWork types) {
  const auto kind = cheapest_kind(request, zones, types);
  if (!kind) return std::nullopt;
  const auto slot_number = capacity_.add(*kind);
  if (slot_number) add_shortage(request, *kind);
  return slot_number;
}

void ShardPlanner::add_shortage(const TaskRequest& request, const MachineKind& kind) {
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
  for (size_t slot_number = 0; slot_number < capacity_.existing_slots(); ++slot_number)
    free.add(capacity_.at(slot_number).free);
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
                     field("machines", static_cast<double>(capacity_.existing_slots())) +
                     field("free_cpus", free.cpus) + field("free_gpus", free.gpus) +
                     field("waiting_cpus", waiting.cpus) + field("waiting_gpus", waiting.gpus);
  for (const auto& [name, tasks] : waiting_tasks) text += field("waiting_tasks." + name, tasks);
  for (const auto& [name, tasks] : load_.placed_tasks)
    text += field("placed_ordinary." + name, tasks.on_demand) +
            field("placed_spot." + name, tasks.spot);
  inputs_.context.info(std::move(text));
}

}  // namespace rushtrestle::coordination
