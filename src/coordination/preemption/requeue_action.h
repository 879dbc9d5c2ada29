// The requeue action of the Expected Runtime design: running jobs past their expected runtime are
// nominated; a trial eviction commits only if a waiting job of higher priority then fits whole,
// else it is rolled back; a committed job sits out a cooldown.
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
        scheduler_(scheduler),
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
  std::vector<ShardJob*> nominate(int shard);
  std::vector<Preemptor> preemptors(int shard);
  std::optional<size_t> try_preemptors(const ShardJob& victim,
                                       const std::vector<Preemptor>& preemptors,
                                       std::vector<Slot>& picture, PlannedRoom& used);
  void commit_requeue(ShardJob& victim, const ShardJob& preemptor, const PlannedRoom& used);

  Context& context_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  Scheduler& scheduler_;
  PreemptorReservations& preemptor_reservations_;
};

}  // namespace rushtrestle::coordination
