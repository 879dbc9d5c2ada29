#include "coordination/fleet/consolidator.h"

#include <algorithm>
#include <utility>

#include "coordination/fleet/capacity_planner.h"
#include "coordination/scheduling/best_effort.h"

namespace rushtrestle::coordination {

using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;

namespace {

// A task that has run for less is not moved. By the protocol, a start counts for the user once it
// has lasted half a minute; this is twice that.
constexpr double kMinRunSeconds = 60;
constexpr double kMaxUsedShare = 0.6;  // machines with a larger share in use are not drained
// No machine is drained while more than one in this many of the shard's machines is leaving.
constexpr size_t kMachinesPerLeaving = 10;
// One in this many of the shard's machines is drained per round. With one machine per round,
// draining dozens took minutes.
constexpr size_t kMachinesPerDrained = 40;
constexpr size_t kMaxDrainedPerRound = 4;
// A try may plan the whole shard, so failed tries are limited to keep a round short.
constexpr size_t kMaxFailedTries = 3;
constexpr double kMinFetchRateGbPerS = 0.01;  // gives a rate of 0 a long but finite fetch time

int missing_machines(const CapacityPlan& plan, int shard) {
  int machines = 0;
  for (const auto& shortage : plan.shortages)
    if (shortage.shard == shard) machines += shortage.machines();
  return machines;
}

bool has_shortage_of(const CapacityPlan& plan, const MachineKind& kind) {
  return std::any_of(plan.shortages.begin(), plan.shortages.end(),
                     [&](const MachineShortage& shortage) { return shortage.kind == kind; });
}

// Returns the used share of the machine's CPUs or of its GPUs, whichever is larger.
double used_share(const store::Resources& used, const store::Resources& size) {
  return std::max(size.cpus > 0 ? used.cpus / size.cpus : 0,
                  size.gpus > 0 ? used.gpus / size.gpus : 0);
}

}  // namespace

void Consolidator::sample_attempts() {
  std::erase_if(attempt_samples_,
                [&](const auto& entry) { return !state_cache_.live_jobs().count(entry.first); });
  for (const auto& id : state_cache_.live_jobs()) {
    const uint64_t attempts = state_cache_.job(id)->record.attempts;
    auto& samples = attempt_samples_[id];
    if (samples.empty() || samples.back().attempts != attempts)
      samples.push_back({context_.now, attempts});
    while (samples.size() > 1 && context_.now - samples[1].at > kMinRunSeconds) samples.pop_front();
  }
}

bool Consolidator::has_run_for_a_while(const store::JobRecord& job,
                                       const store::Placement& placement) const {
  const auto samples = attempt_samples_.find(job.spec.id);
  return placement.running && !placement.stopping && samples != attempt_samples_.end() &&
         context_.now - samples->second.front().at > kMinRunSeconds &&
         placement.attempt <= samples->second.front().attempts;
}

Consolidator::MachineLoads Consolidator::machine_loads(int shard) const {
  MachineLoads loads;
  for (const auto& id : state_cache_.live_jobs()) {
    const auto& job = state_cache_.job(id)->record;
    if (membership_.shard_of_team(job.spec.team) != shard) continue;
    for (const auto& placement : job.placed) {
      auto& load = loads[placement.machine];
      // This task is left out, so that no on-demand machine is kept for it. It is stopped without
      // losing work and queued again when its machine is drained.
      const auto* machine = state_cache_.machine(placement.machine);
      if (machine && !machine->record.spot && uses_best_effort_capacity_only(job, context_) &&
          can_move(job.spec))
        continue;
      load.used.add(job.spec.per_task);
      load.drainable &=
          job.status == JobStatus::open &&
          (can_move(job.spec) ? has_run_for_a_while(job, placement) : placement.running);
      if (can_move(job.spec)) load.tasks_to_move.push_back(&job.spec);
    }
  }
  return loads;
}

// Returns whether another machine has room for the task and either has its image or can fetch it
// quickly. A replica must not be down for the duration of a long image fetch.
bool Consolidator::has_destination(const store::JobSpec& spec, const std::string& from, int shard,
                                   const MachineLoads& loads,
                                   const std::set<std::string>& drained) const {
  const double long_fetch_s = context_.settings.heartbeat_interval_s / 2;
  for (const auto& [id, machine] : state_cache_.present_machines()) {
    const MachineRecord& record = machine->record;
    const auto* type = state_cache_.type(record.type);
    if (!type || id == from || drained.count(id) || record.shard != shard || !record.usable() ||
        !spot_allowed(spec, record.spot) || !type_allowed(spec, record.type))
      continue;
    if (!images_.has(id, spec.image) &&
        spec.image_gb / std::max(kMinFetchRateGbPerS, type->fetch_gb_per_s) > long_fetch_s)
      continue;
    store::Resources free = type->size;
    if (const auto load = loads.find(id); load != loads.end()) free.add(load->second.used, -1);
    if (spec.per_task.fits(free)) return true;
  }
  return false;
}

bool Consolidator::work_fits_elsewhere(const std::string& machine, int shard,
                                       const MachineLoads& loads,
                                       const std::set<std::string>& drained) const {
  const auto& tasks_to_move = loads.at(machine).tasks_to_move;
  return std::all_of(tasks_to_move.begin(), tasks_to_move.end(), [&](const auto* spec) {
    return has_destination(*spec, machine, shard, loads, drained);
  });
}

// Returns the machines that may be drained, those with the highest cost of unused capacity first.
std::vector<std::string> Consolidator::candidates(int shard, const MachineLoads& loads,
                                                  const CapacityPlan& planned) const {
  struct Candidate {
    double saving = 0;
    std::string machine;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, load] : loads) {
    const auto* machine = state_cache_.machine(id);
    const auto* type = machine ? state_cache_.type(machine->record.type) : nullptr;
    if (!type || !load.drainable || !machine->record.usable() || machine->record.shard != shard)
      continue;
    if (has_shortage_of(planned, kind_of(machine->record))) continue;
    const double share = used_share(load.used, type->size);
    const double saving = (machine->record.spot ? type->spot_price : type->price) * (1 - share);
    if (share <= kMaxUsedShare) candidates.push_back({saving, id});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const auto& a, const auto& b) { return a.saving > b.saving; });
  std::vector<std::string> machines;
  machines.reserve(candidates.size());
  for (auto& candidate : candidates) machines.push_back(std::move(candidate.machine));
  return machines;
}

Consolidator::MachineCounts Consolidator::count_machines(int shard) const {
  MachineCounts counts;
  for (const auto& [id, machine] : state_cache_.present_machines()) {
    if (machine->record.shard != shard || machine->record.terminating()) continue;
    ++counts.present;
    if (machine->record.phase == MachinePhase::reassignment_requested) ++counts.leaving;
  }
  return counts;
}

std::vector<std::string> Consolidator::select_machines_to_drain(int shard,
                                                                const CapacityPlan& planned,
                                                                CapacityPlanner& planner) {
  const MachineCounts machines = count_machines(shard);
  if (machines.leaving > machines.present / kMachinesPerLeaving) return {};
  const MachineLoads loads = machine_loads(shard);
  const auto from = candidates(shard, loads, planned);
  const size_t max_drained =
      std::clamp<size_t>(machines.present / kMachinesPerDrained, 1, kMaxDrainedPerRound);
  std::vector<std::string> chosen;
  std::set<std::string> drained;
  for (size_t i = 0;
       i < from.size() && i < drained.size() + kMaxFailedTries && drained.size() < max_drained;
       ++i) {
    const std::string& id = from[i];
    if (!work_fits_elsewhere(id, shard, loads, drained)) continue;
    drained.insert(id);
    const CapacityPlan without = planner.plan_without(shard, drained);
    if (missing_machines(without, shard) > missing_machines(planned, shard) ||
        !without.unmet.empty()) {
      drained.erase(id);
      continue;
    }
    chosen.push_back(id);
  }
  return chosen;
}

}  // namespace rushtrestle::coordination
