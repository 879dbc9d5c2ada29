// Keeps the evidence of failed tasks and acts on it: a job that fails everywhere backs off, a
// machine on which different jobs fail is quarantined (failure_attribution.h decides whose fault it
// is).
#pragma once
#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

class FailureTracker {
 public:
  FailureTracker(Context& context, store::StateCache& state_cache, ShardState& state)
      : context_(context), state_cache_(state_cache), state_(state) {}

  void task_failed(ShardMachine& machine, ShardJob& job);
  /// Known to run: an array that has completed a task, a service or gang that has run for a
  /// worker's lease.
  bool known_good(const ShardJob& job) const;
  /// An array that fails everywhere is tried with one task at a time.
  bool on_probation(const ShardJob& job) const;
  /// Works out anew whether the machine is quarantined.
  void judge(ShardMachine& machine);

 private:
  Context& context_;
  store::StateCache& state_cache_;
  ShardState& state_;
};

}  // namespace rushtrestle::coordination
