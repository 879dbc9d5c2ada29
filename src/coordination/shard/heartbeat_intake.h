// Applies what a worker reports to its machine, whichever way it came: by a heartbeat of its own,
// forwarded by another controller, or in the answer to a command.
//
// Invariant: only what is newer by (agent epoch, sequence) changes anything. Called by
// HeartbeatHandler and CommandDispatcher.
#pragma once
#include "coordination/shard/job_record_writer.h"
#include "coordination/shard/machine_record_writer.h"

namespace rushtrestle::coordination {

class HeartbeatIntake {
 public:
  HeartbeatIntake(Context& context, store::StateCache& state_cache, ShardState& state,
                  JobRecordWriter& job_writer, MachineRecordWriter& machine_writer)
      : context_(context),
        state_cache_(state_cache),
        state_(state),
        job_writer_(job_writer),
        machine_writer_(machine_writer) {}

  /// Applies the heartbeat to the machine. False: not newer than the last one, nothing changed.
  bool apply(ShardMachine& machine, const Heartbeat& heartbeat);

 private:
  void log_inconsistencies(const Heartbeat& heartbeat);
  void settle_unacknowledged_start(ShardMachine& machine, const Heartbeat& heartbeat);
  void stop_what_can_save(ShardMachine& machine, double notice_s);

  Context& context_;
  store::StateCache& state_cache_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  MachineRecordWriter& machine_writer_;
};

}  // namespace rushtrestle::coordination
