// What workers report, what they are told, and the commands that are sent to them.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/runtime/call_ids.h"

namespace rushtrestle::coordination {

enum class TaskState { fetching, running, saving, exited };
enum class ExitCause { none, done, stopped, error, no_room, busy, unknown };

/// A task as its worker has it.
struct ReportedTask {
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  /// Its checkpoint is saved.
  bool saved = false;
  /// Fetched, and waits for the others of its gang; not told between controllers.
  bool gathering = false;
};

/// A worker's status. `agent_epoch` grows with each restart of the worker, `sequence` with each
/// heartbeat; `fencing_token` is the highest that it has seen.
struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;
  /// Seconds until the cloud takes the machine back.
  std::optional<double> notice_s;
  std::vector<ReportedTask> tasks;
};

enum class WorkerVerb { start, stop, forget };
struct WorkerCommand {
  WorkerVerb verb = WorkerVerb::start;
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  /// With `stop`: time to save.
  double grace_s = 0;
};

/// What the leader of a shard answers to a worker.
struct HeartbeatResponse {
  int status = 503;
  uint64_t fencing_token = 0;
  std::vector<WorkerCommand> commands;
  /// With 421: the controller to go to; may be empty.
  std::string redirect;
};

// ---- commands ----

struct HandleHeartbeat {
  RequestId request = 0;
  Heartbeat heartbeat;
};
/// A heartbeat that another controller got from a worker that can't reach this one.
struct HandleForwardedHeartbeat {
  RequestId request = 0;
  Heartbeat heartbeat;
};

// ---- effects ----

struct AnswerHeartbeat {
  RequestId request = 0;
  HeartbeatResponse reply;
};
struct AnswerForwardedHeartbeat {
  RequestId request = 0;
  HeartbeatResponse reply;
};

// ---- calls ----

/// Commands to a worker without waiting for its heartbeat; it answers with a Heartbeat.
struct PushCommands {
  std::string address;
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;
  std::vector<WorkerCommand> commands;
};
/// A heartbeat passed on to the leader of the worker's shard.
struct ForwardHeartbeat {
  std::string address;
  Heartbeat heartbeat;
};

}  // namespace rushtrestle::coordination
