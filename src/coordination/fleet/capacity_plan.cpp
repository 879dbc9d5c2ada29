#include "coordination/fleet/capacity_plan.h"

#include <algorithm>

namespace rushtrestle::coordination {

MachineKind kind_of(const store::MachineRecord& machine) {
  return {machine.type, machine.zone, machine.spot};
}

bool can_move(const store::JobSpec& spec) {
  return spec.kind == store::JobKind::service || spec.checkpoint_s > 0;
}

bool is_preemptible(const store::JobSpec& spec, const Context& context) {
  const auto& ranks = context.operators.preemptible;
  return std::find(ranks.begin(), ranks.end(), spec.rank) != ranks.end();
}

bool boot_overdue(const store::MachineRecord& machine, const store::StateCache& state_cache,
                  const std::set<std::string>* running, double wall) {
  const auto* type = state_cache.type(machine.type);
  const bool came_up = !machine.address.empty() || (running && running->count(machine.id) != 0);
  return type && !came_up && wall - machine.since > type->boot_s * Tunables::kBootOverdueFactor;
}

}  // namespace rushtrestle::coordination
