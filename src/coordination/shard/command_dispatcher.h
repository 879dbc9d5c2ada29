// Sends commands to workers, without waiting for their heartbeats.
//
// Invariant: at most one call with commands is in flight to each worker, and never more in all than
// there are slots (sockets) for them; machines that did not answer the last call share a part of
// the slots. A start without an answer is remembered by its fencing token until the worker shows
// that it can't arrive any more. Called by ShardController at the end of each batch.
#pragma once
#include <cstdint>
#include <string>

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

  /// Sends commands to the machines that are due; to be called at the end of a batch.
  void dispatch_due_commands();
  /// When there is something to dispatch by the clock alone; a time that has passed: at once.
  double next_due() const;
  /// Calls with commands that are not answered yet.
  size_t commands_in_flight() const { return commands_in_flight_; }

 private:
  /// What has to be known of commands in flight when their call is done.
  struct SentCommands {
    std::string machine;
    uint64_t fencing_token = 0;
    bool has_start = false;
  };

  bool has_command_slot(const ShardMachine& machine) const;
  void dispatch_commands(ShardMachine& machine);
  void send_commands(ShardMachine& machine, WorkerCommands&& reconciled);
  void on_commands_done(const SentCommands& sent, const CallDone& done);
  void on_commands_answered(ShardMachine& machine, const Heartbeat& heartbeat, int status);
  void on_commands_failed(ShardMachine& machine, const SentCommands& sent);

  Context& context_;
  store::StateCache& state_cache_;
  const Membership& membership_;
  ShardState& state_;
  DispatchQueue& dispatch_queue_;
  HeartbeatIntake& intake_;
  TaskReconciler& reconciler_;
  MachineRecordWriter& machine_writer_;
  /// The next ones follow it by id.
  std::string last_commanded_;
  size_t commands_in_flight_ = 0;
  /// Of them, to machines that did not answer the last ones.
  size_t silent_commands_in_flight_ = 0;
};

}  // namespace rushtrestle::coordination
