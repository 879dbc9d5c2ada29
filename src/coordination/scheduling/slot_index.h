// The machines of a plan, indexed so that the best place for a task is found without looking at all
// of them.
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

/// Gives the same place as the free `select_slot` over a list of the same slots, without images,
/// avoided machines and machines of gang reservations.
///
/// Slots that differ in nothing but their number, their free CPUs and their free memory form a
/// group. Within a group the best place for a task without GPUs is the one with the fewest CPUs
/// left, and for a task with GPUs the first one, so a look at each group is enough. The number of
/// groups depends on types, zones and GPUs of a machine, not on machines.
class SlotIndex {
 public:
  /// Number of a slot, in the order in which they were added.
  using Place = size_t;

  /// Forgets all slots. `cpu_per_gpu`: CPUs that a task with GPUs takes beside each.
  void reset(double cpu_per_gpu);
  Place add(const Slot& slot);
  size_t size() const { return slots_.size(); }
  const Slot& at(Place place) const { return slots_[place]; }

  /// The best slot for one more task of the job, or none. `fit.cpu_per_gpu` must be that of
  /// `reset`.
  std::optional<Place> select_slot(const store::JobSpec& spec, const ZoneCounts& placed,
                                   const Fit& fit);
  /// A task is put there.
  void take(Place place, const store::Resources& room);

  /// Groups and slots that were looked at so far: the work done, for tests of how it grows.
  uint64_t looked_at() const { return looked_at_; }

  /// Changes so far: slots added and tasks put.
  size_t changes() const { return changes_.size(); }
  /// Takes back the last changes, to the bit.
  void undo_to(size_t changes);

 private:
  /// Type, zone, spot, empty, pinned, free GPUs.
  using GroupKey =
      std::tuple<const store::MachineType*, const std::string*, bool, bool, bool, double>;
  struct Group {
    std::set<std::pair<double, Place>> by_cpus;  // free ones
    std::set<Place> places;
  };
  struct ChangeMade {
    Place place = 0;
    bool added = false;
    store::Resources free_before = {};
    bool empty_before = true;
  };
  /// Ordinary slots with as many usable GPUs.
  struct UsableGroup {
    // Gives the n-th place without a walk.
    __gnu_pbds::tree<Place, __gnu_pbds::null_type, std::less<>, __gnu_pbds::rb_tree_tag,
                     __gnu_pbds::tree_order_statistics_node_update>
        places;
    std::map<double, size_t> by_gpus;  // number of them by free GPUs
  };
  /// Where the headroom is held back, as long as no slot with GPUs changes: on all slots with more
  /// usable GPUs than `last_usable`, on those with as many that come before `end`, and on the ones
  /// in `partly`.
  struct HeldBack {
    bool known = false;
    CapacityHeadroom reserve;
    double last_usable = 0;
    Place end = 0;
    std::map<Place, double> partly;
  };

  static GroupKey key_of(const Slot& slot);
  void insert(Place place);
  void erase(Place place);
  void hold_back(const CapacityHeadroom& reserve);
  void hold_last(const CapacityHeadroom& reserve, double left,
                 std::map<double, UsableGroup, std::greater<>>::const_iterator group);
  double held_on(Place place) const;
  bool keeps_headroom(Place place, const store::JobSpec& spec) const;
  std::optional<Place> best_with_gpus(const Group& group, const store::JobSpec& spec,
                                      bool bound) const;
  std::optional<Place> best_without_gpus(const Group& group, const store::JobSpec& spec,
                                         double least_cpus, bool bound) const;

  double cpu_per_gpu_ = 0;
  std::deque<Slot> slots_;
  std::map<GroupKey, Group> groups_;
  std::map<double, UsableGroup, std::greater<>> by_usable_gpus_;  // ordinary slots with free GPUs
  std::vector<ChangeMade> changes_;
  HeldBack held_;
  mutable uint64_t looked_at_ = 0;
};

}  // namespace rushtrestle::coordination
