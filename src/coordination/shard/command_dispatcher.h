// Sends commands to workers, without waiting for their heartbeats.
//
// Invariant: at most one command a worker is under way, and never more in all than there are
// sockets for them; machines that did not answer the last one have a part of these. A start without
// an answer is remembered by its fencing token until the worker shows that it can't arrive any
// more.
#pragma once
#include <string>
#include <vector>

#include "coordination/shard/heartbeat_intake.h"
#include "coordination/shard/task_reconciler.h"

namespace rushtrestle::coordination {

class CommandDispatcher {
 public:
  CommandDispatcher(Context& context, store::StateCache& state_cache, const Membership& membership,
                    ShardState& state, DispatchQueue& dispatch_queue, HeartbeatIntake& intake,
                    TaskReconciler& reconciler, MachineRecordWriter& machine_writer)
      : context_(context),
        state_cache_(state_cache),
        membership_(membership),
        state_(state),
        dispatch_queue_(dispatch_queue),
        intake_(intake),
        reconciler_(reconciler),
        machine_writer_(machine_writer) {}

  /// At the end of a batch: commands whoever needs it.
  void dispatch_due_commands();
  /// When there is something to dispatch by the clock alone; a time that has passed: at once.
  double next_due() const;
  size_t commands_in_flight() const { return commands_in_flight_; }

 private:
  bool has_command_slot(const ShardMachine& machine) const;
  void dispatch_commands(ShardMachine& machine);
  void send_commands(ShardMachine& machine, std::vector<WorkerCommand> commands, bool has_start);
  void commands_answered(const std::string& id, uint64_t used_token, bool has_start,
                         const CallDone& done);

  Context& context_;
  store::StateCache& state_cache_;
  const Membership& membership_;
  ShardState& state_;
  DispatchQueue& dispatch_queue_;
  HeartbeatIntake& intake_;
  TaskReconciler& reconciler_;
  MachineRecordWriter& machine_writer_;
  std::string last_commanded_;  // the next ones follow it by id
  size_t commands_in_flight_ = 0;
  size_t silent_commands_in_flight_ = 0;  // of them, to machines that did not answer the last one
};

}  // namespace rushtrestle::coordination
