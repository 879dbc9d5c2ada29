// Compares what a machine reports with what is placed on it, and says which commands bring the two
// together.
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

  /// The commands for the machine as it last reported. `has_start`: one of them is a start.
  std::vector<WorkerCommand> reconcile(ShardMachine& machine, bool& has_start);

 private:
  void update_task(ShardJob& job, const ReportedTask& task, std::vector<WorkerCommand>& commands);
  void stop_unexpected_task(const ShardMachine& machine, const ReportedTask& task,
                            std::vector<WorkerCommand>& commands) const;
  bool start_missing_tasks(ShardMachine& machine, const std::set<TaskKey>& present,
                           std::vector<WorkerCommand>& commands);
  void task_ended(ShardMachine& machine, ShardJob& job, const ReportedTask& task);
  void log_first_run(ShardJob& job);

  Context& context_;
  store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  FailureTracker& failures_;
};

}  // namespace rushtrestle::coordination
