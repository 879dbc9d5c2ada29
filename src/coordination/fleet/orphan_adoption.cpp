#include "coordination/fleet/orphan_adoption.h"

#include <algorithm>

namespace rushtrestle::coordination {

namespace {
// Load of one machine, in CPUs of guarantee. It exceeds any difference between the guarantees of
// two shards, so that every shard with teams gets machines in turn.
constexpr double kMachineWeight = 1e6 / 64;
}  // namespace

OrphanShardSelector::Load OrphanShardSelector::count_load(const std::string& type) const {
  Load load;
  for (const auto& team : context_.settings.teams)
    load[membership_.shard_of_team(team.name)] -= team.guarantee.cpus;
  const auto add = [&](const store::MachineRecord& machine) {
    const auto of_shard = load.find(machine.shard);
    if (machine.type == type && of_shard != load.end()) of_shard->second += kMachineWeight;
  };
  for (const auto& [id, machine] : state_cache_.present_machines())
    if (!machine->record.terminating()) add(machine->record);
  for (const auto& [id, machine] : unrecorded_.records()) add(machine);
  return load;
}

int OrphanShardSelector::select_shard(const std::string& type) {
  auto known = loads_.find(type);
  if (known == loads_.end()) known = loads_.emplace(type, count_load(type)).first;
  Load& load = known->second;
  const auto lowest = std::min_element(
      load.begin(), load.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  if (lowest == load.end()) return 0;
  lowest->second += kMachineWeight;
  return lowest->first;
}

}  // namespace rushtrestle::coordination
