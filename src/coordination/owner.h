// The owner of parts: places tasks, commands workers, follows their reports.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/demand.h"
#include "coordination/fault_attribution.h"
#include "coordination/gang_hold.h"
#include "coordination/gang_lifecycle.h"
#include "coordination/placement.h"

namespace rushtrestle::coordination {

class Owner {
 public:
  Owner(Context& ctx, store::Model& model, StateLink& link, Membership& members, ImageCaches& images, const Demand& demand);

  void gained(int part);
  void lost(int part);
  void job_changed(const std::string& id);
  void machine_changed(const std::string& id);
  void take_report(RequestId request, WorkerReport&& report);
  void take_relayed_report(RequestId request, const WorkerReport& report);
  void tick();
  /// When `tick` or `work` has something to do by the clock alone; a time that has passed: as soon as can be.
  double next_due() const;
  /// At the end of a batch: place what waits, command whoever needs it.
  void work();
  /// Machines that reported here lately though another controller holds their part.
  std::vector<std::string> heard_of_other_parts() const;
  store::Json stats();

 private:
  using TaskKey = std::pair<std::string, uint32_t>;
  using TasksOnMachine = std::map<TaskKey, uint64_t>;  // attempt by task
  struct OwnedJob {
    store::JobRecord cur;  // what shall be; the model holds what is durable
    int part = 0;
    // A write may be prepared more than once before it is carried out (refused for the rate, or beside
    // another's conflict): only what was applied counts as written.
    uint64_t version = 0, prepared = 0, written = 0;
    bool dirty() const { return version != written; }
    // Stamp of the record under which a write of ours had no answer: until the stamp has moved, that write may replace
    // what the record says now. 0: none.
    uint64_t unsettled_stamp = 0;
    std::optional<WritePriority> queued_priority;  // of its write that waits
    double retry_at = 0;
    std::set<std::string> failed_on;  // machines, since a task of it was last completed
    int setbacks = 0;                 // times that it was set aside because it fails everywhere
    std::set<std::string> avoid;      // machines, until avoid_until
    double avoid_until = 0;
    std::set<std::string> left;  // machines that its tasks have left since the last write: may forget them after it
    // When this owner saw the steps to the job's first whole run, for the log; 0: not seen.
    double adopted_at = 0, first_placed_at = 0, last_placed_at = 0, first_written_at = 0, whole_at = 0;
    uint32_t fetches = 0;               // tasks placed where their image was not known to be
    std::string shape;                  // what its placement class says of its description, which never changes
    std::optional<double> due_after_s;  // likewise, once it was looked at in waiting order
  };
  struct Machine {
    std::string id;
    int part = 0;
    double since = 0;        // when we began to be responsible for it
    double last_news = 0;    // last newer report, however it came
    double last_report = 0;  // last one that the worker sent by itself: direct answers renew no lease
    double heard_since = 0;  // when a silence last ended
    double direct_failing_since = 0;
    double relayed_at = kLongAgo;    // last newer report that came through another controller
    uint64_t session_when_deaf = 0;  // when direct commands began to fail
    uint64_t session = 0, seq = 0, token_seen = 0;
    bool known = false;  // reported to us
    // As reported, or else by the record, which gets it when the budget allows. Who takes the part before that learns it
    // from the worker's next report.
    std::string address;
    bool address_queued = false;
    std::vector<ReportedTask> reported;
    std::optional<double> notice_s;
    bool in_flight = false, wanted = false, condemning = false, writing = false;
    double next_direct = 0;
    // A start went out directly and was not answered: it may be carried out minutes
    // later, as long as the worker has seen no token above this one.
    uint64_t uncertain = 0;
    std::set<std::string> failed_jobs;
    MachineVerdict verdict = MachineVerdict::healthy;
    double suspect_since = 0;
    bool quarantined() const { return verdict != MachineVerdict::healthy; }
    TasksOnMachine placed;
    int pinned = 0;  // of these, not preemptible
    store::Resources used;
  };

  /// A job that waits for room, and its placement class: the same text for all that fit or don't fit alike.
  struct Contender {
    OwnedJob* job = nullptr;
    std::string placement_class;
  };
  /// Where the tasks of a job would go: machine and room, an entry a task.
  using PlannedRoom = std::vector<std::pair<std::string, store::Resources>>;

  OwnedJob* job(const std::string& id);
  Machine* machine(const std::string& id);
  uint64_t token(const Machine& m) const;
  int machine_part(const std::string& id) const;
  bool preemptible(const store::JobRecord& r) const;
  bool can_act() const { return link_.lease_valid() && !link_.in_doubt(); }

  // bookkeeping
  void adopt_job(const std::string& id, const store::JobRecord& record);
  void index(const store::JobRecord& r, const store::Placement& p, double sign);
  void update_pending(const OwnedJob& j);
  void command_machines_of(OwnedJob& j);
  void rebase(const std::string& id);
  void drop_gone_placements(const std::string& id);
  void drop_job(const std::string& id);
  void place(OwnedJob& j, uint32_t task, const std::string& machine);
  void unplace(OwnedJob& j, uint32_t task);
  void lose_member(OwnedJob& j, uint32_t task);
  void mark(const std::string& id, WriteCause cause);
  bool prepare_job_write(const std::string& id, Prepared& p);
  void job_written(const std::string& id, WriteOutcome outcome, uint64_t stamp);
  WriteCause cause_of_end(const OwnedJob& j) const;
  void settle_by_writing(OwnedJob& j, uint64_t stamp);
  void machine_gone(const std::string& id);
  void write_machine(const std::string& id, WriteCause cause, std::function<bool(store::MachineRecord&)> change);

  // workers
  ReportReply reply_to(const WorkerReport& report, bool relayed);
  bool relay(RequestId request, WorkerReport& report);
  bool keep_alive(RequestId request, const WorkerReport& report);
  std::vector<WorkerCommand> stops_of_cancelled(const WorkerReport& report) const;
  bool process(Machine& m, const WorkerReport& report);
  void record_address(Machine& m);
  void check_sense(const WorkerReport& report);
  std::vector<WorkerCommand> reconcile(Machine& m, bool& has_start);
  void follow_task(OwnedJob& j, const ReportedTask& t, std::vector<WorkerCommand>& commands);
  void clear_stray(const Machine& m, const ReportedTask& t, std::vector<WorkerCommand>& commands) const;
  bool start_absent(Machine& m, const std::set<TaskKey>& present, std::vector<WorkerCommand>& commands);
  void log_first_run(OwnedJob& j);
  void task_ended(Machine& m, OwnedJob& j, const ReportedTask& t);
  void task_failed(Machine& m, OwnedJob& j);
  bool vouched(const OwnedJob& j) const;
  bool on_probation(const OwnedJob& j) const;
  void judge(Machine& m);
  void direct(Machine& m);
  void send_commands(Machine& m, std::vector<WorkerCommand> commands, bool has_start);
  void commands_answered(const std::string& id, uint64_t used_token, bool has_start, const CallDone& d);
  bool has_command_slot(const Machine& m) const;
  void command_machines();
  void check_health(Machine& m);
  bool reports(const Machine& m) const { return ctx_.now - m.last_report <= ctx_.tune.probe_after_s; }
  void count_silent();
  bool mass_silence(const Machine& m) const;
  void condemn(Machine& m, const std::string& why);
  void settle_offer(Machine& m);

  // scheduling
  std::vector<Slot> slots(int part) const;
  Fit fit_for(const OwnedJob& j) const;
  Slot* pick_for(const OwnedJob& j, const ZoneCounts& zones, std::vector<Slot>& slots) const;
  void reserve_for_arrivals(int part, const std::vector<OwnedJob*>& waiting);
  int order_group(const store::JobRecord& r) const;
  ZoneCounts zones_of(const store::JobRecord& r) const;
  bool within_limit(const std::string& team, const store::Resources& more) const;
  uint32_t placement_room(const store::JobRecord& r) const;
  size_t most_new_machines() const { return static_cast<size_t>(std::max(1, ctx_.settings.txn_ops * 4 - 2)); }
  uint32_t next_pending(const store::JobRecord& r, uint32_t from) const;
  std::string placement_class_of(OwnedJob& j) const;
  size_t longest_machine_id() const;
  void schedule(int part);
  void serve_in_turn(const std::vector<OwnedJob*>& jobs, std::vector<Slot>& open_slots);
  void set_expected_room_aside(int part, std::vector<Slot>& open_slots) const;
  void schedule_job(OwnedJob& j, std::vector<Slot>& open_slots, std::set<std::string>& without_room);
  double team_load(const std::string& team);
  bool place_gang(const std::string& id, OwnedJob& j, std::vector<Slot>& slots);
  bool all_gathering(const OwnedJob& j);
  const GangHold* hold_against(const OwnedJob& j) const;
  void hold_for(const OwnedJob& j);
  bool within_limit_whole(const OwnedJob& j) const;
  void end_hold(int part);
  PlannedRoom room_for_gang(const OwnedJob& j, uint32_t need, std::vector<Slot>& slots) const;
  bool place_some(const std::string& id, OwnedJob& j, std::vector<Slot>& slots, bool& no_room);
  std::vector<OwnedJob*> waiting(int part);
  void scan(int part);
  std::vector<OwnedJob*> nominate(int part);
  std::vector<Contender> contenders(int part);
  bool has_promise(const std::string& job_id) const;
  std::optional<size_t> try_contenders(const OwnedJob& victim, const std::vector<Contender>& contenders,
                                       std::vector<Slot>& picture, PlannedRoom& used);
  void commit_requeue(OwnedJob& victim, const OwnedJob& contender, const PlannedRoom& used);
  bool fits_whole_beside(const OwnedJob& contender, ZoneCounts zones, std::vector<Slot>& picture, PlannedRoom* used) const;
  bool fits_whole(const OwnedJob& contender, std::vector<Slot>& picture, PlannedRoom* used) const;

  Context& ctx_;
  store::Model& model_;
  StateLink& link_;
  Membership& members_;
  ImageCaches& images_;
  const Demand& demand_;
  std::set<int> parts_;
  std::unordered_map<std::string, OwnedJob> jobs_;
  std::map<std::string, Machine> machines_;
  // What our jobs have where, on machines of other parts and of nobody, too: looking through all jobs for
  // each machine that came or went took seconds when dozens went at once.
  std::unordered_map<std::string, TasksOnMachine> placed_on_;
  std::set<std::string> pending_;               // jobs with tasks to be placed
  std::set<std::string> jobs_that_lost_tasks_;  // jobs that lost tasks with a machine, not written since
  struct Silence {
    int machines = 0, silent = 0;
  };
  std::map<std::string, Silence> silence_;  // by zone, as of the last look
  std::map<std::string, store::Resources> team_used_;
  std::unordered_map<std::string, double> heard_;
  std::unordered_map<std::string, double> relaying_since_;  // by machine
  std::set<std::string> machines_to_command_;               // machines to command at the end of the batch
  std::string last_commanded_;                              // of them; the next ones follow it by id
  std::set<std::pair<double, std::string>> command_later_;  // machines to command, by the time of that
  size_t commands_in_flight_ = 0;
  size_t silent_commands_in_flight_ = 0;  // of them, to machines that did not answer the last one
  size_t relays_in_flight_ = 0;
  bool want_schedule_ = false;
  std::vector<double> condemned_at_;  // for silence, of late
  double next_schedule_ = 0, next_scan_ = 0, next_health_ = 0;
  // Of the pass that is under way:
  double cpu_per_gpu_ = 0;
  size_t longest_machine_id_ = 0;
  Reserve reserve_;
  bool production_waits_ = false;
  // Room that a commit freed for its contender, until that is placed.
  struct Promise {
    std::string job, machine;
    store::Resources room;
    double until;
  };
  std::vector<Promise> promises_;
  std::map<int, GangHold> holds_;            // by part
  std::map<int, double> next_hold_allowed_;  // by part
};

}  // namespace rushtrestle::coordination
