// Compares what a machine reports with what is placed on it, and gives the commands that bring the
// two together. Called by HeartbeatHandler and CommandDispatcher.
//
// Invariant: a task is started only if its placement is durable and the job open; a task that
// should not run counts as gone only when its absence is proven (start_missing_tasks), and a worker
// forgets an ended task only when no start of it can arrive any more (stop_unexpected_task).
#pragma once
#include <set>
#include <vector>

#include "coordination/shard/failure_tracker.h"
#include "coordination/shard/job_record_writer.h"

namespace rushtrestle::coordination {

struct WorkerCommands {
  std::vector<WorkerCommand> commands;
  /// One of them is a start.
  bool has_start = false;
};

class TaskReconciler {
 public:
  TaskReconciler(Context& context, store::StateCache& state_cache,
                 const StateStoreClient& state_store, ShardState& state,
                 JobRecordWriter& job_writer, FailureTracker& failures)
      : context_(context),
        state_cache_(state_cache),
        state_store_(state_store),
        state_(state),
        job_writer_(job_writer),
        failures_(failures) {}

  /// Applies what the machine last reported to its tasks' jobs, and returns the commands that the
  /// worker needs. None before its first heartbeat.
  WorkerCommands reconcile(ShardMachine& machine);

 private:
  void update_task(ShardJob& job, const ReportedTask& reported, WorkerCommands& result);
  void stop_unexpected_task(const ShardMachine& machine, const ReportedTask& reported,
                            WorkerCommands& result) const;
  bool no_earlier_start_can_arrive(const ShardMachine& machine) const;
  void start_missing_tasks(ShardMachine& machine, const std::set<TaskKey>& present,
                           WorkerCommands& result);
  void unbind_gone(const std::vector<TaskKey>& gone);
  void task_ended(ShardMachine& machine, ShardJob& job, const ReportedTask& reported);
  void task_completed(ShardMachine& machine, ShardJob& job, uint32_t task);
  void log_first_run(ShardJob& job);

  Context& context_;
  store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  FailureTracker& failures_;
};

}  // namespace rushtrestle::coordination
