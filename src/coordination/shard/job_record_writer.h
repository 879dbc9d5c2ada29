// Makes the desired records of jobs durable, and brings jobs back to what is durable when a write
// could not be applied.
//
// Invariant: a job's record is written under the condition that this controller still leads the
// shard and that the record is the one that the change began from; a new placement also under the
// condition that its machine's record did not change. Called by every module that changes a desired
// record.
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

  /// The desired record changed: it is to be written, as urgently as the cause demands.
  void enqueue(const std::string& id, WriteCause cause);
  /// Marks the selected tasks on the machine as to be stopped and enqueues their jobs' writes.
  void stop_tasks(const ShardMachine& machine, const TaskFilter& to_stop);
  /// Gives up what was planned since the record was last durable.
  void reset_to_durable(const std::string& id);
  /// Takes tasks off machines whose deletion the cloud has confirmed. The job must be ours.
  void drop_deleted_placements(const std::string& id);

 private:
  bool prepare(const std::string& id, Prepared& prepared);
  void add_preconditions(const ShardJob& job, const store::JobRecord& durable,
                         Prepared& prepared) const;
  void on_written(const std::string& id, WriteOutcome outcome, uint64_t mod_revision);
  void on_applied(const std::string& id, ShardJob& job);
  void settle_by_writing(ShardJob& job, uint64_t mod_revision);
  void queue_commands_for(ShardJob& job);

  Context& context_;
  store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
  ShardState& state_;
  DispatchQueue& dispatch_queue_;
};

}  // namespace rushtrestle::coordination
