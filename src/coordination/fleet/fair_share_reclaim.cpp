#include "coordination/fleet/fair_share_reclaim.h"

#include <utility>

namespace rushtrestle::coordination {

using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;

namespace {

constexpr int kMaxIncomingMachines = 2;  // machines moving to one shard at a time

}  // namespace

FairShareReclaim::ReclaimableCapacity FairShareReclaim::reclaimable_capacity() const {
  ReclaimableCapacity reclaimable;
  std::map<std::string, store::Resources> used;  // by team
  for (const auto& id : state_cache_.live_jobs()) {
    const auto& job = state_cache_.job(id)->record;
    for (const auto& placement : job.placed) {
      auto& load = reclaimable.loads[placement.machine];
      ++load.tasks;
      load.has_non_preemptible |= !is_preemptible(job.spec, context_);
    }
    // Waiting tasks count as well: machines still booting for work beyond the guarantee are the
    // cheapest to give up.
    if (job.status == JobStatus::open)
      used[job.spec.team].add(job.spec.per_task, job.spec.tasks - job.done.size());
  }
  for (const auto& [id, machine] : state_cache_.present_machines())
    if (const auto* type = state_cache_.type(machine->record.type);
        type && machine->record.usable())
      reclaimable.capacity[machine->record.shard] += type->size.cpus;
  for (const auto& team : context_.settings.teams)
    reclaimable.guaranteed[membership_.shard_of_team(team.name)] += team.guarantee.cpus;
  for (const auto& team : context_.settings.teams)
    if (used[team.name].cpus > team.guarantee.cpus + store::Resources::kSlack ||
        used[team.name].gpus > team.guarantee.gpus + store::Resources::kSlack)
      reclaimable.over_guarantee.insert(membership_.shard_of_team(team.name));
  return reclaimable;
}

// Counts the machines that are being moved to each shard.
std::map<int, int> FairShareReclaim::incoming_machines() const {
  std::map<int, int> by_shard;
  for (const auto& [id, machine] : state_cache_.present_machines())
    if (machine->record.phase == MachinePhase::reassignment_requested &&
        machine->record.next_shard >= 0)
      ++by_shard[machine->record.next_shard];
  return by_shard;
}

bool FairShareReclaim::may_be_reclaimed(const MachineRecord& machine, const UnmetDemand& demand,
                                        ReclaimableCapacity& reclaimable) const {
  const auto* type = state_cache_.type(machine.type);
  if (!type || !machine.usable() || machine.shard == demand.shard ||
      !reclaimable.over_guarantee.count(machine.shard) || reclaimable.reclaimed.count(machine.id))
    return false;
  if (reclaimable.capacity[machine.shard] - type->size.cpus < reclaimable.guaranteed[machine.shard])
    return false;
  return type_allowed(demand.spec, machine.type) && spot_allowed(demand.spec, machine.spot) &&
         zone_allowed(demand.spec, machine.zone, demand.zones) &&
         capacity_for(demand.spec, *type) > 0;
}

const MachineRecord* FairShareReclaim::machine_to_reclaim(const UnmetDemand& demand,
                                                          ReclaimableCapacity& reclaimable) const {
  const MachineRecord* best = nullptr;
  int fewest_tasks = 0;
  for (const auto& [id, machine] : state_cache_.present_machines()) {
    if (!may_be_reclaimed(machine->record, demand, reclaimable)) continue;
    const auto load = reclaimable.loads.find(id);
    if (load != reclaimable.loads.end() && load->second.has_non_preemptible) continue;
    const int tasks = load == reclaimable.loads.end() ? 0 : load->second.tasks;
    if (!best || tasks < fewest_tasks) {
      best = &machine->record;
      fewest_tasks = tasks;
    }
  }
  return best;
}

void FairShareReclaim::reclaim(const std::vector<UnmetDemand>& unmet) {
  if (unmet.empty() || !context_.operators.reclaim_guarantee) return;
  ReclaimableCapacity reclaimable = reclaimable_capacity();
  // Only a few machines move to a shard at a time, including earlier requests, because the next
  // plan sees their effect.
  std::map<int, int> incoming = incoming_machines();
  // Shapes for which the search found no machine. With thousands of waiting jobs of a few shapes, a
  // search for each job examined every machine each time.
  std::set<std::pair<int, std::string>> shapes_without_machine;
  for (const auto& demand : unmet) {
    if (incoming[demand.shard] >= kMaxIncomingMachines) continue;
    const auto shape =
        std::make_pair(demand.shard, placement_shape(demand.spec) + zones_shape(demand.zones));
    if (shapes_without_machine.count(shape)) continue;
    const MachineRecord* machine = machine_to_reclaim(demand, reclaimable);
    if (!machine) {
      shapes_without_machine.insert(shape);
      continue;
    }
    reclaimable.reclaimed.insert(machine->id);
    ++incoming[demand.shard];
    context_.counters["guarantee_reclaims"]++;
    context_.info("machine_reassignment_requested machine=" + machine->id + " next_shard=" +
                  std::to_string(demand.shard) + " reason=guarantee team=" + demand.spec.team +
                  " tasks=" + std::to_string(reclaimable.loads[machine->id].tasks));
    reassignment_.request_reassignment(machine->id, demand.shard, DrainMode::drain);
  }
}

}  // namespace rushtrestle::coordination
