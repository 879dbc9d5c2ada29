#include "coordination/shard/heartbeat_handler.h"

#include <algorithm>
#include <utility>

namespace rushtrestle::coordination {

namespace {
constexpr int kOk = 200;
constexpr int kMisdirected = 421;  // the worker is to turn to the controller named in the answer

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
  context_.effects.push_back(
      AnswerForwardedHeartbeat{request, respond(heartbeat, HeartbeatSource::other_controller)});
}

void HeartbeatHandler::answer(RequestId request, HeartbeatResponse&& response) {
  context_.effects.push_back(AnswerHeartbeat{request, std::move(response)});
}

// A worker that has seen its shard leader's fencing token and still sends its heartbeat here can't
// reach the leader. This controller forwards the heartbeat to the leader and passes its answer
// back, as if the worker had sent it directly. After `tunables.redirect_retry_s` seconds of this,
// the worker is redirected to the leader again. Without forwarding, in a partition between two
// zones or around a controller that lost contact with its workers, a worker that was redirected to
// a leader that it can't reach lost its lease and all its tasks, though other controllers reached
// both.
bool HeartbeatHandler::forward(RequestId request, Heartbeat& heartbeat) {
  const auto* durable = state_cache_.machine(heartbeat.machine);
  if (!durable || durable->record.terminating() ||
      membership_.shard_fencing_token(durable->record.shard) != 0)
    return false;
  const std::string shard_leader = membership_.shard_leader(durable->record.shard);
  if (shard_leader.empty() || shard_leader == context_.settings.node ||
      turns_to_shard_leader(heartbeat, durable->record.shard, shard_leader)) {
    forwarding_since_.erase(heartbeat.machine);
    return false;
  }
  const std::string address = membership_.address_of(shard_leader);
  if (address.empty()) return redirect_to_relay_peer(request, heartbeat, shard_leader);
  const auto since = forwarding_since_.emplace(heartbeat.machine, context_.now).first;
  if (context_.now - since->second > context_.tunables.redirect_retry_s) {
    forwarding_since_.erase(since);
    return false;
  }
  if (forwards_in_flight_ >= context_.tunables.forward_slots) {
    // The empty response (503) makes the worker try the next controller, which may have a slot.
    context_.counters["relays_refused"]++;
    answer(request, HeartbeatResponse{});
  } else {
    send_to_leader(request, std::move(heartbeat), address);
  }
  return true;
}

// Whether the worker is to turn to the shard leader itself: it has seen no token of the leader, as
// far as the state cache knows, and the leader can command it. The token need not be the highest
// one: when the machine's record was rewritten, a worker that can't reach the leader can learn the
// new token only from the answer to a forwarded heartbeat.
bool HeartbeatHandler::turns_to_shard_leader(const Heartbeat& heartbeat, int shard,
                                             const std::string& shard_leader) const {
  const uint64_t leader_token = std::max(state_cache_.mod_revision_of(store::shard_key(shard)),
                                         state_cache_.assigned_to_shard_at(heartbeat.machine));
  const bool obeys_leader = heartbeat.fencing_token >= leader_token;
  return !obeys_leader && (membership_.synced(shard_leader) || state_store_.lease_valid());
}

// Redirects the worker to a peer that hears the shard leader and can forward the worker's
// heartbeats, as this controller doesn't hear the leader.
bool HeartbeatHandler::redirect_to_relay_peer(RequestId request, const Heartbeat& heartbeat,
                                              const std::string& shard_leader) {
  const std::string relay_peer = membership_.relay_peer(shard_leader);
  if (relay_peer.empty()) return renew_while_disconnected(request, heartbeat);
  answer(request, redirect_to(relay_peer));
  return true;
}

void HeartbeatHandler::send_to_leader(RequestId request, Heartbeat&& heartbeat,
                                      const std::string& address) {
  ++forwards_in_flight_;
  context_.counters["reports_passed_on"]++;
  const bool own_token_suffices = start_fence_.may_renew_under_worker_token(heartbeat);
  context_.call(ForwardHeartbeat{address, std::move(heartbeat)},
                context_.tunables.command_timeout_s,
                [this, request, own_token_suffices](CallDone&& done) {
                  --forwards_in_flight_;
                  auto* response = std::get_if<HeartbeatResponse>(&done.reply);
                  const bool answered = done.status == kOk && response &&
                                        (own_token_suffices || !response->under_worker_token);
                  answer(request, answered ? std::move(*response) : HeartbeatResponse{});
                });
}

// Renews the lease of a worker that has seen the known shard leader's fencing token, if this
// controller is disconnected from the state store and hears no peer that is connected. The answer
// carries the worker's own fencing token, and no commands but stops of what was cancelled before
// the partition. Without this, when a zone was cut off with the shard leader outside, a controller
// of the zone redirected the workers to that leader, which neither it nor they could reach, and
// they lost all their tasks a lease later. docs/architecture.md, Cancellation, says for how long
// leases are renewed like this, and why every cancellation still takes effect in time.
bool HeartbeatHandler::renew_while_disconnected(RequestId request, const Heartbeat& heartbeat) {
  if (state_store_.lease_valid() || !membership_.may_renew_while_disconnected()) return false;
  context_.counters["kept_alive"]++;
  answer(request, renew_under_worker_token(heartbeat));
  return true;
}

HeartbeatResponse HeartbeatHandler::renew_under_worker_token(const Heartbeat& heartbeat) {
  if (!start_fence_.may_renew_under_worker_token(heartbeat)) return withhold_renewal(heartbeat);
  return {kOk, heartbeat.fencing_token, stops_for_cancelled_tasks(heartbeat), ""};
}

// Which starts may still reach the worker is known only to controllers that have read the keys. So
// a worker that reports here is redirected to one of them, which forwards its heartbeats and checks
// that when it passes the answer on.
HeartbeatResponse HeartbeatHandler::renew_without_keys(const Heartbeat& heartbeat,
                                                       HeartbeatSource source) {
  if (state_store_.ever_synced()) return renew_under_worker_token(heartbeat);
  if (source == HeartbeatSource::worker) return redirect_to(membership_.synced_peer());
  HeartbeatResponse response{kOk, heartbeat.fencing_token, stops_for_cancelled_tasks(heartbeat),
                             ""};
  response.under_worker_token = true;
  return response;
}

// Without a renewal the worker's lease ends, and with it the agent epoch in which the start of a
// cancelled task may still arrive.
HeartbeatResponse HeartbeatHandler::withhold_renewal(const Heartbeat& heartbeat) {
  context_.counters["renewals_withheld"]++;
  context_.log_rate_limited("withheld",
                            "renewal_withheld machine=" + heartbeat.machine +
                                " fencing_token=" + std::to_string(heartbeat.fencing_token));
  return {};
}

// Stops of cancelled tasks are valid whichever controller sends them and whatever else is in
// flight, so every answer that renews a lease carries them.
std::vector<WorkerCommand> HeartbeatHandler::stops_for_cancelled_tasks(
    const Heartbeat& heartbeat) const {
  std::vector<WorkerCommand> stops;
  for (const auto& task : heartbeat.tasks)
    if (task.state != TaskState::exited && state_cache_.cancelled(task.job))
      stops.push_back({WorkerVerb::stop, task.job, task.task, task.attempt, 0});
  return stops;
}

HeartbeatResponse HeartbeatHandler::respond(const Heartbeat& heartbeat, HeartbeatSource source) {
  const auto* durable = state_cache_.machine(heartbeat.machine);
  // This controller restarted in an outage of the state store. No controller can read the keys, so
  // none can acquire a shard or accept or cancel a job. While all controllers report the outage and
  // the earlier cancellations are known from them, the worker's lease is renewed under the worker's
  // own fencing token, so that its tasks go on.
  if (!state_store_.synced() && membership_.all_peers_lack_state_store() &&
      membership_.may_renew_while_disconnected())
    return renew_without_keys(heartbeat, source);
  if (!durable || durable->record.terminating()) return {};
  const int shard = durable->record.shard;
  ShardMachine* machine = state_.find_machine(heartbeat.machine);
  if (!machine || membership_.shard_fencing_token(shard) == 0) {
    const std::string shard_leader = membership_.shard_leader(shard);
    if (shard_leader.empty() || shard_leader == context_.settings.node) return {};
    return redirect_to(shard_leader);
  }
  // A fencing token above this controller's shows that another controller leads the shard, which
  // this one has not learned yet.
  if (heartbeat.fencing_token > state_.fencing_token(*machine) || !membership_.may_renew_workers())
    return {};
  machine->last_heartbeat = context_.now;
  std::vector<WorkerCommand> commands = apply_and_reconcile(*machine, heartbeat, source);
  if (!start_fence_.may_renew(*machine, heartbeat)) return withhold_renewal(heartbeat);
  return {kOk, state_.fencing_token(*machine), std::move(commands), ""};
}

// Returns the commands for the answer.
std::vector<WorkerCommand> HeartbeatHandler::apply_and_reconcile(ShardMachine& machine,
                                                                 const Heartbeat& heartbeat,
                                                                 HeartbeatSource source) {
  std::vector<WorkerCommand> stops = stops_for_cancelled_tasks(heartbeat);
  if (!intake_.apply(machine, heartbeat)) return stops;
  if (source == HeartbeatSource::other_controller) machine.forwarded_at = context_.now;
  if (machine.command_in_flight) return stops;
  WorkerCommands reconciled = reconciler_.reconcile(machine);
  if (!reconciled.has_start) return std::move(reconciled.commands);
  // Only CommandDispatcher sends starts: a start in an answer could arrive after a stop that was
  // pushed later.
  dispatch_queue_.add(machine.id);
  return stops;
}

// The list tells peers which of their machines are heard here, so machines of the shards that this
// controller leads are left out. With those included, the messages between controllers grew with
// the fleet and cost as much processor time as the workers' heartbeats.
std::vector<std::string> HeartbeatHandler::recent_machines_of_other_shards() const {
  std::vector<std::string> heard;
  for (const auto& [id, heard_at] : last_heard_at_) {
    const auto machine = state_.machines().find(id);
    const bool led_here = machine != state_.machines().end() &&
                          membership_.shard_fencing_token(machine->second.shard) != 0;
    if (!led_here && context_.now - heard_at < context_.tunables.probe_after_s) heard.push_back(id);
  }
  return heard;
}

void HeartbeatHandler::remove_expired_entries() {
  std::erase_if(last_heard_at_, [&](const auto& heard) {
    return context_.now - heard.second > context_.settings.lease_s;
  });
  std::erase_if(forwarding_since_,
                [&](const auto& forwarding) { return !last_heard_at_.count(forwarding.first); });
}

}  // namespace rushtrestle::coordination
