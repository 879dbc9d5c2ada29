// The fields of the core's structs in the earlier versions that the tests link, by the names that
// they had there. Compiled once for each earlier version with its headers, so a `requires` check
// guards each field that only some of the versions have.
#pragma once
#include "versions/exchange.h"

namespace rushtrestle::exchange {

using namespace coordination;

// ---- the fields of each struct ----

template <class A>
void describe(A& a,
              auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, store::Resources> {
  a("cpus", v.cpus)("gpus", v.gpus)("memory_gb", v.memory_gb);
}
template <class A>
void describe(A& a,
              auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, store::JobSpec> {
  a("id", v.id)("class", v.job_class)("team", v.team)("kind", v.kind)("rank", v.rank)("tasks",
                                                                                      v.tasks);
  a("per_task", v.per_task)("types", v.types)("zone", v.zone)("one_zone", v.one_zone)(
      "spread", v.spread)("spot", v.spot);
  a("image", v.image)("image_gb", v.image_gb)("estimate_s", v.estimate_s)("checkpoint_s",
                                                                          v.checkpoint_s);
  a("save_s", v.save_s)("deadline_s", v.deadline_s);
}
template <class A>
void describe(A& a,
              auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, store::MachineType> {
  a("name", v.name)("size", v.size)("cache_gb", v.cache_gb)("fetch", v.fetch_gb_per_s)("price",
                                                                                       v.price);
  a("spot_price", v.spot_price)("boot_s", v.boot_s)("zones", v.zones);
}
template <class A>
void describe(
    A& a, auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, store::TeamSettings> {
  a("name", v.name)("guarantee", v.guarantee)("limit", v.limit);
}
template <class A>
void describe(A& a,
              auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, store::Objective> {
  a("kind", v.kind)("class", v.job_class)("within_s", v.within_s)("share", v.share);
}
template <class A>
void describe(
    A& a, auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, store::PeerSettings> {
  a("node", v.node)("zone", v.zone)("address", v.address);
}
template <class A>
void describe(A& a,
              auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, store::Settings> {
  a("node", v.node)("zone", v.zone)("listen", v.listen)("peer_listen", v.peer_listen)(
      "cloud", v.cloud)("state", v.state);
  a("peers", v.peers)("nodes", v.nodes)("zones", v.zones)("clock_error_s", v.clock_error_s)(
      "teams", v.teams);
  a("objectives", v.objectives)("report_s", v.report_s)("lease_s", v.lease_s)("cancel_s",
                                                                              v.cancel_s);
  a("state_rps", v.state_rps)("state_write_rps", v.state_write_rps)("value_kb", v.value_kb)(
      "txn_ops", v.txn_ops);
  a("cloud_rps", v.cloud_rps)("list_lag_s", v.list_lag_s)("cpu_share", v.cpu_share)("memory_mb",
                                                                                    v.memory_mb);
  a("max_connections", v.max_connections);
  if constexpr (requires { v.gang_wait_s; })
    a("gang_wait_s", v.gang_wait_s)("gang_peer_s", v.gang_peer_s);
  if constexpr (requires { v.next_write_rps; }) a("next_write_rps", v.next_write_rps);
}
template <class A>
void describe(A& a, auto& v) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, store::OperatorSettings> {
  a("requeue_delay_s", v.requeue_delay_s)("scan_period_s", v.scan_period_s)("share_period_s",
                                                                            v.share_period_s);
  a("preemptible", v.preemptible)("reclaim_guarantee", v.reclaim_guarantee)("consolidate",
                                                                            v.consolidate);
  a("team_shares", v.team_shares);
}
template <class A>
void describe(A& a,
              auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, store::Change> {
  a("key", v.key)("value", v.value)("stamp", v.stamp);
}
template <class A>
void describe(A& a,
              auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, WorkerCommand> {
  a("verb", v.verb)("job", v.job)("task", v.task)("attempt", v.attempt)("grace_s", v.grace_s);
}
template <class A>
void describe(A& a, auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, CloudMachine> {
  a("id", v.id)("address", v.address)("type", v.type)("zone", v.zone)("spot", v.spot)(
      "state", v.state)("age_s", v.age_s);
}
template <class A>
void describe(A& a, auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, JobView> {
  a("id", v.id)("status", v.status)("done", v.done)("running", v.running);
}
template <class A>
void describe(A& a, auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, Condition> {
  a("key", v.key)("stamp", v.stamp);
}
template <class A>
void describe(A& a, auto& v) requires std::same_as<std::remove_cvref_t<decltype(v)>, Write> {
  a("key", v.key)("value", v.value)("lease", v.lease);
}

// Each command, effect, call and reply has some of these fields.
template <class A>
void describe(A& a, auto& v) {
  if constexpr (requires { v.request; }) a("request", v.request);
  if constexpr (requires { v.spec; }) a("spec", v.spec);
  if constexpr (requires { v.id; }) a("id", v.id);
  if constexpr (requires { v.report; }) a("report", v.report);
  if constexpr (requires { v.state; }) a("state", v.state);
  if constexpr (requires { v.call; }) a("call", v.call);
  if constexpr (requires { v.status; }) a("status", v.status);
  if constexpr (requires { v.reply; }) a("reply", v.reply);
  if constexpr (requires { v.revision; }) a("revision", v.revision);
  if constexpr (requires { v.failed; }) a("failed", v.failed);
  if constexpr (requires { v.entry; }) a("entry", v.entry);
  if constexpr (requires { v.entries; }) a("entries", v.entries);
  if constexpr (requires { v.more; }) a("more", v.more);
  if constexpr (requires { v.lease; }) a("lease", v.lease);
  if constexpr (requires { v.events; }) a("events", v.events);
  if constexpr (requires { v.types; }) a("types", v.types);
  if constexpr (requires { v.machines; }) a("machines", v.machines);
  if constexpr (requires { v.job; }) a("job", v.job);
  if constexpr (requires { v.retry_after_s; }) a("retry_after_s", v.retry_after_s);
  if constexpr (requires { v.timeout_s; }) a("timeout_s", v.timeout_s);
  if constexpr (requires { v.body; }) a("body", v.body);
  if constexpr (requires { v.level; }) a("level", v.level);
  if constexpr (requires { v.text; }) a("text", v.text);
  if constexpr (requires { v.conditions; }) a("conditions", v.conditions);
  if constexpr (requires { v.writes; }) a("writes", v.writes);
  if constexpr (requires { v.key; }) a("key", v.key);
  if constexpr (requires { v.prefix; }) a("prefix", v.prefix);
  if constexpr (requires { v.after; }) a("after", v.after);
  if constexpr (requires { v.ttl_s; }) a("ttl_s", v.ttl_s);
  if constexpr (requires { v.since; }) a("since", v.since);
  if constexpr (requires { v.hold_s; }) a("hold_s", v.hold_s);
  if constexpr (requires { v.type; }) a("type", v.type);
  if constexpr (requires { v.zone; }) a("zone", v.zone);
  if constexpr (requires { v.spot; }) a("spot", v.spot);
  if constexpr (requires { v.count; }) a("count", v.count);
  if constexpr (requires { v.address; }) a("address", v.address);
  if constexpr (requires { v.token; }) a("token", v.token);
  if constexpr (requires { v.session; }) a("session", v.session);
  if constexpr (requires { v.commands; }) a("commands", v.commands);
}

// ---- messages between controllers ----

template <class T>
T decoded_reply(const std::string& body, size_t kind) {
  auto done = protocol::decode_reply(0, kind, "", 200, body);
  auto* value = std::get_if<T>(&done.reply);
  if (!value) throw std::runtime_error("a message between controllers can't be read: " + body);
  return std::move(*value);
}

inline Json save_message(PeerWire, const PeerState& v) {
  return protocol::encode(AnswerPeer{0, v}).body;
}
inline Json save_message(PeerWire, const ReportReply& v) {
  return protocol::encode(AnswerRelayedReport{0, v}).body;
}
inline Json save_message(PeerWire, const WorkerReport& v) {
  return protocol::encode(Call{0, 0, RelayReport{"", v}}).body;
}

inline void load_message(PeerWire, const std::string& body, PeerState& v) {
  v = decoded_reply<PeerState>(body, CallBody(TellPeer{}).index());
}
inline void load_message(PeerWire, const std::string& body, ReportReply& v) {
  v = decoded_reply<ReportReply>(body, CallBody(RelayReport{}).index());
}
inline void load_message(PeerWire, const std::string& body, WorkerReport& v) {
  auto command = protocol::decode_peer_request(0, "POST", "/relay", body);
  v = std::get<TakeRelayedReport>(std::get<Command>(std::move(command))).report;
}

}  // namespace rushtrestle::exchange
