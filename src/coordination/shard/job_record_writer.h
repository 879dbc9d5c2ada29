// Writes the desired records of jobs to the state store, and resets a job to its durable record
// when a write could not be applied.
//
// Invariant: each write is conditioned on this controller still leading the shard, on the durable
// record that the change is based on and, for a new placement, on the machine's record being
// unchanged. Called by every module that changes a desired record.
#pragma once
#include <functional>
#include <string>

#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

class JobRecordWriter {
 public:
  /// Selects tasks by their job's desired record and their placement in it.
  using TaskFilter = std::function<bool(const store::JobRecord&, const store::Placement&)>;

  JobRecordWriter(Context& context, store::StateCache& state_cache, StateStoreClient& state_store,
                  const Membership& membership, ShardState& state, DispatchQueue& dispatch_queue)
      : context_(context),
        state_cache_(state_cache),
        state_store_(state_store),
        membership_(membership),
        state_(state),
        dispatch_queue_(dispatch_queue) {}

  /// Queues a write of the changed desired record with the cause's priority.
  void enqueue(const std::string& id, WriteCause cause);
  /// Marks the selected tasks on the machine as stopping, and queues the writes of their jobs.
  void stop_tasks(const ShardMachine& machine, const TaskFilter& to_stop);
  /// Discards the changes that are not durable. Drops the job if its durable record is finished.
  void reset_to_durable(const std::string& id);
  /// Unbinds tasks from machines whose deletion the cloud has confirmed. The job must be in
  /// ShardState.
  void drop_deleted_placements(const std::string& id);

 private:
  bool prepare(const std::string& id, PreparedWrite& prepared);
  void add_preconditions(const ShardJob& job, const store::JobRecord& durable,
                         PreparedWrite& prepared) const;
  void on_written(const std::string& id, WriteOutcome outcome, uint64_t mod_revision);
  void on_applied(const std::string& id, ShardJob& job);
  void supersede_indeterminate_write(ShardJob& job, uint64_t mod_revision);
  void queue_commands_for(ShardJob& job);

  Context& context_;
  store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
  ShardState& state_;
  DispatchQueue& dispatch_queue_;
};

}  // namespace rushtrestle::coordination
