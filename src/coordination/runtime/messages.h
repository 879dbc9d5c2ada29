// What goes into the core (commands) and what comes out (effects), in plain types.
// The wire's words are known to protocol alone.
#pragma once
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "store/state_cache.h"

namespace rushtrestle::coordination {

using RequestId = uint64_t;  // of a request that waits for our answer
using CallId = uint64_t;     // of a request that we sent

enum class TaskState { fetching, running, saving, exited };
enum class ExitCause { none, done, stopped, error, no_room, busy, unknown };

struct ReportedTask {
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;
  bool gathering =
      false;  // fetched, and waits for the others of its gang; not told between controllers
};

struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  uint64_t agent_epoch = 0, sequence = 0, fencing_token = 0;
  std::optional<double> notice_s;
  std::vector<ReportedTask> tasks;
};

enum class WorkerVerb { start, stop, forget };
struct WorkerCommand {
  WorkerVerb verb = WorkerVerb::start;
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  double grace_s = 0;
};

struct CloudMachine {
  std::string id, address, type, zone;
  bool spot = false;
  enum class State { booting, running, failed } state = State::booting;
  double age_s = 0;
};

/// How far the cancellations that a controller's state cache holds are known elsewhere.
struct CancellationPosition {
  std::string incarnation;  // whose cancellations
  uint64_t count = 0;       // so many of them, in its order
};
/// Cancellations that a controller's state cache holds, from `from` on, but for those that the
/// asker's state cache covers.
struct CancellationOffer {
  CancellationPosition mark;
  uint64_t from = 0;
  bool whole = false;  // nothing is left
  std::vector<store::Cancellation> cancellations;
};

/// What controllers tell each other, about once a second.
struct PeerState {
  std::string node, incarnation;
  bool has_state_store = false;  // its lease at the state service is in force
  bool synced = false;
  double backlog = 0;  // records waiting to be written
  std::vector<int> shards;
  std::vector<std::string>
      machines_heard;              // machines heard from lately; the sender's own may be left out
  std::vector<std::string> nodes;  // controllers heard from lately
  double at = 0;                   // time of day when it was said
  // Absent from controllers of the version before: the cautious answer follows.
  uint64_t revision = 0;  // that its state cache has reached
  std::optional<double>
      current_age_s;  // since its state cache was last proven current; none: never
  std::optional<CancellationPosition>
      acknowledged;  // asking: what is known here of the asked one's cancellations
  std::optional<CancellationOffer> offered_cancellations;  // answering
  std::string version;                                     // of its program, for operators
  uint64_t record_format = 0;                              // the newest that it reads
  std::optional<double>
      budget_need;  // of the budget of puts at the state service, as a part of the whole
};

// ---- commands ----
struct SubmitJob {
  RequestId request = 0;
  store::JobSpec spec;
};
struct QueryJob {
  RequestId request = 0;
  std::string id;
};
struct CancelJob {
  RequestId request = 0;
  std::string id;
};
struct CheckHealth {
  RequestId request = 0;
};
struct ShowStats {
  RequestId request = 0;
};
struct HandleHeartbeat {
  RequestId request = 0;
  Heartbeat heartbeat;
};
/// A report that another controller got from a worker that can't reach us.
struct HandleForwardedHeartbeat {
  RequestId request = 0;
  Heartbeat heartbeat;
};
struct HandlePeerState {
  RequestId request = 0;
  PeerState state;
};
struct Tick {};

struct TxnReply {
  uint64_t revision = 0;
  std::vector<std::string> failed;
};
struct KeyReply {
  std::optional<store::Change> entry;
  uint64_t revision = 0;
};
struct ListKeysReply {
  std::vector<store::Change> entries;
  bool more = false;
  uint64_t revision = 0;
};
struct LeaseReply {
  uint64_t lease = 0;
};
struct WatchReply {
  uint64_t revision = 0;
  std::vector<store::Change> events;
};
struct MachineTypesReply {
  std::vector<store::MachineType> types;
};
struct ProvisionReply {
  std::vector<std::string> machines;
};
struct ListMachinesReply {
  std::vector<CloudMachine> machines;
  bool more = false;
};
struct HeartbeatResponse {  // what the leader of a shard answers to a worker
  int status = 503;
  uint64_t fencing_token = 0;
  std::vector<WorkerCommand> commands;
  std::string redirect;  // with 421: node to go to, may be empty
};
using Reply = std::variant<std::monostate, TxnReply, KeyReply, ListKeysReply, LeaseReply,
                           WatchReply, MachineTypesReply, ProvisionReply, ListMachinesReply,
                           Heartbeat, PeerState, HeartbeatResponse>;

/// status 0: no answer, outcome unknown. A 2xx whose body can't be read counts as 0 too.
struct CallDone {
  CallId call = 0;
  int status = 0;
  Reply reply;
};

using Command =
    std::variant<SubmitJob, QueryJob, CancelJob, CheckHealth, ShowStats, HandleHeartbeat,
                 HandleForwardedHeartbeat, HandlePeerState, CallDone, Tick>;

// ---- effects ----
struct JobView {
  std::string id;
  store::JobStatus status = store::JobStatus::open;
  uint32_t done = 0, running = 0;
};
struct AnswerUser {
  RequestId request = 0;
  int status = 503;
  std::optional<JobView> job;
  double retry_after_s = 0;  // sent with 429 and 503
};
struct AnswerHeartbeat {
  RequestId request = 0;
  HeartbeatResponse reply;
};
struct AnswerForwardedHeartbeat {
  RequestId request = 0;
  HeartbeatResponse reply;
};
struct AnswerPeer {
  RequestId request = 0;
  PeerState state;
};
struct AnswerStats {
  RequestId request = 0;
  store::Json body;
};

struct Precondition {
  std::string key;
  uint64_t mod_revision = 0;
};
struct Write {
  std::string key;
  std::optional<store::Json> value;  // none: delete
  uint64_t lease = 0;
};
struct Txn {
  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
};
struct ReadKey {
  std::string key;
};
struct ListKeys {
  std::string prefix, after;
};
struct GrantLease {
  double ttl_s = 0;
};
struct RenewLease {
  uint64_t lease = 0;
};
struct Watch {
  uint64_t since = 0;
  double hold_s = 0;
};
struct ListMachineTypes {};
struct ProvisionMachines {
  std::string request, type, zone;
  bool spot = false;
  int count = 0;
};
struct DeleteMachines {
  std::vector<std::string> machines;
};
struct ListMachines {
  std::string after;
};
struct PushCommands {
  std::string address;
  uint64_t fencing_token = 0, agent_epoch = 0;
  std::vector<WorkerCommand> commands;
};
struct SendPeerState {
  std::string address;
  PeerState state;
};
struct ForwardHeartbeat {
  std::string address;
  Heartbeat heartbeat;
};
using CallBody = std::variant<Txn, ReadKey, ListKeys, GrantLease, RenewLease, Watch,
                              ListMachineTypes, ProvisionMachines, DeleteMachines, ListMachines,
                              PushCommands, SendPeerState, ForwardHeartbeat>;
struct Call {
  CallId id = 0;
  double timeout_s = 0;
  CallBody body;
};
struct LogLine {
  enum class Level { error, info, debug } level = Level::error;
  std::string text;
};

using Effect = std::variant<AnswerUser, AnswerHeartbeat, AnswerForwardedHeartbeat, AnswerPeer,
                            AnswerStats, Call, LogLine>;

}  // namespace rushtrestle::coordination
