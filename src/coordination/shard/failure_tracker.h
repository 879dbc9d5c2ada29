// Records failed tasks and acts on them: a job that fails everywhere backs off, and a machine on
// which different jobs fail is quarantined. failure_attribution.h decides whether the job or the
// machine is at fault.
//
// Invariant: a machine's verdict is recomputed when a task fails or completes on it, and when one
// of the jobs that failed on it turns out to fail everywhere. Called by TaskReconciler,
// MachineHealth and Scheduler.
#pragma once
#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

class FailureTracker {
 public:
  FailureTracker(Context& context, store::StateCache& state_cache, ShardState& state)
      : context_(context), state_cache_(state_cache), state_(state) {}

  /// Records that a task of the job failed on the machine, and recomputes the machine's verdict.
  void task_failed(ShardMachine& machine, ShardJob& job);
  /// Returns true if the job is known to run: it has completed a task, or it is a service or gang
  /// that has run for a worker lease.
  bool known_good(const ShardJob& job) const;
  /// Returns true for an array that fails everywhere, which is retried with one task at a time.
  bool limited_to_one_task(const ShardJob& job) const;
  /// Recomputes the machine's verdict, which decides whether the machine is quarantined.
  void update_verdict(ShardMachine& machine);

 private:
  void back_off(ShardJob& job);

  Context& context_;
  store::StateCache& state_cache_;
  ShardState& state_;
};

}  // namespace rushtrestle::coordination
