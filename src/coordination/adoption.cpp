#include "coordination/adoption.h"

#include <algorithm>

namespace rushtrestle::coordination {

namespace {
// A machine weighs more than any difference of guarantees, so that each part with teams gets its turn.
constexpr double kMachineWeight = 1e6 / 64;
}  // namespace

AdoptionShares::Load AdoptionShares::count(const std::string& type) const {
  Load load;
  for (const auto& team : ctx_.settings.teams) load[members_.part_of_team(team.name)] -= team.guarantee.cpus;
  const auto add = [&](const store::MachineRecord& machine) {
    const auto part = load.find(machine.part);
    if (machine.type == type && part != load.end()) part->second += kMachineWeight;
  };
  for (const auto& [id, machine] : model_.present_machines())
    if (!machine->record.doomed()) add(machine->record);
  for (const auto& [id, machine] : fresh_) add(machine);
  return load;
}

int AdoptionShares::next_part(const std::string& type) {
  auto known = loads_.find(type);
  if (known == loads_.end()) known = loads_.emplace(type, count(type)).first;
  Load& load = known->second;
  const auto lowest =
      std::min_element(load.begin(), load.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  if (lowest == load.end()) return 0;
  lowest->second += kMachineWeight;
  return lowest->first;
}

}  // namespace rushtrestle::coordination
