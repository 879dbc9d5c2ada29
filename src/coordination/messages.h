// What goes into the core (commands) and what comes out (effects), in plain types.
// The wire's words are known to protocol alone.
#pragma once
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "store/model.h"

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
  bool gathering = false;  // fetched, and waits for the others of its gang; not told between controllers
};

struct WorkerReport {
  std::string machine, address, type, zone;
  bool spot = false;
  uint64_t session = 0, seq = 0, token = 0;
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

/// How far the cancellations that a controller's model holds are known elsewhere.
struct HandoverMark {
  std::string incarnation;  // whose cancellations
  uint64_t upto = 0;        // so many of them, in its order
};
/// Cancellations that a controller's model holds, from `from` on, but for those that the asker's model covers.
struct Handover {
  HandoverMark mark;
  uint64_t from = 0;
  bool whole = false;  // nothing is left
  std::vector<store::Cancellation> cancellations;
};

/// What controllers tell each other, about once a second.
struct PeerState {
  std::string node, incarnation;
  bool has_state = false;  // its lease at the state service is in force
  bool synced = false;
  double backlog = 0;  // records waiting to be written
  std::vector<int> parts;
  std::vector<std::string> heard;  // machines heard from lately; the sender's own may be left out
  std::vector<std::string> nodes;  // controllers heard from lately
  double at = 0;                   // time of day when it was said
  // Absent from controllers of the version before: the cautious answer follows.
  uint64_t revision = 0;                // that its model has reached
  std::optional<double> current_age_s;  // since its model was last proven current; none: never
  std::optional<HandoverMark> has;      // asking: what is known here of the asked one's cancellations
  std::optional<Handover> handover;     // answering
  std::string version;                  // of its program, for operators
  uint64_t record_format = 0;           // the newest that it reads
  std::optional<double> budget_need;    // of the budget of puts at the state service, as a part of the whole
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
struct TakeReport {
  RequestId request = 0;
  WorkerReport report;
};
/// A report that another controller got from a worker that can't reach us.
struct TakeRelayedReport {
  RequestId request = 0;
  WorkerReport report;
};
struct TakePeerState {
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
struct PageReply {
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
struct TypesReply {
  std::vector<store::MachineType> types;
};
struct RentReply {
  std::vector<std::string> machines;
};
struct ListReply {
  std::vector<CloudMachine> machines;
  bool more = false;
};
struct ReportReply {  // what the holder of a part answers to a worker
  int status = 503;
  uint64_t token = 0;
  std::vector<WorkerCommand> commands;
  std::string redirect;  // with 421: node to go to, may be empty
};
using Reply = std::variant<std::monostate, TxnReply, KeyReply, PageReply, LeaseReply, WatchReply, TypesReply, RentReply,
                           ListReply, WorkerReport, PeerState, ReportReply>;

/// status 0: no answer, outcome unknown. A 2xx whose body can't be read counts as 0 too.
struct CallDone {
  CallId call = 0;
  int status = 0;
  Reply reply;
};

using Command = std::variant<SubmitJob, QueryJob, CancelJob, CheckHealth, ShowStats, TakeReport, TakeRelayedReport,
                             TakePeerState, CallDone, Tick>;

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
struct AnswerReport {
  RequestId request = 0;
  ReportReply reply;
};
struct AnswerRelayedReport {
  RequestId request = 0;
  ReportReply reply;
};
struct AnswerPeer {
  RequestId request = 0;
  PeerState state;
};
struct AnswerStats {
  RequestId request = 0;
  store::Json body;
};

struct Condition {
  std::string key;
  uint64_t stamp = 0;
};
struct Write {
  std::string key;
  std::optional<store::Json> value;  // none: delete
  uint64_t lease = 0;
};
struct Txn {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};
struct ReadKey {
  std::string key;
};
struct ReadPage {
  std::string prefix, after;
};
struct GrantLease {
  double ttl_s = 0;
};
struct ExtendLease {
  uint64_t lease = 0;
};
struct Watch {
  uint64_t since = 0;
  double hold_s = 0;
};
struct GetTypes {};
struct RentMachines {
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
struct CommandWorker {
  std::string address;
  uint64_t token = 0, session = 0;
  std::vector<WorkerCommand> commands;
};
struct TellPeer {
  std::string address;
  PeerState state;
};
struct RelayReport {
  std::string address;
  WorkerReport report;
};
using CallBody = std::variant<Txn, ReadKey, ReadPage, GrantLease, ExtendLease, Watch, GetTypes, RentMachines, DeleteMachines,
                              ListMachines, CommandWorker, TellPeer, RelayReport>;
struct Call {
  CallId id = 0;
  double timeout_s = 0;
  CallBody body;
};
struct LogLine {
  enum class Level { error, info, debug } level = Level::error;
  std::string text;
};

using Effect = std::variant<AnswerUser, AnswerReport, AnswerRelayedReport, AnswerPeer, AnswerStats, Call, LogLine>;

}  // namespace rushtrestle::coordination
