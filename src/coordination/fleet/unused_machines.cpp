#include "coordination/fleet/unused_machines.h"

#include <utility>

namespace rushtrestle::coordination {

UnusedMachines::UnusedMachines(std::vector<std::string> machines,
                               const store::StateCache& state_cache)
    : machines_(std::move(machines)) {
  for (size_t i = 0; i < machines_.size(); ++i) {
    const auto* machine = state_cache.machine(machines_[i]);
    if (!machine) continue;
    const auto& r = machine->record;
    places_[{r.type, r.zone, r.spot}][r.shard].push_back(i);
    left_.insert(i);
  }
}

std::optional<std::string> UnusedMachines::take(const MachineKind& kind, int other_than_shard) {
  const auto of_kind = places_.find(kind);
  if (of_kind == places_.end()) return std::nullopt;
  std::deque<size_t>* first = nullptr;
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
  std::vector<std::string> out;
  out.reserve(left_.size());
  for (const size_t place : left_) out.push_back(machines_[place]);
  return out;
}

}  // namespace rushtrestle::coordination
