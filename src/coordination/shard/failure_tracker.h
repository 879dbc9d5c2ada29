// Keeps the evidence of failed tasks and acts on it: a job that fails everywhere backs off, a
// machine on which different jobs fail is quarantined (failure_attribution.h decides whose fault it
// is).
//
// Invariant: a machine's verdict is judged anew when a task fails or completes on it, and when one
// of the jobs that failed on it turns out to fail everywhere. Called by TaskReconciler,
// MachineHealth and Scheduler.
#pragma once
#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

class FailureTracker {
 public:
  FailureTracker(Context& context, store::StateCache& state_cache, ShardState& state)
      : context_(context), state_cache_(state_cache), state_(state) {}

  /// A task of the job failed on the machine: counts it against both and judges the machine.
  void task_failed(ShardMachine& machine, ShardJob& job);
  /// Known to run: an array that has completed a task, a service or gang that has run for a
  /// worker's lease.
  bool known_good(const ShardJob& job) const;
  /// An array that fails everywhere: it is tried with one task at a time.
  bool on_probation(const ShardJob& job) const;
  /// Judges anew whether the machine is quarantined.
  void judge(ShardMachine& machine);

 private:
  void back_off(ShardJob& job);

  Context& context_;
  store::StateCache& state_cache_;
  ShardState& state_;
};

}  // namespace rushtrestle::coordination
