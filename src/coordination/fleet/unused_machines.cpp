#include "coordination/fleet/unused_machines.h"

#include <utility>

namespace rushtrestle::coordination {

UnusedMachines::UnusedMachines(std::vector<std::string> machines,
                               const store::StateCache& state_cache)
    : machines_(std::move(machines)) {
  for (size_t index = 0; index < machines_.size(); ++index) {
    const auto* machine = state_cache.machine(machines_[index]);
    if (!machine) continue;
    indices_[kind_of(machine->record)][machine->record.shard].push_back(index);
    remaining_.insert(index);
  }
}

std::optional<std::string> UnusedMachines::take(const MachineKind& kind, int other_than_shard) {
  const auto of_kind = indices_.find(kind);
  if (of_kind == indices_.end()) return std::nullopt;
  Indices* first = nullptr;
  for (auto& [shard, indices] : of_kind->second)
    if (shard != other_than_shard && !indices.empty() &&
        (!first || indices.front() < first->front()))
      first = &indices;
  if (!first) return std::nullopt;
  const size_t index = first->front();
  first->pop_front();
  remaining_.erase(index);
  return machines_[index];
}

std::vector<std::string> UnusedMachines::remaining() const {
  std::vector<std::string> machines;
  machines.reserve(remaining_.size());
  for (const size_t index : remaining_) machines.push_back(machines_[index]);
  return machines;
}

}  // namespace rushtrestle::coordination
