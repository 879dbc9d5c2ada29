#include "coordination/shard/heartbeat_handler.h"

#include <algorithm>
#include <utility>

namespace rushtrestle::coordination {

namespace {
constexpr int kOk = 200;
constexpr int kMisdirected = 421;  // the worker is to ask the controller that the answer names

HeartbeatResponse redirect_to(const std::string& controller) {
  return {kMisdirected, 0, {}, controller};
}
}  // namespace

void HeartbeatHandler::handle_heartbeat(RequestId request, Heartbeat&& heartbeat) {
  context_.counters["reports"]++;
  last_heard_at_[heartbeat.machine] = context_.now;
  if (forward(request, heartbeat)) return;
  answer(request, respond(heartbeat, HeartbeatSource::worker));
}

void HeartbeatHandler::handle_forwarded_heartbeat(RequestId request, const Heartbeat& heartbeat) {
  context_.counters["relayed_reports"]++;
  context_.out.push_back(
      AnswerForwardedHeartbeat{request, respond(heartbeat, HeartbeatSource::other_controller)});
}

void HeartbeatHandler::answer(RequestId request, HeartbeatResponse&& response) {
  context_.out.push_back(AnswerHeartbeat{request, std::move(response)});
}

// In a partition between two zones, or around a controller that lost its workers, a worker that was
// redirected to a shard leader that it can't reach lost its lease and all its tasks, though other
// controllers reach both. A worker that already obeys the shard leader's fencing token and still
// asks us can't reach it: its heartbeat goes to the shard leader through us, and the shard leader's
// answer back, as if it had been sent directly. Now and then the worker is redirected to the shard
// leader again (tunables.forward_s).
bool HeartbeatHandler::forward(RequestId request, Heartbeat& heartbeat) {
  const auto* durable = state_cache_.machine(heartbeat.machine);
  if (!durable || durable->record.terminating() ||
      membership_.shard_token(durable->record.shard) != 0)
    return false;
  const std::string shard_leader = membership_.shard_leader(durable->record.shard);
  if (shard_leader.empty() || shard_leader == context_.settings.node ||
      heartbeat.fencing_token < leaders_token(durable->record.shard, heartbeat.machine)) {
    forwarding_since_.erase(heartbeat.machine);
    return false;
  }
  const std::string address = membership_.address_of(shard_leader);
  if (address.empty()) return redirect_to_relay_peer(request, heartbeat, shard_leader);
  const auto since = forwarding_since_.emplace(heartbeat.machine, context_.now).first;
  if (context_.now - since->second > context_.tunables.forward_s) {
    forwarding_since_.erase(since);
    return false;
  }
  if (forwards_in_flight_ >= context_.tunables.forward_slots) {
    // Another controller may have a slot to forward it: the worker asks the next one.
    context_.counters["relays_refused"]++;
    answer(request, HeartbeatResponse{});
  } else {
    send_to_leader(request, std::move(heartbeat), address);
  }
  return true;
}

// The fencing token of the machine's shard leader, as far as the state cache knows.
uint64_t HeartbeatHandler::leaders_token(int shard, const std::string& machine) const {
  return std::max(state_cache_.mod_revision_of(store::shard_key(shard)),
                  state_cache_.mod_revision_of(store::machine_key(machine)));
}

// We hear nothing of the shard leader either: a peer that does forwards the worker's heartbeats.
bool HeartbeatHandler::redirect_to_relay_peer(RequestId request, const Heartbeat& heartbeat,
                                              const std::string& shard_leader) {
  const std::string relay_peer = membership_.relay_peer(shard_leader);
  if (relay_peer.empty()) return keep_alive(request, heartbeat);
  answer(request, redirect_to(relay_peer));
  return true;
}

void HeartbeatHandler::send_to_leader(RequestId request, Heartbeat&& heartbeat,
                                      const std::string& address) {
  ++forwards_in_flight_;
  context_.counters["reports_passed_on"]++;
  context_.call(ForwardHeartbeat{address, std::move(heartbeat)},
                context_.tunables.command_timeout_s, [this, request](CallDone&& done) {
                  --forwards_in_flight_;
                  auto* response = std::get_if<HeartbeatResponse>(&done.reply);
                  const bool answered = done.status == kOk && response;
                  answer(request, answered ? std::move(*response) : HeartbeatResponse{});
                });
}

// A zone was cut off from everything, with the shard leader of its workers outside: they reached a
// controller of their own zone, were redirected to the shard leader that neither reaches, and lost
// all their tasks a lease later, though nothing had happened to them. A controller that is itself
// disconnected from the state store, and hears no peer that is connected, renews the lease of a
// worker that obeyed the shard leader known here, with the worker's own fencing token and no
// commands but to stop what was cancelled before the partition. For how long, and why every
// cancellation still takes effect in time: docs/architecture.md, Cancellation.
bool HeartbeatHandler::keep_alive(RequestId request, const Heartbeat& heartbeat) {
  if (state_store_.lease_valid() || !membership_.may_renew_while_disconnected()) return false;
  context_.counters["kept_alive"]++;
  answer(request, renew_under_own_token(heartbeat));
  return true;
}

HeartbeatResponse HeartbeatHandler::renew_under_own_token(const Heartbeat& heartbeat) const {
  return {kOk, heartbeat.fencing_token, stops_of_cancelled(heartbeat), ""};
}

// These stops are right whoever sends them and whatever else is in flight: every answer that renews
// a lease carries them.
std::vector<WorkerCommand> HeartbeatHandler::stops_of_cancelled(const Heartbeat& heartbeat) const {
  std::vector<WorkerCommand> stops;
  for (const auto& task : heartbeat.tasks)
    if (task.state != TaskState::exited && state_cache_.cancelled(task.job))
      stops.push_back({WorkerVerb::stop, task.job, task.task, task.attempt, 0});
  return stops;
}

HeartbeatResponse HeartbeatHandler::respond(const Heartbeat& heartbeat, HeartbeatSource source) {
  const auto* durable = state_cache_.machine(heartbeat.machine);
  // This controller restarted in an outage of the state store: nobody can read the keys, so nobody
  // can acquire a shard, accept or cancel either. While all controllers agree on that, and what was
  // cancelled before is known from them, the worker's own fencing token keeps its tasks alive.
  if (!state_store_.synced() && membership_.outage_shared() &&
      membership_.may_renew_while_disconnected())
    return renew_under_own_token(heartbeat);
  if (!durable || durable->record.terminating()) return {};
  const int shard = durable->record.shard;
  ShardMachine* machine = state_.find_machine(heartbeat.machine);
  if (!machine || membership_.shard_token(shard) == 0) {
    const std::string shard_leader = membership_.shard_leader(shard);
    if (shard_leader.empty() || shard_leader == context_.settings.node) return {};
    return redirect_to(shard_leader);
  }
  // A higher fencing token than ours: another controller leads the shard, and this one has not
  // learned it yet.
  if (heartbeat.fencing_token > state_.fencing_token(*machine) || !membership_.may_renew_workers())
    return {};
  machine->last_heartbeat = context_.now;
  std::vector<WorkerCommand> commands = apply_and_reconcile(*machine, heartbeat, source);
  return {kOk, state_.fencing_token(*machine), std::move(commands), ""};
}

// The commands for the answer.
std::vector<WorkerCommand> HeartbeatHandler::apply_and_reconcile(ShardMachine& machine,
                                                                 const Heartbeat& heartbeat,
                                                                 HeartbeatSource source) {
  std::vector<WorkerCommand> stops = stops_of_cancelled(heartbeat);
  if (!intake_.apply(machine, heartbeat)) return stops;
  if (source == HeartbeatSource::other_controller) machine.forwarded_at = context_.now;
  if (machine.command_in_flight) return stops;
  WorkerCommands reconciled = reconciler_.reconcile(machine);
  if (!reconciled.has_start) return std::move(reconciled.commands);
  // Starts are sent by CommandDispatcher only: one in an answer could arrive after a stop that was
  // pushed later.
  dispatch_queue_.add(machine.id);
  return stops;
}

// Peers ask this of machines that they are responsible for, so those of our shards are left out:
// with them, the messages between controllers grew with the fleet and cost as much processor time
// as the workers' heartbeats.
std::vector<std::string> HeartbeatHandler::machines_heard_of_other_shards() const {
  std::vector<std::string> heard;
  for (const auto& [id, heard_at] : last_heard_at_) {
    const auto machine = state_.machines().find(id);
    const bool ours =
        machine != state_.machines().end() && membership_.shard_token(machine->second.shard) != 0;
    if (!ours && context_.now - heard_at < context_.tunables.probe_after_s) heard.push_back(id);
  }
  return heard;
}

void HeartbeatHandler::forget_old() {
  std::erase_if(last_heard_at_, [&](const auto& heard) {
    return context_.now - heard.second > context_.settings.lease_s;
  });
  std::erase_if(forwarding_since_,
                [&](const auto& forwarding) { return !last_heard_at_.count(forwarding.first); });
}

}  // namespace rushtrestle::coordination
