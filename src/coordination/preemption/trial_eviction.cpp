#include "coordination/preemption/trial_eviction.h"

#include <algorithm>
#include <string>

namespace rushtrestle::coordination {

namespace {
Slot* find_slot(std::vector<Slot>& slots, const std::string& machine) {
  const auto it =
      std::lower_bound(slots.begin(), slots.end(), machine,
                       [](const Slot& slot, const std::string& id) { return slot.machine < id; });
  return it != slots.end() && it->machine == machine ? &*it : nullptr;
}
}  // namespace

TrialEviction::TrialEviction(const store::JobRecord& victim, std::vector<Slot>& slots) {
  for (const auto& placement : victim.placed) {
    Slot* slot = find_slot(slots, placement.machine);
    if (!slot) continue;
    rollback_.record(*slot);
    slot->free.add(victim.spec.per_task);
  }
}

}  // namespace rushtrestle::coordination
