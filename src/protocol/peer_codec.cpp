#include "protocol/peer_codec.h"

#include <utility>
#include <vector>

#include "protocol/checked_parser.h"
#include "protocol/codec.h"
#include "protocol/fields.h"

namespace rushtrestle::protocol {

using namespace coordination;
using store::Json;

namespace {

constexpr const char* kStatePath = "/peer";
constexpr const char* kForwardPath = "/relay";
constexpr const char* kJsonType = "application/json";

// Field names of a controller's state.
constexpr const char* kNode = "node";
constexpr const char* kIncarnation = "incarnation";
constexpr const char* kHasStateStore = "has_state";
constexpr const char* kSynced = "synced";
constexpr const char* kBacklog = "backlog";
constexpr const char* kShards = "parts";
constexpr const char* kMachinesHeard = "heard";
constexpr const char* kNodes = "nodes";
constexpr const char* kAt = "at";
constexpr const char* kRevision = "revision";
constexpr const char* kVersion = "version";
constexpr const char* kRecordFormat = "record_format";
constexpr const char* kBudgetNeed = "need";
constexpr const char* kCurrentAgeS = "current_age";
constexpr const char* kAcknowledged = "has";
constexpr const char* kOfferedCancellations = "handover";

// Field names of the exchange of cancellations.
constexpr const char* kCount = "upto";
constexpr const char* kFrom = "from";
constexpr const char* kWhole = "whole";
constexpr const char* kCancelled = "cancelled";

// Field names of a forwarded heartbeat and of the response to it.
constexpr const char* kMachine = "machine";
constexpr const char* kAddress = "address";
constexpr const char* kType = "type";
constexpr const char* kZone = "zone";
constexpr const char* kSpot = "spot";
constexpr const char* kAgentEpoch = "session";
constexpr const char* kSequence = "seq";
constexpr const char* kFencingToken = "token";
constexpr const char* kTasks = "tasks";
constexpr const char* kNoticeS = "notice";
constexpr const char* kStatus = "status";
constexpr const char* kCommands = "commands";
constexpr const char* kRedirect = "redirect";
constexpr const char* kUnderWorkerToken = "own_token";  // absent: false

// ---- the exchange of cancellations ----

Json position_json(const CancellationPosition& position) {
  return {{kIncarnation, position.incarnation}, {kCount, position.count}};
}

CancellationPosition position_from_json(const Json& json) {
  const Fields fields(json);
  return {fields.text(kIncarnation, EmptyText::allowed), fields.count(kCount)};
}

Json offer_json(const CancellationOffer& offer) {
  Json cancelled = Json::array();
  for (const auto& cancellation : offer.cancellations)
    cancelled.push_back({cancellation.job, cancellation.mod_revision});
  Json json = position_json(offer.end);
  json[kFrom] = offer.from;
  json[kWhole] = offer.complete;
  json[kCancelled] = std::move(cancelled);
  return json;
}

CancellationOffer offer_from_json(const Json& json) {
  const Fields fields(json);
  CancellationOffer offer{position_from_json(json), fields.count(kFrom), fields.flag(kWhole), {}};
  for (const auto& cancellation : fields.list(kCancelled)) {
    offer.cancellations.push_back(
        {cancellation.at(0).get<std::string>(), cancellation.at(1).get<uint64_t>()});
    if (!valid_job_id(offer.cancellations.back().job)) fail(kCancelled, "not a job's id");
  }
  if (offer.from > offer.end.count) fail(kFrom, "beyond the end");
  if (offer.cancellations.size() > offer.end.count - offer.from)
    fail(kCancelled, "more than there are");
  return offer;
}

// ---- a controller's state ----

Json peer_state_json(const PeerState& state) {
  Json json = {{kNode, state.node},
               {kIncarnation, state.incarnation},
               {kHasStateStore, state.has_state_store},
               {kSynced, state.synced},
               {kBacklog, state.backlog},
               {kShards, state.shards},
               {kMachinesHeard, state.machines_heard},
               {kNodes, state.nodes},
               {kAt, state.at},
               {kRevision, state.revision},
               {kVersion, state.version},
               {kRecordFormat, state.record_format}};
  if (state.budget_need) json[kBudgetNeed] = *state.budget_need;
  if (state.current_age_s) json[kCurrentAgeS] = *state.current_age_s;
  if (state.known_cancellations) json[kAcknowledged] = position_json(*state.known_cancellations);
  if (state.offered_cancellations)
    json[kOfferedCancellations] = offer_json(*state.offered_cancellations);
  return json;
}

PeerState peer_state_from_json(const Json& json) {
  const Fields fields(json);
  PeerState state;
  state.node = fields.get<std::string>(kNode);
  state.incarnation = fields.get<std::string>(kIncarnation);
  state.has_state_store = fields.get<bool>(kHasStateStore);
  state.synced = fields.get<bool>(kSynced);
  state.backlog = fields.get<double>(kBacklog);
  state.shards = fields.get<std::vector<int>>(kShards);
  state.machines_heard = fields.get<std::vector<std::string>>(kMachinesHeard);
  state.nodes = fields.get<std::vector<std::string>>(kNodes);
  state.at = fields.get<double>(kAt);
  // Controllers of earlier versions do not send the remaining fields.
  if (fields.find(kRevision)) state.revision = fields.count(kRevision);
  if (fields.find(kVersion)) state.version = fields.text(kVersion, EmptyText::allowed);
  if (fields.find(kRecordFormat)) state.record_format = fields.count(kRecordFormat);
  if (fields.find(kBudgetNeed)) state.budget_need = fields.amount(kBudgetNeed);
  if (fields.find(kCurrentAgeS)) state.current_age_s = fields.amount(kCurrentAgeS);
  if (json.contains(kAcknowledged))
    state.known_cancellations = position_from_json(json[kAcknowledged]);
  if (json.contains(kOfferedCancellations))
    state.offered_cancellations = offer_from_json(json[kOfferedCancellations]);
  return state;
}

// ---- forwarded heartbeats ----

// Encodes a task as a list: job, task, attempt, state, exit cause, saved.
Json reported_task_json(const ReportedTask& task) {
  return Json::array({task.job, task.task, task.attempt, static_cast<int>(task.state),
                      static_cast<int>(task.cause), task.saved});
}

/// Reads an enumerator that is sent as its number; `last` is the largest one.
template <class Enum>
Enum enumerator_from_json(const Json& json, Enum last, const char* field) {
  if (!json.is_number_unsigned() || json.get<uint64_t>() > static_cast<uint64_t>(last))
    fail(field, "no such number");
  return static_cast<Enum>(json.get<int>());
}

ReportedTask reported_task_from_json(const Json& json) {
  return {json.at(0).get<std::string>(),
          json.at(1).get<uint32_t>(),
          json.at(2).get<uint64_t>(),
          enumerator_from_json(json.at(3), TaskState::exited, kTasks),
          enumerator_from_json(json.at(4), ExitCause::unknown, kTasks),
          json.at(5).get<bool>(),
          false};
}

Json heartbeat_json(const Heartbeat& heartbeat) {
  Json tasks = Json::array();
  for (const auto& task : heartbeat.tasks) tasks.push_back(reported_task_json(task));
  Json json = {{kMachine, heartbeat.machine},   {kAddress, heartbeat.address},
               {kType, heartbeat.type},         {kZone, heartbeat.zone},
               {kSpot, heartbeat.spot},         {kAgentEpoch, heartbeat.agent_epoch},
               {kSequence, heartbeat.sequence}, {kFencingToken, heartbeat.fencing_token},
               {kTasks, std::move(tasks)}};
  if (heartbeat.notice_s) json[kNoticeS] = *heartbeat.notice_s;
  return json;
}

Heartbeat heartbeat_from_json(const Json& json) {
  const Fields fields(json);
  Heartbeat heartbeat;
  heartbeat.machine = fields.get<std::string>(kMachine);
  heartbeat.address = fields.get<std::string>(kAddress);
  heartbeat.type = fields.get<std::string>(kType);
  heartbeat.zone = fields.get<std::string>(kZone);
  heartbeat.spot = fields.get<bool>(kSpot);
  heartbeat.agent_epoch = fields.get<uint64_t>(kAgentEpoch);
  heartbeat.sequence = fields.get<uint64_t>(kSequence);
  heartbeat.fencing_token = fields.get<uint64_t>(kFencingToken);
  if (json.contains(kNoticeS)) heartbeat.notice_s = fields.get<double>(kNoticeS);
  for (const auto& task : json.at(kTasks)) heartbeat.tasks.push_back(reported_task_from_json(task));
  return heartbeat;
}

// Encodes a command as a list: verb, job, task, attempt, grace period in seconds.
Json command_json(const WorkerCommand& command) {
  return Json::array({static_cast<int>(command.verb), command.job, command.task, command.attempt,
                      command.grace_s});
}

WorkerCommand command_from_json(const Json& json) {
  return {enumerator_from_json(json.at(0), WorkerVerb::forget, kCommands),
          json.at(1).get<std::string>(), json.at(2).get<uint32_t>(), json.at(3).get<uint64_t>(),
          json.at(4).get<double>()};
}

Json heartbeat_response_json(const HeartbeatResponse& response) {
  Json commands = Json::array();
  for (const auto& command : response.commands) commands.push_back(command_json(command));
  Json json = {{kStatus, response.status},
               {kFencingToken, response.fencing_token},
               {kCommands, std::move(commands)},
               {kRedirect, response.redirect}};
  if (response.under_worker_token) json[kUnderWorkerToken] = true;
  return json;
}

HeartbeatResponse heartbeat_response_from_json(const Json& json) {
  const Fields fields(json);
  HeartbeatResponse response{fields.get<int>(kStatus),
                             fields.get<uint64_t>(kFencingToken),
                             {},
                             fields.get<std::string>(kRedirect),
                             fields.flag_or(kUnderWorkerToken, false)};
  for (const auto& command : json.at(kCommands))
    response.commands.push_back(command_from_json(command));
  return response;
}

// ---- bodies ----

/// Parses a JSON body and converts it with `read`.
template <class Read>
auto decode_json(const std::string& body, Read&& read) {
  return catch_decode_errors([&] {
    // The lexer of JSON text checks the encoding.
    const auto json = parse_checked(body, Json::input_format_t::json, TextEncoding::any);
    if (!json) fail("", "not JSON, or nested too deep");
    return read(*json);
  });
}

HttpCall post(const std::string& address, const char* target, const Json& body) {
  return {Service::peer, address, "POST", target, store::to_json_text(body), kJsonType};
}

HttpAnswer peer_answer(const Json& body) { return {200, store::to_json_text(body), "", kJsonType}; }

}  // namespace

HttpCall encode_call(const SendPeerState& send) {
  return post(send.address, kStatePath, peer_state_json(send.state));
}

HttpCall encode_call(const ForwardHeartbeat& forward) {
  return post(forward.address, kForwardPath, heartbeat_json(forward.heartbeat));
}

Decoded<Reply> decode_peer_reply(ReplyKind kind, const std::string& body) {
  return decode_json(body, [&](const Json& json) -> Reply {
    if (kind == kKindOf<SendPeerState>) return peer_state_from_json(json);
    return heartbeat_response_from_json(json);
  });
}

DecodedRequest decode_peer_request(RequestId id, const std::string& method,
                                   const std::string& target, const std::string& body) {
  if (target != kStatePath && target != kForwardPath) return error_answer(404, "no such path");
  if (method != "POST") return method_not_allowed("POST");
  if (target == kForwardPath) {
    auto heartbeat = decode_json(body, heartbeat_from_json);
    if (!heartbeat) return error_answer(400, "malformed");
    return Command{HandleForwardedHeartbeat{id, std::move(*heartbeat)}};
  }
  auto state = decode_json(body, peer_state_from_json);
  if (!state) return error_answer(400, "malformed");
  return Command{HandlePeerState{id, std::move(*state)}};
}

HttpAnswer encode(const AnswerForwardedHeartbeat& answer) {
  return peer_answer(heartbeat_response_json(answer.response));
}

HttpAnswer encode(const AnswerPeer& answer) { return peer_answer(peer_state_json(answer.state)); }

}  // namespace rushtrestle::protocol
