#include "coordination/fleet/unused_machines.h"

#include <utility>

namespace rushtrestle::coordination {

UnusedMachines::UnusedMachines(std::vector<std::string> machines,
                               const store::StateCache& state_cache)
    : machines_(std::move(machines)) {
  for (size_t place = 0; place < machines_.size(); ++place) {
    const auto* machine = state_cache.machine(machines_[place]);
    if (!machine) continue;
    places_[kind_of(machine->record)][machine->record.shard].push_back(place);
    left_.insert(place);
  }
}

std::optional<std::string> UnusedMachines::take(const MachineKind& kind, int other_than_shard) {
  const auto of_kind = places_.find(kind);
  if (of_kind == places_.end()) return std::nullopt;
  Places* first = nullptr;
  for (auto& [shard, places] : of_kind->second)
    if (shard != other_than_shard && !places.empty() && (!first || places.front() < first->front()))
      first = &places;
  if (!first) return std::nullopt;
  const size_t place = first->front();
  first->pop_front();
  left_.erase(place);
  return machines_[place];
}

std::vector<std::string> UnusedMachines::remaining() const {
  std::vector<std::string> machines;
  machines.reserve(left_.size());
  for (const size_t place : left_) machines.push_back(machines_[place]);
  return machines;
}

}  // namespace rushtrestle::coordination
