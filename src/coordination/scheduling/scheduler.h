// The scheduling pass: decides which waiting job gets room next, and where, in the shards that this
// controller leads.
//
// Invariant: a task is placed only within its team's quota, on a machine that takes work, and only
// as many at once as one write of the job's record can make durable. Called by the shard controller
// when something changed that may let waiting work be placed.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "coordination/scheduling/arrival_forecast.h"
#include "coordination/scheduling/gang_scheduler.h"
#include "coordination/shard/failure_tracker.h"

namespace rushtrestle::coordination {

class Scheduler {
 public:
  Scheduler(Context& context, store::StateCache& state_cache, ShardState& state,
            JobRecordWriter& job_writer, const FailureTracker& failures, ImageCaches& images,
            const ArrivalForecast& arrival_forecast, PreemptorReservations& preemptor_reservations);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Places what waits in the shard as far as there is room.
  void schedule(int shard);

  /// Jobs of the shard that wait for room, in the order in which they are served.
  std::vector<ShardJob*> scheduling_queue(int shard) {
    return queue_order_.scheduling_queue(shard);
  }

  // For the requeue action, which tries evictions under the conditions of the last pass:
  QueueOrder& queue_order() { return queue_order_; }
  const SlotFinder& slot_finder() const { return slot_finder_; }

 private:
  enum class Outcome {
    placed,         // at least one task
    no_room,        // nothing: no slot for the next task
    nothing_placed  // for a reason that says nothing of jobs of the same placement class
  };

  PassConditions pass_conditions(int shard, const std::vector<ShardJob*>& queue) const;
  void serve_in_turn(const std::vector<ShardJob*>& jobs, std::vector<Slot>& open_slots);
  void set_expected_room_aside(int shard, double cpu_per_gpu, std::vector<Slot>& open_slots) const;
  void schedule_job(ShardJob& job, std::vector<Slot>& open_slots,
                    std::set<std::string>& classes_without_room);
  bool open_reserved_room(const std::string& job_id, std::vector<Slot>& open_slots);
  void close_reserved_room(const std::string& job_id, std::vector<Slot>& open_slots) const;
  Outcome place(ShardJob& job, std::vector<Slot>& slots);
  Outcome place_tasks(ShardJob& job, std::vector<Slot>& slots);
  std::set<std::string> machines_to_be_written(const ShardJob& job) const;

  Context& context_;
  const store::StateCache& state_cache_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  const FailureTracker& failures_;
  const ArrivalForecast& arrival_forecast_;
  PreemptorReservations& preemptor_reservations_;
  TeamQuotas quotas_;
  PlacementLimits limits_;
  QueueOrder queue_order_;
  GangReservationTable gang_reservations_;
  SlotFinder slot_finder_;
  GangScheduler gang_scheduler_;
};

}  // namespace rushtrestle::coordination
