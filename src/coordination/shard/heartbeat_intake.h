// Applies a worker's heartbeat to its machine, whether the worker sent it here, another controller
// forwarded it or it came in the answer to a command.
//
// Invariant: a heartbeat changes state only if its (agent epoch, sequence) is higher than that of
// the last one applied. Called by HeartbeatHandler and CommandDispatcher.
#pragma once
#include "coordination/shard/job_record_writer.h"
#include "coordination/shard/start_fence.h"

namespace rushtrestle::coordination {

class HeartbeatIntake {
 public:
  HeartbeatIntake(Context& context, store::StateCache& state_cache, ShardState& state,
                  JobRecordWriter& job_writer, MachineRecordWriter& machine_writer,
                  StartFence& start_fence)
      : context_(context),
        state_cache_(state_cache),
        state_(state),
        job_writer_(job_writer),
        machine_writer_(machine_writer),
        start_fence_(start_fence) {}

  /// Applies the heartbeat to the machine. Returns false and changes nothing if the heartbeat is
  /// not newer than the last one applied.
  bool apply(ShardMachine& machine, const Heartbeat& heartbeat);

 private:
  void log_inconsistencies(const Heartbeat& heartbeat);
  void stop_tasks_that_can_save(ShardMachine& machine, double notice_s);

  Context& context_;
  store::StateCache& state_cache_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  MachineRecordWriter& machine_writer_;
  StartFence& start_fence_;
};

}  // namespace rushtrestle::coordination
