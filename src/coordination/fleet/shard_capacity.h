// The machines of one shard during planning: existing ones, requested ones, and those that
// the plan adds. Owns the slots and their counts by type and zone, which change together. Used by
// the shard planner.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/fleet/shard_load.h"
#include "coordination/scheduling/slot_index.h"

namespace rushtrestle::coordination {

class ShardCapacity {
 public:
  using SlotNumber = SlotIndex::SlotNumber;
  using TypeAndZone = std::pair<std::string, std::string>;
  /// The state to which `restore` returns.
  struct Checkpoint {
    size_t changes = 0;  // number of changes to the slots so far
    std::map<TypeAndZone, int> slots_by_type_and_zone;
  };

  /// Starts with the machines that have a record, those that are provided but not recorded yet, and
  /// those requested from the cloud. The arguments must outlive this object.
  ShardCapacity(const PlanningInputs& inputs, int shard, const ShardLoad& load,
                const ExcludedMachines& excluded);

  /// Number of slots of machines that exist or are requested. These slots come first.
  size_t existing_slots() const { return existing_slots_; }
  size_t size() const { return slots_.size(); }
  const Slot& at(SlotNumber slot_number) const { return slots_.at(slot_number); }
  /// Returns the number of slots of this type and zone.
  int count(const std::string& type, const std::string& zone) const;
  std::optional<SlotNumber> select_slot(const store::JobSpec& spec, const ZoneCounts& placed,
                                        const PlacementConstraints& constraints) {
    return slots_.select_slot(spec, placed, constraints);
  }
  void place_task(SlotNumber slot_number, const store::Resources& resources) {
    slots_.place_task(slot_number, resources);
  }
  /// Adds an empty machine. Returns nothing if the type is unknown or not offered in the zone.
  std::optional<SlotNumber> add(const MachineKind& kind);
  /// Returns whether a slot from number `from` on can take a task of this job. Ignores the job's
  /// zone rules.
  bool any_slot_fits(const store::JobSpec& spec, SlotNumber from) const;
  Checkpoint checkpoint() const { return {slots_.changes(), slots_by_type_and_zone_}; }
  /// Undoes all additions and placements since the checkpoint.
  void restore(const Checkpoint& checkpoint);
  /// Returns the recorded machines that were empty before planning and still are.
  std::vector<std::string> unused_machines() const;

 private:
  void add_machine(const store::MachineRecord& machine, const ShardLoad& load);
  void add_requested(int shard);

  const PlanningInputs& inputs_;
  SlotIndex slots_;
  std::map<TypeAndZone, int> slots_by_type_and_zone_;
  size_t existing_slots_ = 0;
  std::vector<bool> was_empty_;  // for each existing slot, before planning
};

}  // namespace rushtrestle::coordination
