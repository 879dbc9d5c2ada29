// Sends commands to workers without waiting for their heartbeats.
//
// Invariant: each worker has at most one call with commands in flight. All workers together have at
// most `command_slots` such calls, as each takes a socket; the machines that did not answer their
// last call share `silent_command_slots` of them. The StartFence is told of each start that is
// sent, and what became of it. Called by ShardController at the end of each batch.
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
                    TaskReconciler& reconciler, StartFence& start_fence)
      : context_(context),
        state_cache_(state_cache),
        membership_(membership),
        state_(state),
        dispatch_queue_(dispatch_queue),
        intake_(intake),
        reconciler_(reconciler),
        start_fence_(start_fence) {}

  /// Sends commands to machines that are due. Must be called at the end of each batch.
  void dispatch_due_commands();
  /// Returns the steady time, in seconds, of the next dispatch that needs no further input. A time
  /// that has passed means at once.
  double next_due() const;
  /// Returns the number of calls with commands that are not answered yet.
  size_t commands_in_flight() const { return commands_in_flight_; }

 private:
  /// The data about commands in flight that is needed when their call is done.
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
  StartFence& start_fence_;
  /// Id of the machine that was dispatched last; the next batch continues after it.
  std::string last_dispatched_;
  size_t commands_in_flight_ = 0;
  /// Calls in flight to machines that did not answer their last call with commands.
  size_t silent_commands_in_flight_ = 0;
};

}  // namespace rushtrestle::coordination
