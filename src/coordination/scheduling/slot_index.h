// Indexes the machines of a plan, so that the best slot for a task is found without a scan of all
// machines.
#pragma once
#include <deque>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "coordination/scheduling/placement.h"

namespace rushtrestle::coordination {

/// Finds the same slot as the function `select_slot` finds in a list of the same slots, but ignores
/// images, avoided machines and machines reserved for gangs.
///
/// Slots that differ only in their number, free CPUs and free memory form a group. Within a group,
/// the best slot for a task without GPUs is the one with the fewest free CPUs that suffice, and for
/// a task with GPUs the first one that suffices, so only one slot of each group is scored. The
/// number of groups depends on the types, zones and GPUs per machine, not on the number of
/// machines.
class SlotIndex {
 public:
  /// Position of a slot in the order of addition.
  using SlotNumber = size_t;

  /// Removes all slots. `cpu_per_gpu`: CPUs that a task with GPUs takes for each GPU.
  void reset(double cpu_per_gpu);
  SlotNumber add(const Slot& slot);
  size_t size() const { return slots_.size(); }
  const Slot& at(SlotNumber slot_number) const { return slots_[slot_number]; }

  /// Returns the best slot for one more task of the job, or none. `fit.cpu_per_gpu` must equal the
  /// argument of `reset`.
  std::optional<SlotNumber> select_slot(const store::JobSpec& spec, const ZoneCounts& placed,
                                        const PlacementConstraints& constraints);
  /// Places a task that takes these resources on the slot.
  void place_task(SlotNumber slot_number, const store::Resources& room);

  /// Returns the number of groups and slots visited so far. Tests use it to check how the work
  /// grows.
  uint64_t visits() const { return visits_; }

  /// Returns the number of changes so far: slots added and tasks placed.
  size_t changes() const { return changes_.size(); }
  /// Undoes the latest changes until only the first `changes` are left, and restores the old values
  /// bit for bit.
  void undo_to(size_t changes);

 private:
  /// The fields are: type, zone, spot, empty, has_non_preemptible, free GPUs.
  using GroupKey =
      std::tuple<const store::MachineType*, const std::string*, bool, bool, bool, double>;
  struct Group {
    std::set<std::pair<double, SlotNumber>> by_cpus;  // Sorted by free CPUs.
    std::set<SlotNumber> slot_numbers;
  };
  struct Change {
    SlotNumber slot_number = 0;
    bool added = false;
    store::Resources free_before = {};
    bool empty_before = true;
  };
  /// On-demand slots with the same number of usable GPUs.
  struct UsableGpuGroup {
    // This tree finds the n-th slot in logarithmic time.
    __gnu_pbds::tree<SlotNumber, __gnu_pbds::null_type, std::less<>, __gnu_pbds::rb_tree_tag,
                     __gnu_pbds::tree_order_statistics_node_update>
        slot_numbers;
    std::map<double, size_t> by_gpus;  // Number of slots for each amount of free GPUs.
  };
  /// Slots to which the headroom is assigned: all slots with more usable GPUs than `last_usable`,
  /// those with exactly as many that come before `end`, and the slots in `partial`. Valid until a
  /// slot with GPUs changes.
  struct HeadroomAssignment {
    bool valid = false;
    CapacityHeadroom headroom;
    double last_usable = 0;
    SlotNumber end = 0;
    std::map<SlotNumber, double> partial;
  };

  static GroupKey key_of(const Slot& slot);
  void insert(SlotNumber slot_number);
  void erase(SlotNumber slot_number);
  void assign_headroom(const CapacityHeadroom& headroom);
  void assign_last_headroom(const CapacityHeadroom& headroom, double left,
                            std::map<double, UsableGpuGroup, std::greater<>>::const_iterator group);
  double headroom_on(SlotNumber slot_number) const;
  bool keeps_headroom(SlotNumber slot_number, const store::JobSpec& spec) const;
  std::optional<SlotNumber> best_with_gpus(const Group& group, const store::JobSpec& spec,
                                           bool headroom_applies) const;
  std::optional<SlotNumber> best_without_gpus(const Group& group, const store::JobSpec& spec,
                                              double min_cpus, bool headroom_applies) const;

  double cpu_per_gpu_ = 0;
  std::deque<Slot> slots_;
  std::map<GroupKey, Group> groups_;
  // Holds the on-demand slots with free GPUs.
  std::map<double, UsableGpuGroup, std::greater<>> by_usable_gpus_;
  std::vector<Change> changes_;
  HeadroomAssignment headroom_assignment_;
  mutable uint64_t visits_ = 0;
};

}  // namespace rushtrestle::coordination
