// Deterministic simulation of a cluster: real controllers with a simulated state store, cloud,
// workers, users and network. Every step checks the rules of the protocol.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/core.h"
#include "simulation/fake_state_store.h"
#include "simulation/simulated_controller.h"

namespace rushtrestle::testing {

using namespace coordination;
using store::Json;

/// Returns the name of a simulated controller, which is also its address.
inline std::string node_name(int node_index) { return "node-" + std::to_string(node_index); }

class ClusterSimulation {
 public:
  struct Options {
    uint64_t seed = 1;                       // of all random numbers
    int nodes = 3;                           // controllers
    bool trace = false;                      // prints the controllers' log lines to stderr
    double requeue_delay_s = 60;             // operator setting of that name
    std::vector<store::MachineType> types;   // default: a small and a GPU type in two zones
    std::map<std::string, int> capacity;     // machines by type, per zone and spot or on-demand
    std::vector<store::TeamSettings> teams;  // default: red and blue
    double cloud_rps = 8;                    // cloud requests per second
    bool boot_failures = true;               // one machine in 20 never boots
    double run_factor = 1;                   // real run time of a task, as a multiple of estimate_s
    double runtime_increase_per_task = 0;    // task n runs (1 + n * this value) times as long
    bool consolidate = true;                 // operator setting of that name
    double state_rps = 60;                   // state store requests per second
    double state_write_rps = 20;             // puts and deletes per second
    double heartbeat_interval_s = 2;         // average time between a worker's heartbeats
    double lease_s = 14;      // time without a renewal after which a worker kills its tasks
    double cancel_s = 39;     // a cancelled task has ended this long after the confirmation
    double gang_wait_s = 50;  // a gang's task waits this long for the other tasks
    double gang_peer_s = 8;   // a gang's task stops this long after another task is gone
    std::optional<std::pair<double, int>> next_limits;  // announced value_kb and txn_ops
    double next_write_rps = 0;  // announced puts and deletes per second; 0: none announced
    std::map<int, ControllerVersion> versions;  // of controllers that start with an earlier version
    double step_s = 0.25;                       // interval at which a worker advances its tasks
    size_t state_page_entries = 7;              // entries per page of a state store listing
    // Peer states from and to these nodes lack the fields that the previous version does not know.
    std::set<int> nodes_without_new_peer_fields;
    double memory_in_use_mb = 0;  // per controller, of 56 MB
    size_t largest_reply = 0;     // bytes of a watch reply that a controller reads; 0: no limit
    // Sockets of a controller. A fixed share of them limits its own calls in flight.
    int max_connections = 800;
  };
  explicit ClusterSimulation(Options options);

  // ---- Running the simulation. Times are seconds since its start. ----
  void run_until(double time_s);
  double now() const { return now_; }
  /// Schedules a function; a time in the past means now.
  void at(double time_s, std::function<void()> fn);
  /// Submits a job through a random node; the submission and then the polls are repeated.
  void submit(const store::JobSpec& spec, double at_s);
  /// Cancels a job if it has been accepted by then; kAnyNode picks a random node.
  void cancel(const std::string& id, double at_s, int node = kAnyNode);
  /// Each second, a user submits a job of which one text is not UTF-8, in the form on the wire, to
  /// each controller. Every answer has to be 400.
  void submit_malformed_jobs(double for_s);
  /// Writes a key of the state store, as an operator could.
  void write_key(const std::string& key, Json value) { state_.preset(key, std::move(value)); }
  /// Queries one node once, in addition to the users' polls.
  void query_job(const std::string& id, double at_s, int node);
  static constexpr int kAnyNode = -1;

  // ---- Faults. `for_s` is the duration in seconds. `hold` delays messages until the cut ends
  // instead of losing them. `machine_index` selects a running machine, modulo their number. ----
  /// Kills a controller; it restarts after `back_after_s`.
  void kill_node(int node_index, double back_after_s);
  /// Kills a controller that comes back with another version.
  void replace_node(int node_index, ControllerVersion version, double back_after_s);
  ControllerVersion version_of(int node_index) const {
    return nodes_.at(static_cast<size_t>(node_index)).version;
  }
  /// The state store answers 503 to all controllers, expires no lease and renews all at the end.
  void state_outage(double for_s);
  /// The state store answers 503 to this controller only.
  void refuse_state(int node, double for_s);
  /// Each transaction gets 429 with a probability of one half.
  void throttle_state(double for_s);
  /// Lowers the limits to the announced ones, which the controllers' settings contain from the
  /// start.
  void lower_state_limits();
  void lower_state_limits(double value_kb, int txn_ops);
  /// Lowers the write rate to the announced one.
  void lower_write_rate();
  /// One request in four, at random, takes 3 s longer. Watches are not delayed.
  void slow_state(double for_s);
  /// Cuts the link between two participants; "*" stands for all.
  void cut(const std::string& from, const std::string& to, double for_s, bool hold,
           bool one_way = false);
  /// Kills a machine; it stays in the cloud's list.
  void kill_machine(size_t machine_index);
  /// Kills all running machines of a zone.
  void kill_zone(const std::string& zone);
  /// Tasks that start on a machine that has a task of the job exit with an error.
  void fail_tasks_on_machine_of(const std::string& job, double for_s);
  /// The tasks of the job exit with an error on every machine.
  void fail_all_tasks_of(const std::string& job) { jobs_.at(job).tasks_always_fail = true; }
  /// Returns the controller that holds the shard of the job's team.
  std::optional<int> shard_holder_of(const std::string& job) const;
  /// Kills the controller that holds the shard of the job's team, if there is one.
  void kill_shard_holder_of(const std::string& job, double back_after_s);
  /// Cuts the nth machine that has a task of the job off from all.
  void cut_machine_of(const std::string& job, size_t nth, double for_s);
  /// Kills a machine that has a task of the job.
  void kill_machine_of(const std::string& job);
  /// The cloud reclaims a machine that has a task of the job, with this notice.
  void reclaim_machine_of(const std::string& job, double notice_s);
  /// A machine stops and continues later with the direct commands that have arrived meanwhile.
  void hang_machine(size_t machine_index, double for_s);
  /// Tasks that start on the machine exit with an error.
  void fail_tasks_on_machine(size_t machine_index, double for_s);
  /// The machine refuses starts for want of room.
  void refuse_starts_on_machine(size_t machine_index, double for_s);
  /// Cuts a machine off from all; `only_inbound` leaves its own messages through.
  void cut_machine(size_t machine_index, double for_s, bool hold, bool only_inbound);
  /// Cuts a controller off from all.
  void cut_node(int node_index, double for_s, bool hold);
  /// Cuts one controller off from all present machines.
  void cut_workers(int node_index, double for_s, bool hold);
  /// A controller processes nothing while its clocks advance; its commands wait in the queue.
  void freeze_node(int node_index, double for_s);
  /// A controller gets so little CPU time that each batch of at most 12 commands takes `batch_s`.
  /// The other commands wait, and the effects of a batch leave at its end.
  void starve_node(int node_index, double for_s, double batch_s);
  /// Adds up to `delay_s` to each message.
  void slow_links(double for_s, double delay_s);
  /// Cuts a zone's machines and `nodes_inside` off from everything outside, including the state
  /// store, the cloud and the users. Links inside the zone stay up.
  void cut_zone(const std::string& zone, const std::set<int>& nodes_inside, double for_s,
                bool hold);
  /// A copy of each heartbeat arrives `delay_s` later.
  void duplicate_heartbeats(double for_s, double delay_s);
  /// Records heartbeats, and delivers copies to all controllers when a controller next acquires a
  /// shard or the leadership.
  void replay_heartbeats_to_new_holders(double for_s);
  /// A machine with a task of the job sends this node one heartbeat with a gang's state and with
  /// attempts that no controller has started.
  void report_invalid_tasks(const std::string& job, int node);
  /// This share of transactions gets no answer. They are applied at once, or 2 to 12 s later.
  void lose_transaction_answers(double for_s, double share, bool at_once);
  /// A copy of this share of the controllers' requests arrives again, unchanged, after a delay
  /// drawn from the range: commands to workers, transactions, leases, rentals, deletions and
  /// messages to other controllers. Nobody gets the answers to the copies.
  struct DelayRange {
    double min_s, max_s;
  };
  void repeat_requests(double for_s, double share, DelayRange delay);
  /// The machine's heartbeats are lost; direct commands reach it and are answered.
  void block_heartbeats(size_t machine_index, double for_s);
  /// Users cancel up to `count` running jobs at once. If `hang_s` is positive, one machine of each
  /// hangs.
  void cancel_running_jobs(size_t count, double hang_s);
  /// This share of the jobs that complete is cancelled within 0.1 s of the completion.
  void cancel_jobs_at_completion(double for_s, double share);
  /// When a user first learns that a job is accepted, done or cancelled, every node gets three
  /// queries and a repeated submission within 20 ms. Half of the done jobs are also cancelled.
  void query_after_status_changes(double for_s);

  // ---- Observations ----
  std::vector<std::string> violations;  // of the rules, each with its time in seconds
  /// Returns the number of task starts on workers, of all jobs.
  size_t task_starts() const { return task_starts_; }
  /// Returns the number of task starts of jobs whose cancellation had been confirmed.
  size_t starts_after_cancellation() const { return starts_after_cancellation_; }
  /// Returns the number of ended tasks that workers still report.
  size_t ended_tasks_reported() const;
  /// Returns the number of running tasks of the job.
  size_t running(const std::string& job) const;
  /// Returns the status in the last answer to a query: open, done or cancelled.
  std::optional<std::string> last_reported_status(const std::string& job) const;
  /// Whether any answer of any node has said that the job is cancelled.
  bool cancellation_confirmed(const std::string& job) const;
  /// Whether a submission of the job has been answered with 200 or 201.
  bool accepted(const std::string& job) const;
  /// Whether a submission of the job has been answered with 400 or 422.
  bool permanently_rejected(const std::string& job) const {
    return jobs_.at(job).permanently_rejected;
  }
  /// Whether a user has sent a cancellation, answered or not.
  bool cancelled_by_user(const std::string& job) const;
  /// Returns the number of machines that have booted and are not dead.
  size_t machines_up() const;
  /// Totals of all controllers since the start.
  struct Counters {
    size_t cloud_calls = 0;
    size_t state_requests = 0;          // that were neither refused nor throttled, without watches
    size_t writes = 0;                  // puts and deletes in transactions
    size_t worker_messages = 0;         // sent to workers
    size_t peer_messages = 0;           // peer states that reached a running controller
    size_t machine_contacts_sent = 0;   // machines_heard entries of peer messages
    size_t retry_later_answers = 0;     // 503 answers to users
    size_t job_writes = 0;              // writes of job records
    size_t batches_processed = 0;       // batches of commands
    size_t bytes_written = 0;           // JSON values in transactions, in bytes
    size_t calls_without_socket = 0;    // calls that failed for want of a free socket
    size_t max_commands_in_flight = 0;  // to workers, by one controller
    size_t malformed_submissions = 0;   // that were answered with 400
  };
  const Counters& counters() const { return counters_; }
  /// Returns the settings that all controllers share.
  const store::Settings& settings() const { return settings_; }
  /// Returns the number of task starts of the job, in all attempts.
  uint64_t starts_of(const std::string& job) const;
  /// Returns the number of task starts with this attempt number.
  uint64_t starts_in_attempt(const std::string& job, uint64_t attempt) const;
  /// Returns the number of placed tasks in the stored job record.
  size_t placed_tasks(const std::string& job) const;
  /// Returns the number of tasks that wait for the other tasks of their gang.
  size_t tasks_waiting_for_gang(const std::string& job) const;
  /// Returns the progress, in seconds, that the gang's next attempt starts from.
  double checkpointed_progress_s(const std::string& gang) const {
    return jobs_.at(gang).checkpointed;
  }
  /// Returns the value of a key in the state store; null: no such key.
  const Json* stored_value(const std::string& key) const;
  /// Returns the body of `/stats` of a running controller.
  Json stats_of(int node);

 private:
  struct Node {
    std::string name;
    std::unique_ptr<SimulatedController> core;  // null while the controller is down
    ControllerVersion version = ControllerVersion::current;
    std::deque<Command> commands;  // not yet processed
    bool alive = false;
    bool scheduled = false;    // a call of process() is due at the current time
    int generation = 0;        // increases with each start and each kill
    uint64_t tick_serial = 0;  // of the latest scheduled tick; older ones are ignored
    double wall_offset = 0;    // of the wall clock from the simulation's time, in seconds
    double drift = 1;          // steady clock seconds per simulated second
    double frozen_until = 0, starved_until = 0;   // times in seconds
    double batch_s = 0;                           // duration of a batch while the node is starved
    std::set<CallId> calls, commands_to_workers;  // in flight; each occupies a socket
  };
  struct Task {
    ReportedTask reported;    // as the heartbeats have it
    double remaining = 0;     // run time left, in seconds
    double fetch_until = 0;   // time at which its image has been fetched
    double last_step = 0;     // time of the last update of `remaining`, or of the start of the save
    double gathered_at = -1;  // time at which a gang's task had its image and began to wait
    double peer_missing_since = -1;  // time at which a missing gang member was first detected
  };
  struct Worker {
    std::string id, type, zone, address;
    bool spot = false;
    double created = 0, up_at = 0;  // times of the rental and of the end of the boot
    enum class Phase { booting, up, dead } phase = Phase::booting;
    std::optional<double> reclaimed_at;  // time at which the cloud deletes it
    double hang_until = 0, tasks_fail_until = 0, heartbeats_blocked_until = 0;  // times
    double refuses_starts_until = 0;
    uint64_t agent_epoch = 1;    // increases when its lease ends
    uint64_t sequence = 0;       // of its last heartbeat or command reply
    uint64_t fencing_token = 0;  // largest seen
    std::map<std::pair<std::string, uint32_t>, Task> tasks;  // by job and task number
    double lease_renewed_at = 0;            // time at which the last answered heartbeat was sent
    size_t target = 0;                      // index of the controller that gets its heartbeats
    bool reporting = false;                 // a heartbeat is unanswered
    double next_report = 0, last_sent = 0;  // times of heartbeats
    uint64_t report_serial = 0;             // of the last heartbeat; older answers are ignored
    std::set<std::string> images;           // fetched images
    // Attempts that ran and were forgotten in this agent epoch: job, task number, attempt.
    std::set<std::tuple<std::string, uint32_t, uint64_t>> forgotten;
  };
  struct Job {
    store::JobSpec spec;
    bool permanently_rejected = false;
    bool tasks_always_fail = false;
    // What users have done and what answers have told them.
    bool submitted = false, accepted = false, user_cancelled = false,
         cancellation_confirmed = false, completion_reported = false;
    double cancellation_confirmed_at = 0, first_submit = 0;  // times in seconds
    std::optional<std::string> last_reported;                // status in the last query answer
    uint64_t starts = 0;
    std::map<uint64_t, uint64_t> starts_by_attempt;
    std::set<uint32_t> completed;  // task numbers
    // Gangs: progress of the current attempt in seconds, the part of it that is checkpointed, and
    // the time of the first stop command of the attempt (-1: none).
    double progress = 0, checkpointed = 0, progress_updated_at = 0, first_stop_at = -1;
    // Tasks of a gang that got their stop commands within gang_peer_s of the first.
    std::set<uint32_t> tasks_asked_to_stop;
  };
  struct Cut {
    std::string from, to;  // "*": all
    double until;          // time at which the cut ends
    bool hold;             // messages arrive after the end instead of being lost
  };

  void schedule_tick(int node_index, double after_s);
  void start_node(int node_index);
  void deliver(int node_index, Command command);
  void process(int node_index);
  void apply_effect(int node_index, Effect&& effect);
  using AnswerCallback = std::function<void(const std::string& from, CallDone&& answer)>;
  /// Delivers to a controller unless it has ended or restarted since.
  void deliver_to(int node_index, int generation, CallDone&& done);
  void dispatch_call(int node_index, int generation, Call&& call);
  void repeat_later(int node_index, const Call& call);
  void route_call(int node_index, int generation, const Call& call, const AnswerCallback& answer);
  void call_worker(int node_index, const Call& call, const AnswerCallback& answer_back);
  void call_peer(int node_index, int generation, const Call& call);
  void call_state_store(int node_index, const Call& call, const AnswerCallback& answer_back);
  bool take_socket(Node& node, const Call& call);
  void start_call(int node_index, Call&& call);
  CallDone handle_state_call(int node_index, const Call& call);
  void check_value_sizes(const Txn& transaction);
  void watch(int node_index, int generation, const Call& call, double deadline);
  CallDone handle_cloud_call(const Call& call);
  void rent_machines(const ProvisionMachines& request, CallDone& done);
  CallDone handle_worker_call(const std::string& id, const Call& call);
  // Returns the delay in seconds until a message arrives; nullopt: the message is lost.
  std::optional<double> delivery_delay(const std::string& from, const std::string& to);
  void answer_peer(const std::string& from, RequestId request, Reply reply);
  void clear_new_peer_fields(PeerState& state, int from, int to) const;
  void send(const std::string& from, const std::string& to, std::function<void()> arrive);

  void worker_step(const std::string& id);
  void worker_report(const std::string& id);
  Heartbeat snapshot(Worker& worker);
  void execute(Worker& worker, const std::vector<WorkerCommand>& commands);
  void start_task(Worker& worker, const WorkerCommand& command);
  void stop_task(Task& task, const WorkerCommand& command);
  static void forget_task(Worker& worker, const WorkerCommand& command);
  void advance(Worker& worker);
  void end_lease(Worker& worker);
  using TaskKey = std::pair<std::string, uint32_t>;
  void advance_fetching(Worker& worker, const TaskKey& key, Task& task);
  void advance_running(const TaskKey& key, Task& task);
  void advance_saving(const TaskKey& key, Task& task);
  // A task of a gang's attempt and whether its machine hangs.
  struct Member {
    Task* task = nullptr;
    bool hangs = false;
  };
  using Attempt = std::map<uint32_t, Member>;
  void advance_gangs();
  void advance_attempt(Job& job, Attempt& members);
  void progress_gang(Job& job, Attempt& members);
  void detect_missing_peers(const Job& job, const Attempt& members, Member& observer);
  static void exit_task(Member& member, ExitCause cause);
  static bool occupies_machine(const Task& task) {
    return task.reported.state == TaskState::running || task.reported.state == TaskState::saving ||
           (task.reported.state == TaskState::fetching && task.gathered_at >= 0);
  }
  void expire_leases();
  void replay_recorded_heartbeats(const std::string& key);
  Worker* pick_worker(size_t machine_index);
  Worker* worker_of(const std::string& job, size_t nth);
  void user_submit(const std::string& id, int tries);
  void user_poll(const std::string& id);
  void user_query(const std::string& id, int node, const std::function<void()>& then);
  void user_cancel(const std::string& id, int tries, int node);
  void record_cancellation(Job& job);
  void query_all_nodes(const std::string& id);
  void repeat_submission(const std::string& id, int node);
  void submit_malformed_job(int node);
  void cancel_by_user(const std::string& id);
  void send_user_request(int node, const std::function<Command(RequestId)>& make,
                         const std::function<void(std::optional<AnswerUser>)>& then);
  void check_rules();
  void check_cancelled(const Worker& worker);
  void count_usage(const Worker& worker);
  void forget_usage(const std::string& machine);
  void check_quotas();
  void recheck_quotas(const Worker& worker);
  void check_start(const Worker& worker, const std::string& job_id, uint32_t task_number,
                   uint64_t attempt);
  void fail(const std::string& what);

  Options options_;
  store::Settings settings_;
  std::vector<store::MachineType> types_;
  std::mt19937_64 rng_;
  double now_ = 0;       // seconds since the start
  uint64_t serial_ = 0;  // of the last scheduled event; orders events of the same time
  std::map<std::pair<double, uint64_t>, std::function<void()>> events_;  // by time and serial
  std::vector<Node> nodes_;
  FakeStateStore state_;
  // Ends of the state store's faults, as times in seconds.
  double outage_until_ = 0, throttled_until_ = 0, slow_until_ = 0;
  std::map<int, double> refused_until_;    // by node
  std::map<std::string, Worker> workers_;  // by machine
  // Machines by the key of the rental request, so that a repeated request rents nothing.
  std::map<std::string, std::vector<std::string>> rentals_by_request_;
  uint64_t next_machine_ = 1;  // number in the next machine's name
  std::map<std::string, Job> jobs_;
  std::vector<Cut> cuts_;
  // Duplicated and recorded heartbeats: ends of the faults as times, and the delay of a copy.
  double duplicates_until_ = 0, duplicate_delay_s_ = 0, record_until_ = 0;
  std::vector<std::function<void()>> recorded_deliveries_;
  static constexpr std::pair<double, int> kInitialLimits{4, 8};  // value_kb and txn_ops
  double slow_links_until_ = 0, link_delay_s_ = 0;               // link_delay_s_: largest delay
  // Lost transaction answers and cancellations at completion: ends as times, and shares from 0
  // to 1.
  double unanswered_until_ = 0, unanswered_share_ = 0;
  bool unanswered_at_once_ = false;
  double repeats_until_ = 0, repeated_share_ = 0;  // repeated requests: end as a time, and share
  DelayRange repeat_delay_{};
  double cancel_at_completion_until_ = 0, cancel_at_completion_share_ = 0, extra_queries_until_ = 0;
  // Requests in flight, by request id: from users, workers and other controllers.
  struct Waiting {
    std::function<void(std::optional<AnswerUser>)> then;
  };
  std::map<RequestId, Waiting> user_waiting_;
  struct ReportWaiting {
    std::string worker;
    uint64_t agent_epoch = 0;
    uint64_t serial = 0;  // report_serial of the heartbeat
    int node = 0;         // controller that it was sent to
  };
  std::map<RequestId, ReportWaiting> report_waiting_;
  struct PeerWaiting {
    int node, generation;  // controller that waits for the answer
    CallId call;
  };
  std::map<RequestId, PeerWaiting> peer_waiting_;
  RequestId next_request_ = 1;
  size_t task_starts_ = 0, starts_after_cancellation_ = 0;
  // Indexes for the rule checks, updated incrementally. Scanning all machines in each step of each
  // machine takes quadratic time, which is too slow for thousands of machines.
  std::map<std::string, std::set<std::string>>
      machines_of_job_;  // all that ever got a start command for a task of the job
  using Usage = std::map<std::string, store::Resources>;  // by team
  std::map<std::string, Usage> usage_by_machine_;
  Usage usage_;
  double next_full_check_ = 0;  // time of the next check of all machines, in seconds
  bool has_gangs_ = false;      // a gang has been submitted
  Counters counters_;
};

}  // namespace rushtrestle::testing
