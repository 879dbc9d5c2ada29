// Stand-ins of state service, cloud, workers, users and network for the core, in one
// deterministic simulation that checks the protocol's rules at every step.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/core.h"
#include "simulation/fake_state_store.h"
#include "simulation/simulated_controller.h"

namespace rushtrestle::testing {

using namespace coordination;
using store::Json;

/// The name of a simulated controller; its address is the same.
inline std::string node_name(int n) { return "node-" + std::to_string(n); }

class ClusterSimulation {
 public:
  struct Options {
    uint64_t seed = 1;
    int nodes = 3;
    bool trace = false;
    double requeue_delay_s = 60;
    std::vector<store::MachineType> types;   // default: a small and a GPU type in two zones
    std::map<std::string, int> capacity;     // by type, per zone and kind
    std::vector<store::TeamSettings> teams;  // default: red and blue
    double cloud_rps = 8;
    bool boot_failures = true;
    double run_factor = 1;  // how long tasks really run, in times their estimate
    double uneven = 0;      // task n so many times that n longer
    bool consolidate = true;
    double state_rps = 60, state_write_rps = 20;
    double heartbeat_interval_s = 2, lease_s = 14, cancel_s = 39, gang_wait_s = 50, gang_peer_s = 8;
    std::optional<std::pair<double, int>> next_limits;  // value_kb and txn_ops
    double next_write_rps = 0;
    std::map<int, ControllerVersion>
        versions;          // of controllers that don't start with the current one
    double step_s = 0.25;  // between two looks of a worker at its tasks and the clock
    size_t page = 7;       // of the state service
    // Nodes whose words to the others are those of the version before: fields that it does not know
    // are neither sent nor understood.
    std::set<int> words_of_before;
    double memory_in_use_mb = 0;  // by each controller, of 56
    int max_connections = 800;  // sockets of a controller; of these, those for its own calls bound
                                // the calls under way
  };
  explicit ClusterSimulation(Options options);

  // ---- play ----
  void run_until(double t);
  double now() const { return now_; }
  void at(double t, std::function<void()> fn);
  void submit(const store::JobSpec& spec, double at_s);
  void cancel(const std::string& id, double at_s, int node = kAnyNode);
  /// Asks one node, once, beside the polls.
  void ask(const std::string& id, double at_s, int node);
  static constexpr int kAnyNode = -1;

  // ---- troubles ----
  void kill_node(int n, double back_after_s);
  /// Kills a controller that comes back with another version.
  void replace_node(int n, ControllerVersion version, double back_after_s);
  ControllerVersion version_of(int n) const { return nodes_.at(static_cast<size_t>(n)).version; }
  void state_outage(double for_s);
  void refuse_state(int node, double for_s);  // only this node is refused
  void limit_state(double for_s);             // every second transaction gets 429
  // The limits fall to those announced, which the controllers' settings have held from the start.
  void lower_state_limits();
  void lower_state_limits(double value_kb, int txn_ops);
  void lower_write_rate();
  void slow_state(double for_s);  // one request in four takes seconds
  void cut(const std::string& a, const std::string& b, double for_s, bool hold,
           bool one_way = false);
  void kill_machine(size_t select_slot);
  void kill_zone(const std::string& zone);  // all its machines that are up
  void sicken_machine_of(const std::string& job, double for_s);
  void break_job(const std::string& job) {
    jobs_.at(job).broken = true;
  }  // its tasks fail on every machine
  // The controller that holds the part of the job's team.
  std::optional<int> owner_of(const std::string& job) const;
  void kill_owner_of(const std::string& job, double back_after_s);
  void cut_machine_of(const std::string& job, size_t nth, double for_s);
  void kill_machine_of(const std::string& job);                   // one that has a task of it
  void take_machine_of(const std::string& job, double notice_s);  // the cloud takes it back
  void hang_machine(size_t select_slot, double for_s);
  void sick_machine(size_t select_slot, double for_s);
  void cut_machine(size_t select_slot, double for_s, bool hold, bool only_inbound);
  void cut_node(int n, double for_s, bool hold);
  void cut_workers(int n, double for_s, bool hold);  // all that are up, from this node alone
  // A node stands still while its clocks run on; what has come to it waits.
  void freeze_node(int n, double for_s);
  // A node gets so little processor time that each batch of a few commands takes so long: the
  // others wait unread, and what it decides leaves at the end of that.
  void starve_node(int n, double for_s, double batch_s);
  void slow_links(double for_s, double delay_s);  // between all
  // From everything outside, state service, cloud and users included; inside, all goes on.
  void cut_zone(const std::string& zone, const std::set<int>& nodes_inside, double for_s,
                bool hold);
  void delay_report_copies(double for_s, double late_s);
  // Copies of reports wait for the next controller that gets a part or leads, and then come to all.
  void keep_report_copies(double for_s);
  // A machine with a task of the job tells this node, once, of a gang's state and of attempts that
  // nobody gave.
  void report_nonsense(const std::string& job, int node);
  // That share of transactions gets no answer; carried out at once, or 2 to 12 s later.
  void unanswered_writes(double for_s, double share, bool at_once);
  // Reaches no controller, while direct commands reach it and are answered.
  void mute_machine(size_t select_slot, double for_s);
  // Users call off that many jobs that run, all at once; machines of theirs hang.
  void cancel_some_now(size_t count, double hang_s);
  // That share of the jobs that end is called off at the moment of the end.
  void cancel_at_end(double for_s, double share);
  // After each answer that says accepted, done or cancelled, every node is asked within
  // milliseconds, and the submission is repeated; now and then a job that is done is called off,
  // and one is sent that fits nowhere.
  void close_looks(double for_s);

  // ---- what is seen ----
  std::vector<std::string> broken;  // rules, with the time
  size_t started() const { return started_; }
  size_t starts_after_cancellation() const { return starts_after_cancellation_; }
  size_t running(const std::string& job) const;
  std::optional<std::string> told(const std::string& job) const;  // last status a user was told
  bool cancel_told(const std::string& job) const;                 // by any node, in whatever answer
  bool accepted(const std::string& job) const;
  bool refused_for_good(const std::string& job) const { return jobs_.at(job).refused_for_good; }
  bool cancelled_by_user(const std::string& job) const;
  size_t machines_up() const;
  /// Work done so far, of all controllers together.
  struct Work {
    size_t cloud_calls = 0, state_requests = 0, writes = 0,
           worker_messages = 0;  // the last: sent to workers
    size_t peer_messages = 0, machines_named_to_peers = 0;
    size_t refusals = 0;       // of users, with a time to come back
    size_t job_writes = 0;     // of writes, those of job records
    size_t turns = 0;          // of controllers: batches of commands worked off
    size_t bytes_written = 0;  // values in transactions
    size_t calls_without_socket = 0;
    size_t most_commands_at_once = 0;  // to workers, by one controller
  };
  const Work& work() const { return work_; }
  const store::Settings& settings() const { return settings_; }
  uint64_t starts_of(const std::string& job) const;
  uint64_t starts_in_attempt(const std::string& job, uint64_t attempt) const;
  size_t placed(const std::string& job) const;     // by its record
  size_t gathering(const std::string& job) const;  // tasks that wait for the others of their gang
  double safe_progress(const std::string& gang) const { return jobs_.at(gang).safe; }
  const Json* stored(const std::string& key) const;
  /// The body of `/stats` of a controller that is up.
  Json stats_of(int node);

 private:
  struct Node {
    std::string name;
    std::unique_ptr<SimulatedController> core;
    ControllerVersion version = ControllerVersion::current;
    std::deque<Command> commands;
    bool alive = false, scheduled = false;
    int generation = 0;
    uint64_t tick_serial = 0;  // of the tick that counts
    double wall_offset = 0, drift = 1, frozen_until = 0;
    double starved_until = 0, batch_s = 0;
    std::set<CallId> calls, commands_to_workers;  // under way; each takes a socket
  };
  struct Task {
    ReportedTask reported;
    double remaining = 0, fetch_until = 0, last_step = 0;
    double gathered_at = -1;  // of a gang: has its image and waits for the others
    double noticed_at = -1;   // when it was seen first that a member is gone
  };
  struct Worker {
    std::string id, type, zone, address;
    bool spot = false;
    double created = 0, up_at = 0;
    enum class Phase { booting, up, dead } phase = Phase::booting;
    std::optional<double> taken_at;
    double hang_until = 0, sick_until = 0, mute_until = 0;
    uint64_t agent_epoch = 1, sequence = 0, fencing_token = 0;
    std::map<std::pair<std::string, uint32_t>, Task> tasks;
    double lease_from = 0;
    size_t target = 0;
    bool reporting = false;
    double next_report = 0, last_sent = 0;
    uint64_t report_serial = 0;
    std::set<std::string> images;
  };
  struct Job {
    store::JobSpec spec;
    bool refused_for_good = false;
    bool broken = false;
    bool submitted = false, accepted = false, user_cancelled = false, cancel_told = false,
         done_told = false;
    double cancel_told_at = 0, first_submit = 0;
    std::optional<std::string> last_told;
    uint64_t starts = 0;
    std::map<uint64_t, uint64_t> starts_by_attempt;
    std::set<uint32_t> completed;
    // Gangs: progress of the present attempt, what is safe of it, and the first stop of it.
    double progress = 0, safe = 0, progressed_at = 0, first_stop_at = -1;
    std::set<uint32_t> told_to_stop;
  };
  struct Cut {
    std::string from, to;
    double until;
    bool hold;
  };

  void schedule_tick(int n, double after_s);
  void start_node(int n);
  void deliver(int n, Command c);
  void process(int n);
  void carry_out(int n, Effect&& e);
  using AnswerBack = std::function<void(const std::string& from, CallDone&& answer)>;
  /// To a controller unless it has ended since.
  void deliver_to(int n, int generation, CallDone&& done);
  void perform(int n, int generation, Call&& call);
  void call_worker(int n, const Call& call, const AnswerBack& back);
  void call_peer(int n, int generation, const Call& call);
  void call_state_store(int n, const Call& call, const AnswerBack& back);
  bool take_socket(Node& node, const Call& c);
  void start_call(int n, Call&& c);
  CallDone at_state(int n, const Call& c);
  void check_value_sizes(const Txn& t);
  void watch(int n, int generation, const Call& c, double deadline);
  CallDone at_cloud(const Call& c);
  void rent_machines(const ProvisionMachines& r, CallDone& done);
  CallDone at_worker(const std::string& id, const Call& c);
  // Delay until a message arrives; nullopt: lost.
  std::optional<double> transit(const std::string& from, const std::string& to);
  void answer_peer(const std::string& from, RequestId request, Reply reply);
  void forget_new_words(PeerState& state, int from, int to) const;
  void send(const std::string& from, const std::string& to, std::function<void()> arrive);

  void worker_step(const std::string& id);
  void worker_report(const std::string& id);
  Heartbeat snapshot(Worker& w);
  void execute(Worker& w, const std::vector<WorkerCommand>& commands);
  void advance(Worker& w);
  void end_lease(Worker& w);
  using TaskKey = std::pair<std::string, uint32_t>;
  void fetch(Worker& w, const TaskKey& key, Task& t);
  void run(const TaskKey& key, Task& t);
  void save(const TaskKey& key, Task& t);
  // A task of a gang's attempt, as its worker has it.
  struct Member {
    Task* task = nullptr;
    bool hangs = false;
  };
  using Attempt = std::map<uint32_t, Member>;
  void advance_gangs();
  void advance_attempt(Job& j, Attempt& members);
  void progress_gang(Job& j, Attempt& members);
  void notice_peers(const Job& j, const Attempt& members, Member& m);
  static void leave(Member& m, ExitCause cause);
  static bool on_machine(const Task& t) {
    return t.reported.state == TaskState::running || t.reported.state == TaskState::saving ||
           (t.reported.state == TaskState::fetching && t.gathered_at >= 0);
  }
  void expire_leases();
  void send_kept_copies(const std::string& key);
  Worker* pick_worker(size_t select_slot);
  Worker* worker_of(const std::string& job, size_t nth);
  void user_submit(const std::string& id, int tries);
  void user_poll(const std::string& id);
  void user_query(const std::string& id, int node, const std::function<void()>& then);
  void user_cancel(const std::string& id, int tries, int node);
  void note_cancelled(Job& j);
  void look_closely(const std::string& id);
  void repeat_submission(const std::string& id, int node);
  void cancel_by_user(const std::string& id);
  void user_ask(int node, const std::function<Command(RequestId)>& make,
                const std::function<void(std::optional<AnswerUser>)>& then);
  void check_rules();
  void check_cancelled(const Worker& w);
  void count_usage(const Worker& w);
  void forget_usage(const std::string& machine);
  void check_quotas();
  void recheck_quotas(const Worker& w);
  void check_start(const Worker& w, const std::string& job, uint32_t task, uint64_t attempt);
  void fail(const std::string& what);

  Options options_;
  store::Settings settings_;
  std::vector<store::MachineType> types_;
  std::mt19937_64 rng_;
  double now_ = 0;
  uint64_t serial_ = 0;
  std::map<std::pair<double, uint64_t>, std::function<void()>> events_;
  std::vector<Node> nodes_;
  FakeStateStore state_;
  double outage_until_ = 0, limited_until_ = 0, slow_until_ = 0;
  std::map<int, double> refused_until_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::vector<std::string>> hires_;
  uint64_t next_machine_ = 1;
  std::map<std::string, Job> jobs_;
  std::vector<Cut> cuts_;
  double copies_until_ = 0, copies_late_ = 0, copies_kept_until_ = 0;
  std::vector<std::function<void()>> kept_copies_;
  static constexpr std::pair<double, int> kPresentLimits{4, 8};
  double slow_links_until_ = 0, link_delay_s_ = 0;
  double unanswered_until_ = 0, unanswered_share_ = 0;
  bool unanswered_at_once_ = false;
  double ends_until_ = 0, ends_share_ = 0, looks_until_ = 0;
  struct Waiting {
    std::function<void(std::optional<AnswerUser>)> then;
  };
  std::map<RequestId, Waiting> user_waiting_;
  struct ReportWaiting {
    std::string worker;
    uint64_t agent_epoch = 0;
    uint64_t serial = 0;
    int node = 0;
  };
  std::map<RequestId, ReportWaiting> report_waiting_;
  struct PeerWaiting {
    int node, generation;
    CallId call;
  };
  std::map<RequestId, PeerWaiting> peer_waiting_;
  RequestId next_request_ = 1;
  size_t started_ = 0, starts_after_cancellation_ = 0;
  // What the rules need of each task, kept up to date: with all machines looked at in each step of
  // each machine, a world of thousands of them took the square.
  std::map<std::string, std::set<std::string>>
      machines_of_job_;  // that were ever told to start a task of it
  using Usage = std::map<std::string, store::Resources>;  // by team
  std::map<std::string, Usage> usage_by_machine_;
  Usage usage_;
  double next_full_check_ = 0;
  bool any_gang_ = false;
  Work work_;
};

}  // namespace rushtrestle::testing
