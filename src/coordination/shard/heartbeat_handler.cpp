#include "coordination/shard/heartbeat_handler.h"

#include <algorithm>
#include <utility>

namespace rushtrestle::coordination {

void HeartbeatHandler::handle_heartbeat(RequestId request, Heartbeat&& heartbeat) {
  context_.counters["reports"]++;
  last_heard_at_[heartbeat.machine] = context_.now;
  if (forward(request, heartbeat)) return;
  context_.out.push_back(AnswerHeartbeat{request, respond(heartbeat, false)});
}

void HeartbeatHandler::handle_forwarded_heartbeat(RequestId request, const Heartbeat& heartbeat) {
  context_.counters["relayed_reports"]++;
  context_.out.push_back(AnswerForwardedHeartbeat{request, respond(heartbeat, true)});
}

// Two zones that can't reach each other, or a controller that lost its workers: a worker turned
// away to a shard leader that it can't reach lost its lease and all its tasks, though others reach
// both. A worker that already obeys the shard leader's fencing token and comes to us all the same
// can't reach it: its heartbeat goes to the shard leader through us, and the shard leader's answer
// back, as if it had come straight. Now and then the worker is sent to the shard leader again.
bool HeartbeatHandler::forward(RequestId request, Heartbeat& heartbeat) {
  const auto* record = state_cache_.machine(heartbeat.machine);
  if (!record || record->record.terminating() || membership_.shard_token(record->record.shard) != 0)
    return false;
  const std::string lease_holder = membership_.shard_leader(record->record.shard);
  const uint64_t holders =
      std::max(state_cache_.mod_revision_of(store::shard_key(record->record.shard)),
               state_cache_.mod_revision_of(store::machine_key(heartbeat.machine)));
  if (lease_holder.empty() || lease_holder == context_.settings.node ||
      heartbeat.fencing_token < holders) {
    forwarding_since_.erase(heartbeat.machine);
    return false;
  }
  const std::string address = membership_.address_of(lease_holder);
  if (address.empty()) {
    const std::string between = membership_.relay_peer(lease_holder);
    if (between.empty()) return keep_alive(request, heartbeat);
    context_.out.push_back(AnswerHeartbeat{request, {421, 0, {}, between}});
    return true;
  }
  const auto since = forwarding_since_.emplace(heartbeat.machine, context_.now).first;
  if (context_.now - since->second > context_.tunables.forward_s) {
    forwarding_since_.erase(since);
    return false;
  }
  // Another controller may have room to pass it on: the worker asks the next one.
  if (forwards_in_flight_ >= context_.tunables.forward_slots) {
    context_.counters["relays_refused"]++;
    context_.out.push_back(AnswerHeartbeat{request, HeartbeatResponse{}});
    return true;
  }
  ++forwards_in_flight_;
  context_.counters["reports_passed_on"]++;
  context_.call(ForwardHeartbeat{address, std::move(heartbeat)},
                context_.tunables.command_timeout_s, [this, request](CallDone&& d) {
                  --forwards_in_flight_;
                  auto* reply = std::get_if<HeartbeatResponse>(&d.reply);
                  context_.out.push_back(AnswerHeartbeat{
                      request, d.status == 200 && reply ? std::move(*reply) : HeartbeatResponse{}});
                });
  return true;
}

// A zone cut off from everything, with the shard leader of its workers' part outside: they met a
// controller of their own zone, were sent to the shard leader that neither reaches, and lost all
// their tasks a lease later, though nothing had happened to them. A controller that lacks the state
// service itself, and hears nobody who has it, renews the lease of a worker that obeyed the shard
// leader known here, with the worker's own fencing token and no orders but to stop what was
// cancelled before the cut. For how long, and why that leaves every cancellation its time:
// docs/architecture.md, Cancellation.
bool HeartbeatHandler::keep_alive(RequestId request, const Heartbeat& heartbeat) {
  if (state_store_.lease_valid() || !membership_.may_renew_while_disconnected()) return false;
  context_.counters["kept_alive"]++;
  context_.out.push_back(
      AnswerHeartbeat{request, {200, heartbeat.fencing_token, stops_of_cancelled(heartbeat), ""}});
  return true;
}

// Always right, whoever sends it and whatever else is under way: no answer that renews a lease goes
// without.
std::vector<WorkerCommand> HeartbeatHandler::stops_of_cancelled(const Heartbeat& heartbeat) const {
  std::vector<WorkerCommand> stops;
  for (const auto& t : heartbeat.tasks)
    if (t.state != TaskState::exited && state_cache_.cancelled(t.job))
      stops.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, 0});
  return stops;
}

HeartbeatResponse HeartbeatHandler::respond(const Heartbeat& heartbeat, bool forwarded) {
  const auto* record = state_cache_.machine(heartbeat.machine);
  // Restarted in an outage: nobody can read the keys, so nobody can take over, accept or cancel
  // either. While all controllers agree on that, and what was cancelled before is known from them,
  // the worker's own fencing token keeps its tasks alive.
  if (!state_store_.synced() && membership_.outage_shared() &&
      membership_.may_renew_while_disconnected())
    return {200, heartbeat.fencing_token, stops_of_cancelled(heartbeat), ""};
  if (!record || record->record.terminating()) return {};
  const int shard = record->record.shard;
  ShardMachine* m = state_.find_machine(heartbeat.machine);
  if (!m || membership_.shard_token(shard) == 0) {
    const std::string lease_holder = membership_.shard_leader(shard);
    if (lease_holder.empty() || lease_holder == context_.settings.node) return {};
    return {421, 0, {}, lease_holder};
  }
  // A higher fencing token than ours: somebody else is entitled, we just have not heard yet.
  if (heartbeat.fencing_token > state_.fencing_token(*m) || !membership_.may_renew_workers())
    return {};
  m->last_heartbeat = context_.now;
  std::vector<WorkerCommand> commands = stops_of_cancelled(heartbeat);
  if (intake_.apply(*m, heartbeat)) {
    if (forwarded) m->forwarded_at = context_.now;
    bool has_start = false;
    if (!m->command_in_flight) {
      auto all = reconciler_.reconcile(*m, has_start);
      // Starts go directly only: one in an answer could arrive after a direct stop.
      if (has_start) {
        dispatch_queue_.add(m->id);
      } else {
        commands = std::move(all);
      }
    }
  }
  return {200, state_.fencing_token(*m), std::move(commands), ""};
}

// Peers ask this of machines that they are responsible for, so ours are left out: with them, the
// messages between controllers grew with the fleet and cost as much processor time as the workers'
// heartbeats.
std::vector<std::string> HeartbeatHandler::machines_heard_of_other_shards() const {
  std::vector<std::string> out;
  for (const auto& [id, at] : last_heard_at_) {
    const auto mine = state_.machines().find(id);
    const bool ours =
        mine != state_.machines().end() && membership_.shard_token(mine->second.shard) != 0;
    if (!ours && context_.now - at < context_.tunables.probe_after_s) out.push_back(id);
  }
  return out;
}

void HeartbeatHandler::forget_old() {
  std::erase_if(last_heard_at_, [&](const auto& heard) {
    return context_.now - heard.second > context_.settings.lease_s;
  });
  std::erase_if(forwarding_since_,
                [&](const auto& forwarding) { return !last_heard_at_.count(forwarding.first); });
}

}  // namespace rushtrestle::coordination
