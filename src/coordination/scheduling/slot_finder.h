// Finds machines for single tasks and for whole jobs in a shard: takes the snapshot of the
// machines' free resources, and applies the conditions of the scheduling pass to each search.
//
// Invariant: a search leaves the snapshot bit for bit as it was. Called by the scheduler, the gang
// scheduler and the requeue action.
#pragma once
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/scheduling/gang_reservation_table.h"
#include "coordination/scheduling/preemptor_reservations.h"

namespace rushtrestle::coordination {

/// Machine and resources for each task of a job that would be placed.
using PlannedPlacements = std::vector<std::pair<std::string, store::Resources>>;

/// Conditions that apply to all searches until the next scheduling pass.
struct PassConditions {
  double cpu_per_gpu = 0;     // The most CPUs per GPU that a task of any job takes.
  CapacityHeadroom headroom;  // GPU capacity kept free for work that can't use spot machines.
  bool non_preemptible_job_waits = false;  // A job that may not be preempted waits.
};

/// Returns the number of the job's placed tasks in each zone.
ZoneCounts zones_of(const store::JobRecord& record, const store::StateCache& state_cache);

class SlotFinder {
 public:
  SlotFinder(const Context& context, const store::StateCache& state_cache, const ShardState& state,
             const ImageCaches& images, const PreemptorReservations& preemptor_reservations,
             const GangReservationTable& gang_reservations, const TeamQuotas& quotas)
      : context_(context),
        state_cache_(state_cache),
        state_(state),
        images_(images),
        preemptor_reservations_(preemptor_reservations),
        gang_reservations_(gang_reservations),
        quotas_(quotas) {}

  void begin_pass(const PassConditions& conditions) { conditions_ = conditions; }

  /// Returns the machines of the shard that accept tasks now, with their free resources less what
  /// is reserved for preemptors. Sorted by machine id.
  std::vector<Slot> slots(int shard) const;
  /// Returns the job's placement class: if a task of one job finds no slot, no job of the same
  /// class finds one. Empty: no other job is known to be equivalent.
  std::string placement_class_of(ShardJob& job) const;
  /// Returns the best slot for one more task of the job, or null if there is none. `zones` counts
  /// the job's tasks that are placed so far.
  Slot* select_slot_for(const ShardJob& job, const ZoneCounts& zones,
                        std::vector<Slot>& slots) const;
  /// Returns where all missing tasks of the job would go; none: they don't all fit. Leaves the
  /// slots as they were.
  std::optional<PlannedPlacements> find_room_for_all_tasks(const ShardJob& job,
                                                           std::vector<Slot>& slots) const;

 private:
  bool accepts_tasks(const ShardMachine& machine, const store::MachineRecord& record) const;
  PlacementConstraints placement_constraints_for(const ShardJob& job) const;
  std::optional<PlannedPlacements> room_for_missing_tasks(const ShardJob& job, ZoneCounts zones,
                                                          std::vector<Slot>& slots) const;

  const Context& context_;
  const store::StateCache& state_cache_;
  const ShardState& state_;
  const ImageCaches& images_;
  const PreemptorReservations& preemptor_reservations_;
  const GangReservationTable& gang_reservations_;
  const TeamQuotas& quotas_;
  PassConditions conditions_;
};

}  // namespace rushtrestle::coordination
