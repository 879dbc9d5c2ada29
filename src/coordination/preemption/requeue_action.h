// The requeue action of the Expected Runtime design: running jobs past their expected runtime are
// nominated; a trial eviction commits only if a waiting job of higher priority then fits whole,
// else it is rolled back; a committed job is requeued and sits out a cooldown.
//
// Invariant: a job is stopped only for a preemptor of a higher rank that fits whole into the room
// freed, and that room is reserved for the preemptor at once. Called by the shard controller.
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

  /// One scan of the shard: nominates, tries, commits or rolls back.
  void scan(int shard);

 private:
  /// A job that waits for room, and its placement class: the same text for all that fit or don't
  /// fit alike.
  struct Preemptor {
    ShardJob* job = nullptr;
    std::string placement_class;
  };
  /// Which of the preemptors gets the room that the victim frees, and where its tasks would go.
  struct Match {
    size_t preemptor = 0;
    PlannedRoom planned_room;
  };

  std::vector<Preemptor> waiting_preemptors(int shard);
  std::vector<ShardJob*> nominate(int shard);
  std::optional<Match> first_that_fits(const ShardJob& victim,
                                       const std::vector<Preemptor>& preemptors,
                                       std::vector<Slot>& picture);
  void commit_requeue(ShardJob& victim, const ShardJob& preemptor, const PlannedRoom& planned_room);

  Context& context_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  QueueOrder& queue_order_;
  const SlotFinder& slot_finder_;
  PreemptorReservations& preemptor_reservations_;
};

}  // namespace rushtrestle::coordination
