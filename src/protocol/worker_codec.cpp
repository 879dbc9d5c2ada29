#include "protocol/worker_codec.h"

#include <optional>
#include <utility>
#include <vector>

#include "protocol/fields.h"

namespace rushtrestle::protocol {

using namespace coordination;
using store::Json;

namespace {

// Field names that several messages of the workers' protocol share.
constexpr const char* kFencingToken = "baton";
constexpr const char* kAgentEpoch = "shift";
constexpr const char* kCommands = "orders";
constexpr const char* kTask = "chore";
constexpr const char* kAttempt = "try";

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

constexpr const char* kGathering = "gathering";

std::optional<TaskState> task_state(const std::string& word) {
  if (word == "pulling" || word == kGathering) return TaskState::fetching;  // not running yet
  if (word == "running") return TaskState::running;
  if (word == "saving") return TaskState::saving;
  if (word == "ended") return TaskState::exited;
  return std::nullopt;
}

ExitCause exit_cause(const std::string& word) {
  if (word == "done") return ExitCause::done;
  if (word == "stopped") return ExitCause::stopped;
  if (word == "full") return ExitCause::no_room;
  if (word == "in_use") return ExitCause::busy;
  if (word == "no_such") return ExitCause::unknown;
  // A gang's task that ended because of other tasks of its gang did not fail itself.
  if (word == "peers" || word == "incomplete") return ExitCause::stopped;
  return ExitCause::error;  // `error`, and any cause that a later version may add
}

ReportedTask reported_task_from_json(const Json& json) {
  const Fields fields(json);
  ReportedTask task;
  if (!parse_task_name(fields.text(kTask), task.job, task.task)) fail(kTask, "not a task's name");
  task.attempt = fields.count(kAttempt);
  const std::string status = fields.text("status");
  const auto state = task_state(status);
  if (!state) fail("status", "no such state");
  task.state = *state;
  task.gathering = status == kGathering;
  if (task.state == TaskState::exited) task.cause = exit_cause(fields.text("cause"));
  task.saved = fields.flag_or("kept", false);
  return task;
}

Heartbeat heartbeat_from_worker(const Json& json) {
  const Fields fields(json);
  Heartbeat heartbeat;
  heartbeat.machine = fields.text("rig");
  heartbeat.address = fields.text("addr");
  heartbeat.type = fields.text("breed");
  heartbeat.zone = fields.text("yard");
  heartbeat.spot = fields.flag_or("loaners", false);
  heartbeat.agent_epoch = fields.count(kAgentEpoch);
  heartbeat.sequence = fields.count("tally");
  heartbeat.fencing_token = fields.count(kFencingToken);
  if (fields.find("warningS")) heartbeat.notice_s = fields.amount("warningS");
  for (const auto& task : fields.list("chores"))
    heartbeat.tasks.push_back(reported_task_from_json(task));
  return heartbeat;
}

Json command_json(const WorkerCommand& command) {
  Json json = {{kTask, task_name(command.job, command.task)}, {kAttempt, command.attempt}};
  switch (command.verb) {
    case WorkerVerb::start: json["verb"] = "run"; break;
    case WorkerVerb::forget: json["verb"] = "forget"; break;
    case WorkerVerb::stop:
      json["verb"] = "kill";
      json["leewayS"] = command.grace_s;
      break;
  }
  return json;
}

Json commands_json(const std::vector<WorkerCommand>& commands) {
  Json list = Json::array();
  for (const auto& command : commands) list.push_back(command_json(command));
  return list;
}

}  // namespace

Decoded<Heartbeat> decode_heartbeat(const Json& json) {
  return catch_decode_errors([&] { return heartbeat_from_worker(json); });
}

DecodedRequest decode_worker_request(RequestId id, const std::string& method,
                                     const std::string& body, BodySize size) {
  if (method != "POST") return method_not_allowed("POST");
  auto heartbeat = decode_cbor(body, size).and_then(decode_heartbeat);
  if (!heartbeat) return error_answer(400, "malformed report");
  return Command{HandleHeartbeat{id, std::move(*heartbeat)}};
}

HttpAnswer encode(const AnswerHeartbeat& answer) {
  const auto& response = answer.response;
  if (response.status == kOk)
    return cbor_answer(kOk, {{kFencingToken, response.fencing_token},
                             {kCommands, commands_json(response.commands)}});
  Json body = Json::object();
  if (response.status == kMisdirected && !response.redirect.empty())
    body["foreman"] = response.redirect;
  return cbor_answer(response.status, body,
                     response.status == kUnavailable ? "Retry-After: 1\r\n" : "");
}

HttpCall encode_call(const PushCommands& push) {
  return {Service::worker, push.address, "POST", "/commands",
          to_cbor({{kFencingToken, push.fencing_token},
                   {kAgentEpoch, push.agent_epoch},
                   {kCommands, commands_json(push.commands)}})};
}

}  // namespace rushtrestle::protocol
