// The machines of one shard as a plan sees them: those that exist, those that are on their way, and
// those that the plan adds. Owns the slots and their number by type and zone, which change
// together. Used by the planner of a shard.
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
  using Place = SlotIndex::Place;
  using TypeAndZone = std::pair<std::string, std::string>;
  /// What `restore` goes back to.
  struct Checkpoint {
    size_t changes = 0;
    std::map<TypeAndZone, int> slots_of;
  };

  /// Machines on record, provided but not recorded yet, and asked for. The arguments must outlive
  /// this object.
  ShardCapacity(const PlanningInputs& inputs, int shard, const ShardLoad& load,
                const ExcludedMachines& excluded);

  /// Machines that exist or are on their way: the first slots.
  size_t existing() const { return existing_; }
  size_t size() const { return slots_.size(); }
  const Slot& at(Place place) const { return slots_.at(place); }
  /// Slots of this type and zone.
  int count(const std::string& type, const std::string& zone) const;
  std::optional<Place> select_slot(const store::JobSpec& spec, const ZoneCounts& placed,
                                   const Fit& fit) {
    return slots_.select_slot(spec, placed, fit);
  }
  void take(Place place, const store::Resources& resources) { slots_.take(place, resources); }
  /// Adds an empty machine. None: the type is not known or not offered in that zone.
  std::optional<Place> add(const MachineKind& kind);
  /// May one of the slots from `from` on take a task of this job, zones apart?
  bool any_may_take(const store::JobSpec& spec, Place from) const;
  Checkpoint checkpoint() const { return {slots_.changes(), slots_of_}; }
  /// Takes back what was added and taken since.
  void restore(const Checkpoint& checkpoint);
  /// Machines on record that were empty and still are.
  std::vector<std::string> unused_machines() const;

 private:
  void add_machine(const store::MachineRecord& machine, const ShardLoad& load);
  void add_requested(int shard);

  const PlanningInputs& inputs_;
  SlotIndex slots_;
  std::map<TypeAndZone, int> slots_of_;
  size_t existing_ = 0;
  std::vector<bool> was_empty_;  // of the existing slots
};

}  // namespace rushtrestle::coordination
