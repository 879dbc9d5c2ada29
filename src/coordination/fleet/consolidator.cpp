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

// A start counts for its user once it has lasted half a minute, by the protocol; twice that is
// settled.
constexpr double kSettledSeconds = 60;
constexpr double kMostUsedShare = 0.6;  // fuller machines are left alone
// One of so many of the shard's machines leaves at a time.
constexpr size_t kMachinesPerLeaving = 10;
// And one of so many is emptied a round: one a round took minutes to empty dozens.
constexpr size_t kMachinesPerEmptied = 40;
constexpr size_t kMostEmptied = 4;      // a round
constexpr size_t kMostFailedTries = 3;  // each is a plan of the shard, so that a round stays short
constexpr double kLeastFetchRate = 0.01;  // GB/s; a rate of nothing gives a long time

int machines_lacking(const CapacityPlan& plan, int shard) {
  int machines = 0;
  for (const auto& shortage : plan.shortages)
    if (shortage.shard == shard) machines += shortage.machines();
  return machines;
}

bool is_lacking(const CapacityPlan& plan, const MachineKind& kind) {
  return std::any_of(plan.shortages.begin(), plan.shortages.end(),
                     [&](const MachineShortage& shortage) { return shortage.kind == kind; });
}

// The share of the machine that is used, of its CPUs or its GPUs, whichever is more.
double used_share(const store::Resources& used, const store::Resources& size) {
  return std::max(size.cpus > 0 ? used.cpus / size.cpus : 0,
                  size.gpus > 0 ? used.gpus / size.gpus : 0);
}

}  // namespace

void Consolidator::note_attempts() {
  std::erase_if(attempts_seen_,
                [&](const auto& entry) { return !state_cache_.live_jobs().count(entry.first); });
  for (const auto& id : state_cache_.live_jobs()) {
    const uint64_t attempts = state_cache_.job(id)->record.attempts;
    auto& seen = attempts_seen_[id];
    if (seen.empty() || seen.back().attempts != attempts) seen.push_back({context_.now, attempts});
    while (seen.size() > 1 && context_.now - seen[1].at > kSettledSeconds) seen.pop_front();
  }
}

bool Consolidator::settled(const store::JobRecord& job, const store::Placement& placement) const {
  const auto seen = attempts_seen_.find(job.spec.id);
  return placement.running && !placement.stopping && seen != attempts_seen_.end() &&
         context_.now - seen->second.front().at > kSettledSeconds &&
         placement.attempt <= seen->second.front().attempts;
}

Consolidator::Loads Consolidator::loads_of(int shard) const {
  Loads loads;
  for (const auto& id : state_cache_.live_jobs()) {
    const auto& job = state_cache_.job(id)->record;
    if (membership_.shard_of_team(job.spec.team) != shard) continue;
    for (const auto& placement : job.placed) {
      auto& load = loads[placement.machine];
      // Saved and queued again: no ordinary machine is kept for it.
      const auto* machine = state_cache_.machine(placement.machine);
      if (machine && !machine->record.spot && takes_idle_room_only(job, context_) &&
          can_move(job.spec))
        continue;
      load.used.add(job.spec.per_task);
      load.movable &= job.status == JobStatus::open &&
                      (can_move(job.spec) ? settled(job, placement) : placement.running);
      if (can_move(job.spec)) load.moved.push_back(&job.spec);
    }
  }
  return loads;
}

// A replica must not be away for as long as its image takes: another machine has to hold it, with
// room.
bool Consolidator::has_target(const store::JobSpec& spec, const std::string& from, int shard,
                              const Loads& loads, const std::set<std::string>& emptied) const {
  const double long_fetch_s = context_.settings.heartbeat_interval_s / 2;
  for (const auto& [id, machine] : state_cache_.present_machines()) {
    const MachineRecord& record = machine->record;
    const auto* type = state_cache_.type(record.type);
    if (!type || id == from || emptied.count(id) || record.shard != shard || !record.usable() ||
        !kind_allowed(spec, record.spot) || !type_allowed(spec, record.type))
      continue;
    if (!images_.has(id, spec.image) &&
        spec.image_gb / std::max(kLeastFetchRate, type->fetch_gb_per_s) > long_fetch_s)
      continue;
    store::Resources free = type->size;
    if (const auto load = loads.find(id); load != loads.end()) free.add(load->second.used, -1);
    if (spec.per_task.fits(free)) return true;
  }
  return false;
}

bool Consolidator::work_fits_elsewhere(const std::string& machine, int shard, const Loads& loads,
                                       const std::set<std::string>& emptied) const {
  const auto& moved = loads.at(machine).moved;
  return std::all_of(moved.begin(), moved.end(), [&](const auto* spec) {
    return has_target(*spec, machine, shard, loads, emptied);
  });
}

// Most saved first: by what they cost and are not used for.
std::vector<std::string> Consolidator::candidates(int shard, const Loads& loads,
                                                  const CapacityPlan& planned) const {
  struct Candidate {
    double saving = 0;
    std::string machine;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, load] : loads) {
    const auto* machine = state_cache_.machine(id);
    const auto* type = machine ? state_cache_.type(machine->record.type) : nullptr;
    if (!type || !load.movable || !machine->record.usable() || machine->record.shard != shard)
      continue;
    if (is_lacking(planned, kind_of(machine->record))) continue;
    const double share = used_share(load.used, type->size);
    const double saving = (machine->record.spot ? type->spot_price : type->price) * (1 - share);
    if (share <= kMostUsedShare) candidates.push_back({saving, id});
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

std::vector<std::string> Consolidator::machines_to_empty(int shard, const CapacityPlan& planned,
                                                         CapacityPlanner& planner) {
  const MachineCounts machines = count_machines(shard);
  if (machines.leaving > machines.present / kMachinesPerLeaving) return {};
  const Loads loads = loads_of(shard);
  const auto from = candidates(shard, loads, planned);
  const size_t most = std::clamp<size_t>(machines.present / kMachinesPerEmptied, 1, kMostEmptied);
  std::vector<std::string> chosen;
  std::set<std::string> emptied;
  for (size_t i = 0;
       i < from.size() && i < emptied.size() + kMostFailedTries && emptied.size() < most; ++i) {
    const std::string& id = from[i];
    if (!work_fits_elsewhere(id, shard, loads, emptied)) continue;
    emptied.insert(id);
    const CapacityPlan without = planner.plan_without(shard, emptied);
    if (machines_lacking(without, shard) > machines_lacking(planned, shard) ||
        !without.unmet.empty()) {
      emptied.erase(id);
      continue;
    }
    chosen.push_back(id);
  }
  return chosen;
}

}  // namespace rushtrestle::coordination
