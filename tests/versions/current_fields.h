// The fields of the core's structs in the current version. Each struct has its own list, so that a
// renamed field fails to compile here. The names in quotes belong to the JSON form that all
// versions share, and must not change.
#pragma once
#include "versions/exchange.h"

namespace rushtrestle::exchange {

using namespace coordination;

template <class V, class... T>
concept OneOf = (std::same_as<std::remove_const_t<V>, T> || ...);

// ---- settings and parts of messages ----

template <class A, OneOf<store::Resources> V>
void describe(A& a, V& v) {
  a("cpus", v.cpus)("gpus", v.gpus)("memory_gb", v.memory_gb);
}
template <class A, OneOf<store::JobSpec> V>
void describe(A& a, V& v) {
  a("id", v.id)("class", v.job_class)("team", v.team)("kind", v.kind)("rank", v.rank)("tasks",
                                                                                      v.tasks);
  a("per_task", v.per_task)("types", v.types)("zone", v.zone)("one_zone", v.one_zone)(
      "spread", v.spread)("spot", v.spot);
  a("image", v.image)("image_gb", v.image_gb)("estimate_s", v.estimate_s)("checkpoint_s",
                                                                          v.checkpoint_s);
  a("save_s", v.save_s)("deadline_s", v.deadline_s);
}
template <class A, OneOf<store::MachineType> V>
void describe(A& a, V& v) {
  a("name", v.name)("size", v.size)("cache_gb", v.cache_gb)("fetch", v.fetch_gb_per_s)("price",
                                                                                       v.price);
  a("spot_price", v.spot_price)("boot_s", v.boot_s)("zones", v.zones);
}
template <class A, OneOf<store::TeamSettings> V>
void describe(A& a, V& v) {
  a("name", v.name)("guarantee", v.guarantee)("limit", v.quota);
}
template <class A, OneOf<store::Objective> V>
void describe(A& a, V& v) {
  a("kind", v.kind)("class", v.job_class)("within_s", v.within_s)("share", v.share);
}
template <class A, OneOf<store::PeerSettings> V>
void describe(A& a, V& v) {
  a("node", v.node)("zone", v.zone)("address", v.address);
}
template <class A, OneOf<store::Settings> V>
void describe(A& a, V& v) {
  a("node", v.node)("zone", v.zone)("listen", v.listen)("peer_listen", v.peer_listen)(
      "cloud", v.cloud)("state", v.state);
  a("peers", v.peers)("nodes", v.nodes)("zones", v.zones)("clock_error_s", v.clock_error_s)(
      "teams", v.teams);
  a("objectives", v.objectives)("report_s", v.heartbeat_interval_s)("lease_s", v.lease_s)(
      "cancel_s", v.cancel_s);
  a("state_rps", v.state_rps)("state_write_rps", v.state_write_rps)("value_kb", v.value_kb)(
      "txn_ops", v.txn_ops);
  a("cloud_rps", v.cloud_rps)("list_lag_s", v.list_lag_s)("cpu_share", v.cpu_share)("memory_mb",
                                                                                    v.memory_mb);
  a("max_connections", v.max_connections);
  a("gang_wait_s", v.gang_wait_s)("gang_peer_s", v.gang_peer_s)("next_write_rps", v.next_write_rps);
}
template <class A, OneOf<store::OperatorSettings> V>
void describe(A& a, V& v) {
  a("requeue_delay_s", v.requeue_delay_s)("scan_period_s", v.scan_period_s)("share_period_s",
                                                                            v.share_period_s);
  a("preemptible", v.preemptible)("reclaim_guarantee", v.reclaim_guarantee)("consolidate",
                                                                            v.consolidate);
  a("team_shares", v.team_shares);
}
template <class A, OneOf<store::Change> V>
void describe(A& a, V& v) {
  a("key", v.key)("value", v.value)("stamp", v.mod_revision);
}
template <class A, OneOf<WorkerCommand> V>
void describe(A& a, V& v) {
  a("verb", v.verb)("job", v.job)("task", v.task)("attempt", v.attempt)("grace_s", v.grace_s);
}
template <class A, OneOf<CloudMachine> V>
void describe(A& a, V& v) {
  a("id", v.id)("address", v.address)("type", v.type)("zone", v.zone)("spot", v.spot)(
      "state", v.state)("age_s", v.age_s);
}
template <class A, OneOf<JobView> V>
void describe(A& a, V& v) {
  a("id", v.id)("status", v.status)("done", v.done)("running", v.running);
}
template <class A, OneOf<Precondition> V>
void describe(A& a, V& v) {
  a("key", v.key)("stamp", v.mod_revision);
}
template <class A, OneOf<Write> V>
void describe(A& a, V& v) {
  a("key", v.key)("value", v.value)("lease", v.lease);
}

// ---- commands ----

template <class A, OneOf<SubmitJob> V>
void describe(A& a, V& v) {
  a("request", v.request)("spec", v.spec);
}
template <class A, OneOf<QueryJob, CancelJob> V>
void describe(A& a, V& v) {
  a("request", v.request)("id", v.id);
}
template <class A, OneOf<CheckHealth, ShowStats> V>
void describe(A& a, V& v) {
  a("request", v.request);
}
template <class A, OneOf<HandleHeartbeat, HandleForwardedHeartbeat> V>
void describe(A& a, V& v) {
  a("request", v.request)("report", v.heartbeat);
}
template <class A, OneOf<HandlePeerState> V>
void describe(A& a, V& v) {
  a("request", v.request)("state", v.state);
}
template <class A, OneOf<CallDone> V>
void describe(A& a, V& v) {
  a("call", v.call)("status", v.status)("reply", v.reply);
}
template <class A, OneOf<Tick, std::monostate> V>
void describe(A&, V&) {}

// ---- replies ----

template <class A, OneOf<TxnReply> V>
void describe(A& a, V& v) {
  a("revision", v.revision)("failed", v.failed);
}
template <class A, OneOf<KeyReply> V>
void describe(A& a, V& v) {
  a("entry", v.entry)("revision", v.revision);
}
template <class A, OneOf<ListKeysReply> V>
void describe(A& a, V& v) {
  a("entries", v.entries)("more", v.more)("revision", v.revision);
}
template <class A, OneOf<LeaseReply> V>
void describe(A& a, V& v) {
  a("lease", v.lease);
}
template <class A, OneOf<WatchReply> V>
void describe(A& a, V& v) {
  a("revision", v.revision)("events", v.events);
}
template <class A, OneOf<MachineTypesReply> V>
void describe(A& a, V& v) {
  a("types", v.types);
}
template <class A, OneOf<ProvisionReply> V>
void describe(A& a, V& v) {
  a("machines", v.machines);
}
template <class A, OneOf<ListMachinesReply> V>
void describe(A& a, V& v) {
  a("machines", v.machines)("more", v.more);
}

// ---- effects ----

template <class A, OneOf<AnswerUser> V>
void describe(A& a, V& v) {
  a("request", v.request)("status", v.status)("job", v.job)("retry_after_s", v.retry_after_s);
}
template <class A, OneOf<AnswerHeartbeat, AnswerForwardedHeartbeat> V>
void describe(A& a, V& v) {
  a("request", v.request)("reply", v.response);
}
template <class A, OneOf<AnswerPeer> V>
void describe(A& a, V& v) {
  a("request", v.request)("state", v.state);
}
template <class A, OneOf<AnswerStats> V>
void describe(A& a, V& v) {
  a("request", v.request)("body", v.body);
}
template <class A, OneOf<Call> V>
void describe(A& a, V& v) {
  a("id", v.id)("timeout_s", v.timeout_s)("body", v.body);
}
template <class A, OneOf<LogLine> V>
void describe(A& a, V& v) {
  a("level", v.level)("text", v.text);
}

// ---- calls ----

template <class A, OneOf<Txn> V>
void describe(A& a, V& v) {
  a("conditions", v.preconditions)("writes", v.writes);
}
template <class A, OneOf<ReadKey> V>
void describe(A& a, V& v) {
  a("key", v.key);
}
template <class A, OneOf<ListKeys> V>
void describe(A& a, V& v) {
  a("prefix", v.prefix)("after", v.after);
}
template <class A, OneOf<GrantLease> V>
void describe(A& a, V& v) {
  a("ttl_s", v.ttl_s);
}
template <class A, OneOf<RenewLease> V>
void describe(A& a, V& v) {
  a("lease", v.lease);
}
template <class A, OneOf<Watch> V>
void describe(A& a, V& v) {
  a("since", v.since)("hold_s", v.hold_s);
}
template <class A, OneOf<ListMachineTypes> V>
void describe(A&, V&) {}
template <class A, OneOf<ProvisionMachines> V>
void describe(A& a, V& v) {
  a("request", v.request)("type", v.type)("zone", v.zone)("spot", v.spot)("count", v.count);
}
template <class A, OneOf<DeleteMachines> V>
void describe(A& a, V& v) {
  a("machines", v.machines);
}
template <class A, OneOf<ListMachines> V>
void describe(A& a, V& v) {
  a("after", v.after);
}
template <class A, OneOf<PushCommands> V>
void describe(A& a, V& v) {
  a("address", v.address)("token", v.fencing_token)("session", v.agent_epoch)("commands",
                                                                              v.commands);
}
template <class A, OneOf<SendPeerState> V>
void describe(A& a, V& v) {
  a("address", v.address)("state", v.state);
}
template <class A, OneOf<ForwardHeartbeat> V>
void describe(A& a, V& v) {
  a("address", v.address)("report", v.heartbeat);
}

// ---- messages between controllers ----

// The codec converts these messages; their fields are listed only for tests that generate values.

template <class A, OneOf<ReportedTask> V>
void describe(A& a, V& v) {
  a("job", v.job)("task", v.task)("attempt", v.attempt)("state", v.state)("cause", v.cause)(
      "saved", v.saved);
}
template <class A, OneOf<Heartbeat> V>
void describe(A& a, V& v) {
  a("machine", v.machine)("address", v.address)("type", v.type)("zone", v.zone)("spot", v.spot)(
      "session", v.agent_epoch)("seq", v.sequence)("token", v.fencing_token)(
      "notice_s", v.notice_s)("tasks", v.tasks);
}
template <class A, OneOf<HeartbeatResponse> V>
void describe(A& a, V& v) {
  a("status", v.status)("token", v.fencing_token)("commands", v.commands)("redirect", v.redirect);
}
template <class A, OneOf<CancellationPosition> V>
void describe(A& a, V& v) {
  a("incarnation", v.incarnation)("upto", v.count);
}
template <class A, OneOf<store::Cancellation> V>
void describe(A& a, V& v) {
  a("job", v.job)("stamp", v.mod_revision);
}
template <class A, OneOf<CancellationOffer> V>
void describe(A& a, V& v) {
  a("mark", v.end)("from", v.from)("whole", v.complete)("cancellations", v.cancellations);
}
template <class A, OneOf<PeerState> V>
void describe(A& a, V& v) {
  a("node", v.node)("incarnation", v.incarnation)("has_state", v.has_state_store)(
      "synced", v.synced)("backlog", v.backlog)("parts", v.shards)("heard", v.machines_heard)(
      "nodes", v.nodes)("at", v.at)("revision", v.revision)("current_age_s", v.current_age_s)(
      "has", v.known_cancellations)("handover", v.offered_cancellations)("version", v.version)(
      "record_format", v.record_format)("budget_need", v.budget_need);
}

template <class T>
T decoded_reply(const std::string& body, size_t kind) {
  auto done = protocol::decode_reply(0, kind, "", 200, body);
  auto* value = std::get_if<T>(&done.reply);
  if (!value) throw std::runtime_error("cannot decode a message between controllers: " + body);
  return std::move(*value);
}

inline Json save_message(PeerWire, const PeerState& v) {
  return protocol::encode(AnswerPeer{0, v}).body;
}
inline Json save_message(PeerWire, const HeartbeatResponse& v) {
  return protocol::encode(AnswerForwardedHeartbeat{0, v}).body;
}
inline Json save_message(PeerWire, const Heartbeat& v) {
  return protocol::encode(Call{0, 0, ForwardHeartbeat{"", v}}).body;
}

inline void load_message(PeerWire, const std::string& body, PeerState& v) {
  v = decoded_reply<PeerState>(body, CallBody(SendPeerState{}).index());
}
inline void load_message(PeerWire, const std::string& body, HeartbeatResponse& v) {
  v = decoded_reply<HeartbeatResponse>(body, CallBody(ForwardHeartbeat{}).index());
}
inline void load_message(PeerWire, const std::string& body, Heartbeat& v) {
  auto command = protocol::decode_peer_request(0, "POST", "/relay", body);
  v = std::get<HandleForwardedHeartbeat>(std::get<Command>(std::move(command))).heartbeat;
}

}  // namespace rushtrestle::exchange
