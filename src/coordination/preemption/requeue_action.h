// Requeue action of the Expected Runtime design: running jobs past their expected runtime are
// nominated. A trial eviction of a nominated job is committed only if a waiting job of a higher
// rank then fits whole; otherwise it is rolled back. An evicted job is requeued and is not
// nominated again before its cooldown ends.
//
// Invariant: a job is stopped only for a preemptor of a higher rank that fits whole once the job is
// gone, and the room for the preemptor is reserved at once. Called by the shard controller.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "coordination/scheduling/scheduler.h"

namespace rushtrestle::coordination {

class RequeueAction {
 public:
  RequeueAction(Context& context, ShardState& state, JobRecordWriter& job_writer,
                Scheduler& scheduler, PreemptorReservations& preemptor_reservations)
      : context_(context),
        state_(state),
        job_writer_(job_writer),
        queue_order_(scheduler.queue_order()),
        slot_finder_(scheduler.slot_finder()),
        preemptor_reservations_(preemptor_reservations) {}

  /// Scans the shard once: nominates jobs, tries to evict each, and commits or rolls back.
  void scan(int shard);

 private:
  /// A waiting job and a key that is the same for all jobs that fit on the same slots: the
  /// placement class and the number of missing tasks, or the job's id if it has no placement class.
  struct Preemptor {
    ShardJob* job = nullptr;
    std::string fit_key;
  };
  /// The preemptor for which the victim is evicted, and where the preemptor's tasks would go.
  struct Match {
    size_t preemptor = 0;  // index in the list of preemptors
    PlannedPlacements planned_placements;
  };

  std::vector<Preemptor> waiting_preemptors(int shard);
  std::vector<ShardJob*> nominate(int shard);
  std::optional<Match> find_fitting_preemptor(const ShardJob& victim,
                                              const std::vector<Preemptor>& preemptors,
                                              std::vector<Slot>& slots);
  void commit_requeue(ShardJob& victim, const ShardJob& preemptor,
                      const PlannedPlacements& planned_placements);

  Context& context_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  QueueOrder& queue_order_;
  const SlotFinder& slot_finder_;
  PreemptorReservations& preemptor_reservations_;
};

}  // namespace rushtrestle::coordination
