// Places gangs: all members that are missing, or none.
//
// Invariant: members are only added to a gang that is idle or still gathering (gang_lifecycle.h),
// and all in one write. Called by the scheduler in its pass.
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

  /// Places all that the gang lacks and takes the room from the slots; false: nothing was placed.
  /// A starving gang that finds no room gets a gang reservation.
  bool place(ShardJob& gang, std::vector<Slot>& slots);

 private:
  bool all_gathering(const ShardJob& gang);
  PlannedRoom room_for(const ShardJob& gang, uint32_t missing_tasks,
                       std::vector<Slot>& slots) const;
  PlannedRoom room_on_few_machines(const ShardJob& gang, uint32_t missing_tasks,
                                   const std::vector<Slot>& slots) const;
  void bind_all(ShardJob& gang, const PlannedRoom& planned_room, std::vector<Slot>& slots);

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
