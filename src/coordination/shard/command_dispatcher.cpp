#include "coordination/shard/command_dispatcher.h"

#include <algorithm>
#include <utility>

namespace rushtrestle::coordination {

using store::MachineRecord;

// In turn by id, a bounded number in a batch: with little processor time the commands to all
// machines of a shard that was just taken over took seconds, in which no renewal of the lease left,
// and the shard was lost again.
void CommandDispatcher::dispatch_due_commands() {
  constexpr size_t kMostInABatch = 16;
  dispatch_queue_.advance(context_.now);
  const std::vector<std::string> ids = dispatch_queue_.next_after(last_commanded_, kMostInABatch);
  for (const auto& id : ids) {
    if (commands_in_flight_ >= context_.tunables.command_slots) return;
    last_commanded_ = id;
    dispatch_queue_.remove(id);
    ShardMachine* m = state_.find_machine(id);
    if (!m) continue;
    if (has_command_slot(*m)) {
      dispatch_commands(*m);
      // Still something to do later: a pause is over, or an answer outstanding.
      if (m->dispatch_wanted && !m->command_in_flight && context_.now < m->next_dispatch)
        dispatch_queue_.add_later(id, m->next_dispatch);
    } else if (!m->command_in_flight) {
      dispatch_queue_.add_later(id, context_.now + context_.tunables.probe_every_s / 4);
    }
  }
}

// Each command that waits for its answer takes a socket, and a machine that is gone gives none
// until the time-out. With a command to each machine of a lost zone at once no socket was left for
// the state service, whose lease lapsed, and commands that had found no socket were taken for
// machines that don't answer.
bool CommandDispatcher::has_command_slot(const ShardMachine& m) const {
  if (commands_in_flight_ >= context_.tunables.command_slots) return false;
  return m.commands_failing_since == 0 ||
         silent_commands_in_flight_ < context_.tunables.silent_command_slots;
}

void CommandDispatcher::dispatch_commands(ShardMachine& m) {
  if (m.command_in_flight || context_.now < m.next_dispatch || !membership_.may_renew_workers())
    return;
  const auto* record = state_cache_.machine(m.id);
  if (!record || m.address.empty() || record->record.terminating()) return;
  bool has_start = false;
  auto commands = reconciler_.reconcile(m, has_start);
  const bool fence = m.highest_token_seen < state_.fencing_token(m);
  if (commands.empty() && !m.dispatch_wanted && !(fence && m.known)) return;
  send_commands(m, std::move(commands), has_start);
}

void CommandDispatcher::send_commands(ShardMachine& m, std::vector<WorkerCommand> commands,
                                      bool has_start) {
  m.dispatch_wanted = false;
  m.command_in_flight = true;
  context_.counters["direct_commands"]++;
  const uint64_t used_token = state_.fencing_token(m);
  const bool silent = m.commands_failing_since > 0;
  ++commands_in_flight_;
  if (silent) ++silent_commands_in_flight_;
  PushCommands c{m.address, used_token, m.agent_epoch, std::move(commands)};
  context_.call(std::move(c), context_.tunables.command_timeout_s,
                [this, id = m.id, used_token, has_start, silent](CallDone&& d) {
                  --commands_in_flight_;
                  if (silent) --silent_commands_in_flight_;
                  commands_answered(id, used_token, has_start, d);
                });
}

void CommandDispatcher::commands_answered(const std::string& id, uint64_t used_token,
                                          bool has_start, const CallDone& d) {
  ShardMachine* mine = state_.find_machine(id);
  if (!mine) return;
  mine->command_in_flight = false;
  const auto* heartbeat = std::get_if<Heartbeat>(&d.reply);
  if ((d.status == 200 || d.status == 409) && heartbeat && heartbeat->machine == id) {
    mine->commands_failing_since = 0;
    intake_.apply(*mine, *heartbeat);
    dispatch_queue_.add(id);
    if (d.status == 409 && heartbeat->fencing_token > state_.fencing_token(*mine))
      mine->next_dispatch = context_.now + context_.tunables.probe_every_s;
    // The worker hears us again: a new fencing token shuts out what is still under way.
    if (mine->unacknowledged_start != 0)
      machine_writer_.enqueue(id, WriteCause::other, [](MachineRecord&) { return true; });
  } else {
    if (has_start) mine->unacknowledged_start = std::max(mine->unacknowledged_start, used_token);
    if (mine->commands_failing_since == 0) {
      mine->commands_failing_since = context_.now;
      mine->epoch_when_unreachable = mine->agent_epoch;
    }
    mine->next_dispatch = context_.now + context_.jitter(context_.tunables.probe_every_s);
    mine->dispatch_wanted = true;
  }
}

double CommandDispatcher::next_due() const {
  // Those left by `dispatch_due_commands` are for the next batch, or for the next answer that makes
  // a slot free.
  if (dispatch_queue_.anything_due() && commands_in_flight_ < context_.tunables.command_slots)
    return context_.now;
  return dispatch_queue_.next_delayed();
}

}  // namespace rushtrestle::coordination
