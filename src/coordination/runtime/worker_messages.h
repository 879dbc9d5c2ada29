// Heartbeats of workers, the responses to them, and commands to workers.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/runtime/call_ids.h"

namespace rushtrestle::coordination {

enum class TaskState { fetching, running, saving, exited };
enum class ExitCause { none, done, stopped, error, no_room, busy, unknown };

/// The state of a task as its worker reports it.
struct ReportedTask {
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  /// The task's checkpoint is saved.
  bool saved = false;
  /// The task has its image and waits for the other tasks of its gang. Controllers omit this field
  /// from forwarded heartbeats.
  bool gathering = false;
};

/// A worker's status. `agent_epoch` increases with each restart of the worker, `sequence` with each
/// heartbeat; `fencing_token` is the highest that the worker has seen.
struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;
  /// Seconds until the cloud reclaims the machine; none: no notice was given.
  std::optional<double> notice_s;
  std::vector<ReportedTask> tasks;
};

enum class WorkerVerb { start, stop, forget };
struct WorkerCommand {
  WorkerVerb verb = WorkerVerb::start;
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  /// With `stop`: time to save a checkpoint, in seconds.
  double grace_s = 0;
};

/// The answer to a heartbeat.
struct HeartbeatResponse {
  int status = 503;
  uint64_t fencing_token = 0;
  std::vector<WorkerCommand> commands;
  /// With 421: the controller to send heartbeats to; may be empty.
  std::string redirect;
  /// With 200: the token is the worker's own and fences no earlier command, because a controller
  /// that knows no records answered. Only in answers to forwarded heartbeats.
  bool under_worker_token = false;
};

// ---- commands ----

struct HandleHeartbeat {
  RequestId request = 0;
  Heartbeat heartbeat;
};
/// A heartbeat that another controller forwards because its worker can't reach this one.
struct HandleForwardedHeartbeat {
  RequestId request = 0;
  Heartbeat heartbeat;
};

// ---- effects ----

struct AnswerHeartbeat {
  RequestId request = 0;
  HeartbeatResponse response;
};
struct AnswerForwardedHeartbeat {
  RequestId request = 0;
  HeartbeatResponse response;
};

// ---- calls ----

/// Sends commands to a worker without waiting for its heartbeat; the worker replies with a
/// Heartbeat.
struct PushCommands {
  std::string address;
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;
  std::vector<WorkerCommand> commands;
};
/// Forwards a heartbeat to the leader of the worker's shard.
struct ForwardHeartbeat {
  std::string address;
  Heartbeat heartbeat;
};

}  // namespace rushtrestle::coordination
