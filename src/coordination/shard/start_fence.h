// Keeps a start command that was sent earlier from running a task that must not run any more.
//
// A worker carries out a pushed command as long as it has seen no higher fencing token and is in
// the same agent epoch, however late the command arrives. So a start that was not answered may run
// a cancelled task minutes later, while the worker's heartbeats arrive by another path, or on
// another connection, and its lease is renewed.
//
// Invariant: a lease is renewed only while each start that may still arrive is of a job that is
// open or whose cancellation was acknowledged less than `disconnected_limit_s` ago. So the worker
// either shows in time that it has seen a higher token, or its lease expires by `cancel_s`, which
// begins another agent epoch. docs/architecture.md (Cancellation) has the whole argument.
//
// A start that was answered may arrive again, too: a repeat has no effect while the worker has the
// attempt, in whatever state, but runs the task once more after `forget`.
//
// Invariant: `forget` is sent only under a fencing token above those of all starts that were ever
// sent to the worker, so a worker that has forgotten an attempt accepts no start of it.
//
// Both need a higher token now and then. Any revision of the state store will do up to which the
// state cache shows this controller as the leader of the machine's shard: the token of a later
// leader is the mod revision of a later write. So a token is raised without a write, as long as the
// state store's revision has moved on since the start. The end of a task, which `forget` waits for,
// moves it. For a start that was not answered the machine's record is rewritten if nothing else
// has.
//
// Called by HeartbeatIntake, HeartbeatHandler, TaskReconciler and CommandDispatcher.
#pragma once
#include <cstdint>
#include <string>

#include "coordination/shard/machine_record_writer.h"

namespace rushtrestle::coordination {

class StartFence {
 public:
  StartFence(Context& context, const store::StateCache& state_cache, const Membership& membership,
             ShardState& state, MachineRecordWriter& machine_writer)
      : context_(context),
        state_cache_(state_cache),
        membership_(membership),
        state_(state),
        machine_writer_(machine_writer) {}

  /// Notes that a call with a start command is sent to the machine, under the present token.
  void on_start_sent(ShardMachine& machine) const;
  /// Notes that the call was answered, so that its commands were carried out or refused.
  static void on_start_answered(ShardMachine& machine);
  /// Notes that the call with the start, sent under this token, was not answered.
  void on_start_unanswered(ShardMachine& machine, uint64_t fencing_token);
  /// Handles a newer heartbeat of the machine, before it is applied: forgets an unanswered start
  /// that can no longer arrive, else raises the fencing token above that of the start.
  void on_heartbeat(ShardMachine& machine, const Heartbeat& heartbeat);

  /// Whether the worker may still carry out a start that this controller or an earlier shard leader
  /// sent.
  bool start_may_arrive(const ShardMachine& machine) const;
  /// Whether the worker may be told, under the present fencing token, to forget ended tasks. Raises
  /// the token if necessary; else a later call returns true, once the state cache has the end.
  bool may_forget(ShardMachine& machine);
  /// Whether the answer to this heartbeat of a machine whose shard is led here may renew the
  /// worker's lease.
  bool may_renew(const ShardMachine& machine, const Heartbeat& heartbeat) const;
  /// The same for an answer under the worker's own token, which fences no earlier command.
  bool may_renew_under_worker_token(const Heartbeat& heartbeat) const;

 private:
  bool too_late_to_start(const std::string& job) const;
  bool raise_token_above(ShardMachine& machine, uint64_t token);
  void raise_token_by_write(const ShardMachine& machine, uint64_t above);

  Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  ShardState& state_;
  MachineRecordWriter& machine_writer_;
};

}  // namespace rushtrestle::coordination
