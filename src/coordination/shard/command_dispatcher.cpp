#include "coordination/shard/command_dispatcher.h"

#include <utility>
#include <vector>

namespace rushtrestle::coordination {

namespace {
// HTTP statuses of the answers to commands that carry the worker's heartbeat.
constexpr int kOk = 200;
constexpr int kConflict = 409;  // the worker saw a higher fencing token or has another agent epoch
}  // namespace

// Serves machines round-robin by id, a bounded number in each batch. With little processor time,
// sending commands to all machines of a newly acquired shard in one batch took seconds, in which
// the lease was not renewed, and the shard was lost again.
void CommandDispatcher::dispatch_due_commands() {
  constexpr size_t kMaxMachinesPerBatch = 16;
  dispatch_queue_.advance(context_.now);
  const std::vector<std::string> ids =
      dispatch_queue_.next_after(last_dispatched_, kMaxMachinesPerBatch);
  for (const auto& id : ids) {
    if (commands_in_flight_ >= context_.tunables.command_slots) return;
    last_dispatched_ = id;
    dispatch_queue_.remove(id);
    ShardMachine* machine = state_.find_machine(id);
    if (!machine) continue;
    if (has_command_slot(*machine)) {
      dispatch_commands(*machine);
      // The machine may not be sent commands before `next_dispatch`.
      if (machine->dispatch_wanted && !machine->command_in_flight &&
          context_.now < machine->next_dispatch)
        dispatch_queue_.add_later(id, machine->next_dispatch);
    } else if (!machine->command_in_flight) {
      dispatch_queue_.add_later(id, context_.now + context_.tunables.probe_every_s / 4);
    }
  }
}

// Each call with commands holds a socket until it is answered or, if the machine is gone, times
// out. When commands went to all machines of a lost zone at once, no socket was left for the state
// store, whose lease expired, and commands that got no socket counted against their machines as
// unanswered.
bool CommandDispatcher::has_command_slot(const ShardMachine& machine) const {
  if (commands_in_flight_ >= context_.tunables.command_slots) return false;
  return machine.commands_failing_since == 0 ||
         silent_commands_in_flight_ < context_.tunables.silent_command_slots;
}

void CommandDispatcher::dispatch_commands(ShardMachine& machine) {
  if (machine.command_in_flight || context_.now < machine.next_dispatch ||
      !membership_.may_renew_workers())
    return;
  const auto* durable = state_cache_.machine(machine.id);
  if (!durable || machine.address.empty() || durable->record.terminating()) return;
  WorkerCommands reconciled = reconciler_.reconcile(machine);
  // A worker that has not seen a token of this shard leader still accepts commands of a former one.
  const bool token_not_seen =
      machine.heartbeat_received && machine.highest_token_seen < state_.leadership_token(machine);
  if (reconciled.commands.empty() && !machine.dispatch_wanted && !token_not_seen) return;
  send_commands(machine, std::move(reconciled));
}

void CommandDispatcher::send_commands(ShardMachine& machine, WorkerCommands&& reconciled) {
  machine.dispatch_wanted = false;
  machine.command_in_flight = true;
  context_.counters["direct_commands"]++;
  const SentCommands sent{machine.id, state_.fencing_token(machine), reconciled.has_start};
  if (sent.has_start) start_fence_.on_start_sent(machine);
  const bool silent = machine.commands_failing_since > 0;
  ++commands_in_flight_;
  if (silent) ++silent_commands_in_flight_;
  context_.call(PushCommands{machine.address, sent.fencing_token, machine.agent_epoch,
                             std::move(reconciled.commands)},
                context_.tunables.command_timeout_s, [this, sent, silent](CallDone&& done) {
                  --commands_in_flight_;
                  if (silent) --silent_commands_in_flight_;
                  on_commands_done(sent, done);
                });
}

void CommandDispatcher::on_commands_done(const SentCommands& sent, const CallDone& done) {
  ShardMachine* machine = state_.find_machine(sent.machine);
  if (!machine) return;
  machine->command_in_flight = false;
  const auto* heartbeat = std::get_if<Heartbeat>(&done.reply);
  const bool answered = done.status == kOk || done.status == kConflict;
  if (answered && heartbeat && heartbeat->machine == sent.machine) {
    if (sent.has_start) StartFence::on_start_answered(*machine);
    on_commands_answered(*machine, *heartbeat, done.status);
  } else {
    on_commands_failed(*machine, sent);
  }
}

void CommandDispatcher::on_commands_answered(ShardMachine& machine, const Heartbeat& heartbeat,
                                             int status) {
  machine.commands_failing_since = 0;
  intake_.apply(machine, heartbeat);
  dispatch_queue_.add(machine.id);
  if (status == kConflict && heartbeat.fencing_token > state_.fencing_token(machine))
    machine.next_dispatch = context_.now + context_.tunables.probe_every_s;
}

void CommandDispatcher::on_commands_failed(ShardMachine& machine, const SentCommands& sent) {
  if (sent.has_start) start_fence_.on_start_unanswered(machine, sent.fencing_token);
  if (machine.commands_failing_since == 0) {
    machine.commands_failing_since = context_.now;
    machine.epoch_when_commands_failed = machine.agent_epoch;
  }
  machine.next_dispatch = context_.now + context_.jitter(context_.tunables.probe_every_s);
  machine.dispatch_wanted = true;
}

double CommandDispatcher::next_due() const {
  // Machines that `dispatch_due_commands` left in the queue are served in the next batch, or, if no
  // slot is free, after the next answer.
  if (dispatch_queue_.any_due() && commands_in_flight_ < context_.tunables.command_slots)
    return context_.now;
  return dispatch_queue_.next_delayed();
}

}  // namespace rushtrestle::coordination
