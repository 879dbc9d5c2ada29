// Compares the tasks that a machine reports with those placed on it, and returns the commands that
// make the two agree. Called by HeartbeatHandler and CommandDispatcher.
//
// Invariant: a task is started only if its placement is durable and its job is open. A task that
// should not run counts as gone only when its absence is proven (start_missing_tasks). A worker is
// told to forget an ended task only under a fencing token that keeps out all earlier starts
// (StartFence::may_forget).
#pragma once
#include <set>
#include <vector>

#include "coordination/shard/failure_tracker.h"
#include "coordination/shard/job_record_writer.h"
#include "coordination/shard/start_fence.h"

namespace rushtrestle::coordination {

struct WorkerCommands {
  std::vector<WorkerCommand> commands;
  /// At least one of the commands is a start.
  bool has_start = false;
};

class TaskReconciler {
 public:
  TaskReconciler(Context& context, store::StateCache& state_cache,
                 const StateStoreClient& state_store, ShardState& state,
                 JobRecordWriter& job_writer, FailureTracker& failures, StartFence& start_fence)
      : context_(context),
        state_cache_(state_cache),
        state_store_(state_store),
        state_(state),
        job_writer_(job_writer),
        failures_(failures),
        start_fence_(start_fence) {}

  /// Applies the machine's last heartbeat to the jobs of its tasks, and returns the commands that
  /// the worker needs; none before the machine's first heartbeat.
  WorkerCommands reconcile(ShardMachine& machine);

 private:
  void update_task(ShardJob& job, const ReportedTask& reported, WorkerCommands& result);
  void stop_unexpected_task(ShardMachine& machine, const ReportedTask& reported,
                            WorkerCommands& result);
  void start_missing_tasks(ShardMachine& machine, const std::set<TaskKey>& present,
                           WorkerCommands& result);
  void unbind_gone_tasks(const std::vector<TaskKey>& gone);
  void task_ended(ShardMachine& machine, ShardJob& job, const ReportedTask& reported);
  void task_completed(ShardMachine& machine, ShardJob& job, uint32_t task);
  void log_first_run(ShardJob& job);

  Context& context_;
  store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  FailureTracker& failures_;
  StartFence& start_fence_;
};

}  // namespace rushtrestle::coordination
