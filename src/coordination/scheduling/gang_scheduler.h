// Places gangs: either all missing members or none.
//
// Invariant: members are only added to a gang that is idle or gathering (gang_lifecycle.h), and all
// of them in one write. Called by the scheduler during a scheduling pass.
#pragma once
#include <string>
#include <vector>

#include "coordination/scheduling/queue_order.h"
#include "coordination/scheduling/slot_finder.h"
#include "coordination/shard/job_record_writer.h"

namespace rushtrestle::coordination {

class GangScheduler {
 public:
  GangScheduler(Context& context, const store::StateCache& state_cache, ShardState& state,
                JobRecordWriter& job_writer, const QueueOrder& queue_order,
                const SlotFinder& slot_finder, const PlacementLimits& limits,
                GangReservationTable& reservations)
      : context_(context),
        state_cache_(state_cache),
        state_(state),
        job_writer_(job_writer),
        queue_order_(queue_order),
        slot_finder_(slot_finder),
        limits_(limits),
        reservations_(reservations) {}

  /// Places all missing members of the gang and subtracts their resources from the slots. Returns
  /// false if nothing was placed. A starving gang that does not fit gets a gang reservation.
  bool place(ShardJob& gang, std::vector<Slot>& slots);

 private:
  bool all_members_gathering(const ShardJob& gang);
  PlannedPlacements find_room(const ShardJob& gang, uint32_t missing_tasks,
                              std::vector<Slot>& slots) const;
  PlannedPlacements find_room_on_few_machines(const ShardJob& gang, uint32_t missing_tasks,
                                              const std::vector<Slot>& slots) const;
  void bind_all(ShardJob& gang, const PlannedPlacements& planned_placements,
                std::vector<Slot>& slots);

  Context& context_;
  const store::StateCache& state_cache_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  const QueueOrder& queue_order_;
  const SlotFinder& slot_finder_;
  const PlacementLimits& limits_;
  GangReservationTable& reservations_;
};

}  // namespace rushtrestle::coordination
