// Finds room for tasks and for whole jobs on the machines of a shard: builds the picture of their
// free room, and applies the conditions of the scheduling pass to each search.
//
// Invariant: a search leaves the picture as it was, to the bit. Called by the scheduler, the gang
// scheduler and the requeue action.
#pragma once
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/scheduling/gang_reservation_table.h"
#include "coordination/scheduling/preemptor_reservations.h"

namespace rushtrestle::coordination {

/// Where the tasks of a job would go: machine and room, an entry a task.
using PlannedRoom = std::vector<std::pair<std::string, store::Resources>>;

/// What holds for all searches until the next scheduling pass.
struct PassConditions {
  double cpu_per_gpu = 0;         // the most that a task of any job takes
  CapacityHeadroom headroom;      // room with GPUs kept for work that can run nowhere else
  bool production_waits = false;  // a job waits that may not be preempted
};

/// Tasks of the job by zone of their machine.
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

  /// Machines of the shard that take work now, with their free room, less what is reserved for
  /// preemptors. Sorted by machine id.
  std::vector<Slot> slots(int shard) const;
  /// Jobs of the same placement class fit or don't fit alike. Empty: this one is like no other.
  std::string placement_class_of(ShardJob& job) const;
  /// The best slot for one more task of the job, whose tasks are in `zones` so far; null: none.
  Slot* select_slot_for(const ShardJob& job, const ZoneCounts& zones,
                        std::vector<Slot>& slots) const;
  /// Where all that the job lacks would go; none: it does not fit whole. The slots are as before.
  std::optional<PlannedRoom> room_for_whole(const ShardJob& job, std::vector<Slot>& slots) const;

 private:
  bool takes_work(const ShardMachine& machine, const store::MachineRecord& record) const;
  Fit placement_request_for(const ShardJob& job) const;
  std::optional<PlannedRoom> room_beside(const ShardJob& job, ZoneCounts zones,
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
