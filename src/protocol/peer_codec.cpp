// What controllers say to each other, as JSON.
#include "protocol/codec_internal.h"

namespace rushtrestle::protocol {

using namespace coordination;
using store::Json;

namespace {

CancellationPosition cancellation_position_from_json(const Json& j) {
  const Fields f(j);
  return {f.text("incarnation", true), f.count("upto")};
}

CancellationOffer cancellation_offer_from_json(const Json& j) {
  const Fields f(j);
  CancellationOffer h{cancellation_position_from_json(j), f.count("from"), f.flag("whole"), {}};
  for (const auto& c : f.list("cancelled")) {
    h.cancellations.push_back({c.at(0).get<std::string>(), c.at(1).get<uint64_t>()});
    if (!valid_job_id(h.cancellations.back().job)) throw Invalid{};
  }
  if (h.from > h.mark.count || h.cancellations.size() > h.mark.count - h.from) throw Invalid{};
  return h;
}

HttpAnswer peer_answer(const Json& body) {
  return {200, body.dump(-1, ' ', false, Json::error_handler_t::replace), "", "application/json"};
}

}  // namespace

Json peer_json(const PeerState& s) {
  Json j = {{"node", s.node},
            {"incarnation", s.incarnation},
            {"has_state", s.has_state_store},
            {"synced", s.synced},
            {"backlog", s.backlog},
            {"parts", s.shards},
            {"heard", s.machines_heard},
            {"nodes", s.nodes},
            {"at", s.at},
            {"revision", s.revision},
            {"version", s.version},
            {"record_format", s.record_format}};
  if (s.budget_need) j["need"] = *s.budget_need;
  if (s.current_age_s) j["current_age"] = *s.current_age_s;
  if (s.acknowledged)
    j["has"] = {{"incarnation", s.acknowledged->incarnation}, {"upto", s.acknowledged->count}};
  if (s.offered_cancellations) {
    Json cancelled = Json::array();
    for (const auto& c : s.offered_cancellations->cancellations)
      cancelled.push_back({c.job, c.mod_revision});
    j["handover"] = {{"incarnation", s.offered_cancellations->mark.incarnation},
                     {"from", s.offered_cancellations->from},
                     {"upto", s.offered_cancellations->mark.count},
                     {"whole", s.offered_cancellations->whole},
                     {"cancelled", std::move(cancelled)}};
  }
  return j;
}

PeerState peer_from_json(const Json& j) {
  PeerState s;
  s.node = j.at("node").get<std::string>();
  s.incarnation = j.at("incarnation").get<std::string>();
  s.has_state_store = j.at("has_state").get<bool>();
  s.synced = j.at("synced").get<bool>();
  s.backlog = j.at("backlog").get<double>();
  s.shards = j.at("parts").get<std::vector<int>>();
  s.machines_heard = j.at("heard").get<std::vector<std::string>>();
  s.nodes = j.at("nodes").get<std::vector<std::string>>();
  s.at = j.at("at").get<double>();
  const Fields f(j);
  if (f.find("revision")) s.revision = f.count("revision");
  if (f.find("version")) s.version = f.text("version", true);
  if (f.find("record_format")) s.record_format = f.count("record_format");
  if (f.find("need")) s.budget_need = f.amount("need");
  if (f.find("current_age")) s.current_age_s = f.amount("current_age");
  if (j.contains("has")) s.acknowledged = cancellation_position_from_json(j["has"]);
  if (j.contains("handover")) s.offered_cancellations = cancellation_offer_from_json(j["handover"]);
  return s;
}

Json heartbeat_json(const Heartbeat& r) {
  Json tasks = Json::array();
  for (const auto& t : r.tasks)
    tasks.push_back(
        {t.job, t.task, t.attempt, static_cast<int>(t.state), static_cast<int>(t.cause), t.saved});
  Json j = {{"machine", r.machine}, {"address", r.address},     {"type", r.type},
            {"zone", r.zone},       {"spot", r.spot},           {"session", r.agent_epoch},
            {"seq", r.sequence},    {"token", r.fencing_token}, {"tasks", std::move(tasks)}};
  if (r.notice_s) j["notice"] = *r.notice_s;
  return j;
}

Heartbeat heartbeat_from_json(const Json& j) {
  Heartbeat r;
  r.machine = j.at("machine").get<std::string>();
  r.address = j.at("address").get<std::string>();
  r.type = j.at("type").get<std::string>();
  r.zone = j.at("zone").get<std::string>();
  r.spot = j.at("spot").get<bool>();
  r.agent_epoch = j.at("session").get<uint64_t>();
  r.sequence = j.at("seq").get<uint64_t>();
  r.fencing_token = j.at("token").get<uint64_t>();
  if (j.contains("notice")) r.notice_s = j["notice"].get<double>();
  for (const auto& t : j.at("tasks"))
    r.tasks.push_back({t.at(0).get<std::string>(), t.at(1).get<uint32_t>(), t.at(2).get<uint64_t>(),
                       static_cast<TaskState>(t.at(3).get<int>()),
                       static_cast<ExitCause>(t.at(4).get<int>()), t.at(5).get<bool>(), false});
  return r;
}

Json heartbeat_response_json(const HeartbeatResponse& r) {
  Json commands = Json::array();
  for (const auto& c : r.commands)
    commands.push_back({static_cast<int>(c.verb), c.job, c.task, c.attempt, c.grace_s});
  return {{"status", r.status},
          {"token", r.fencing_token},
          {"commands", std::move(commands)},
          {"redirect", r.redirect}};
}

HeartbeatResponse heartbeat_response_from_json(const Json& j) {
  HeartbeatResponse r{j.at("status").get<int>(),
                      j.at("token").get<uint64_t>(),
                      {},
                      j.at("redirect").get<std::string>()};
  for (const auto& c : j.at("commands"))
    r.commands.push_back({static_cast<WorkerVerb>(c.at(0).get<int>()), c.at(1).get<std::string>(),
                          c.at(2).get<uint32_t>(), c.at(3).get<uint64_t>(), c.at(4).get<double>()});
  return r;
}

std::variant<Command, HttpAnswer> decode_peer_request(RequestId id, const std::string& method,
                                                      const std::string& target,
                                                      const std::string& body) {
  if (target != "/peer" && target != "/relay") return refusal(404, "no such path");
  if (method != "POST") return wrong_method("POST");
  const Json j = Json::parse(body, nullptr, false);
  if (target == "/relay") {
    auto heartbeat =
        j.is_discarded() ? std::nullopt : guarded([&] { return heartbeat_from_json(j); });
    if (!heartbeat) return refusal(400, "malformed");
    return Command{HandleForwardedHeartbeat{id, std::move(*heartbeat)}};
  }
  auto state = j.is_discarded() ? std::nullopt : guarded([&] { return peer_from_json(j); });
  if (!state) return refusal(400, "malformed");
  return Command{HandlePeerState{id, std::move(*state)}};
}

HttpAnswer encode(const AnswerForwardedHeartbeat& a) {
  return peer_answer(heartbeat_response_json(a.reply));
}

HttpAnswer encode(const AnswerPeer& a) { return peer_answer(peer_json(a.state)); }

}  // namespace rushtrestle::protocol
