// Scheduling pass: decides which waiting job is placed next, and on which machines, in the shards
// that this controller leads.
//
// Invariant: a task is placed only within its team's quota, on a machine that accepts tasks, and no
// more tasks of a job are placed at once than one write of the job's record can make durable.
// Called by the shard controller after a change that may allow waiting jobs to be placed.
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

  /// Places as many waiting tasks of the shard as fit.
  void schedule(int shard);

  /// Returns the jobs of the shard that have tasks to place, in scheduling order.
  std::vector<ShardJob*> scheduling_queue(int shard) {
    return queue_order_.scheduling_queue(shard);
  }

  // The requeue action uses these to try evictions under the conditions of the last pass.
  QueueOrder& queue_order() { return queue_order_; }
  const SlotFinder& slot_finder() const { return slot_finder_; }

 private:
  enum class Outcome {
    placed,         // at least one task was placed
    no_room,        // nothing was placed, as no slot fits the next task
    nothing_placed  // nothing was placed, for a reason that need not apply to the placement class
  };

  PassConditions pass_conditions(int shard, const std::vector<ShardJob*>& queue) const;
  void schedule_by_fair_share(const std::vector<ShardJob*>& jobs, std::vector<Slot>& open_slots);
  void set_aside_forecast_capacity(int shard, double cpu_per_gpu,
                                   std::vector<Slot>& open_slots) const;
  void schedule_job(ShardJob& job, std::vector<Slot>& open_slots,
                    std::set<std::string>& classes_that_do_not_fit);
  bool add_reserved_room(const std::string& job_id, std::vector<Slot>& open_slots);
  void subtract_reserved_room(const std::string& job_id, std::vector<Slot>& open_slots) const;
  Outcome place(ShardJob& job, std::vector<Slot>& slots);
  Outcome place_tasks(ShardJob& job, std::vector<Slot>& slots);
  std::set<std::string> machines_of_unwritten_placements(const ShardJob& job) const;

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
