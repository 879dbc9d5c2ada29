#include "coordination/fleet/shard_capacity.h"

#include <algorithm>

namespace rushtrestle::coordination {

using store::MachineRecord;

ShardCapacity::ShardCapacity(const PlanningInputs& inputs, int shard, const ShardLoad& load,
                             const ExcludedMachines& excluded)
    : inputs_(inputs) {
  slots_.reset(load.cpu_per_gpu);
  const auto& cloud_view = inputs.cloud_view;
  for (const auto& [id, machine] : inputs.state_cache.present_machines())
    if (machine->record.shard == shard && machine->record.usable() && !excluded.count(id) &&
        !boot_overdue(machine->record, inputs.state_cache, cloud_view.running, inputs.context.wall))
      add_machine(machine->record, load);
  for (const auto& machine : cloud_view.unrecorded)
    if (machine.shard == shard && !inputs.state_cache.machine(machine.id))
      add_machine(machine, load);
  add_requested(shard);
  existing_slots_ = slots_.size();
  was_empty_.reserve(existing_slots_);
  for (SlotNumber slot_number = 0; slot_number < existing_slots_; ++slot_number) {
    const Slot& slot = slots_.at(slot_number);
    ++slots_by_type_and_zone_[{slot.type->name, *slot.zone}];
    was_empty_.push_back(slot.empty);
  }
}

void ShardCapacity::add_machine(const MachineRecord& machine, const ShardLoad& load) {
  const auto* type = inputs_.state_cache.type(machine.type);
  if (!type) return;
  Slot slot{machine.id, type, shared_zone(*type, machine.zone), machine.spot, type->size, true};
  if (const auto used = load.used.find(machine.id); used != load.used.end()) {
    slot.free.add(used->second, -1);
    slot.empty = false;
    slot.has_non_preemptible = load.machines_with_non_preemptible.count(machine.id) != 0;
  }
  slots_.add(slot);
}

void ShardCapacity::add_requested(int shard) {
  const auto requested = inputs_.cloud_view.requested.find(shard);
  if (requested == inputs_.cloud_view.requested.end()) return;
  for (const auto& kind : requested->second)
    if (const auto* type = inputs_.state_cache.type(kind.type))
      slots_.add({"", type, shared_zone(*type, kind.zone), kind.spot, type->size, true});
}

int ShardCapacity::count(const std::string& type, const std::string& zone) const {
  const auto slots = slots_by_type_and_zone_.find({type, zone});
  return slots == slots_by_type_and_zone_.end() ? 0 : slots->second;
}

std::optional<ShardCapacity::SlotNumber> ShardCapacity::add(const MachineKind& kind) {
  const auto* type = inputs_.state_cache.type(kind.type);
  if (!type) return std::nullopt;
  const auto zone = std::find(type->zones.begin(), type->zones.end(), kind.zone);
  if (zone == type->zones.end()) return std::nullopt;
  const SlotNumber slot_number = slots_.add({"", type, &*zone, kind.spot, type->size, true});
  ++slots_by_type_and_zone_[{type->name, kind.zone}];
  return slot_number;
}

bool ShardCapacity::any_slot_fits(const store::JobSpec& spec, SlotNumber from) const {
  for (SlotNumber slot_number = from; slot_number < slots_.size(); ++slot_number) {
    const Slot& slot = slots_.at(slot_number);
    if (spec.per_task.fits(slot.free) && spot_allowed(spec, slot.spot) &&
        type_allowed(spec, slot.type->name))
      return true;
  }
  return false;
}

void ShardCapacity::restore(const Checkpoint& checkpoint) {
  slots_.undo_to(checkpoint.changes);
  slots_by_type_and_zone_ = checkpoint.slots_by_type_and_zone;
}

std::vector<std::string> ShardCapacity::unused_machines() const {
  std::vector<std::string> unused;
  for (SlotNumber slot_number = 0; slot_number < existing_slots_; ++slot_number) {
    const Slot& slot = slots_.at(slot_number);
    if (was_empty_[slot_number] && slot.empty && !slot.machine.empty() &&
        inputs_.state_cache.machine(slot.machine))
      unused.push_back(slot.machine);
  }
  return unused;
}

}  // namespace rushtrestle::coordination
