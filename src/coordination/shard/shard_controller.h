// The owner of shards: places tasks, commands workers, follows their heartbeats.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/arrival_forecast.h"
#include "coordination/scheduling/gang_lifecycle.h"
#include "coordination/scheduling/gang_reservation.h"
#include "coordination/scheduling/placement.h"
#include "coordination/shard/failure_attribution.h"

namespace rushtrestle::coordination {

class ShardController {
 public:
  ShardController(Context& context, store::StateCache& state_cache, StateStoreClient& state_store,
                  Membership& membership, ImageCaches& images, const ArrivalForecast& demand);

  void on_shard_acquired(int shard);
  void on_shard_lost(int shard);
  void on_job_changed(const std::string& id);
  void on_machine_changed(const std::string& id);
  void handle_heartbeat(RequestId request, Heartbeat&& heartbeat);
  void handle_forwarded_heartbeat(RequestId request, const Heartbeat& heartbeat);
  void tick();
  /// When `tick` or `work` has something to do by the clock alone; a time that has passed: as soon
  /// as can be.
  double next_due() const;
  /// At the end of a batch: place what waits, command whoever needs it.
  void work();
  /// Machines that reported here lately though another controller holds their shard.
  std::vector<std::string> machines_heard_of_other_shards() const;
  store::Json stats();

 private:
  using TaskKey = std::pair<std::string, uint32_t>;
  using TasksOnMachine = std::map<TaskKey, uint64_t>;  // attempt by task
  struct ShardJob {
    store::JobRecord desired;  // what shall be; the state cache holds what is durable
    int shard = 0;
    // A write may be prepared more than once before it is carried out (refused for the rate, or
    // beside another's conflict): only what was applied counts as written.
    uint64_t version = 0, prepared = 0, written = 0;
    bool dirty() const { return version != written; }
    // Mod revision of the record under which a write of ours had no answer: until the mod revision
    // has moved, that write may replace what the record says now. 0: none.
    uint64_t unsettled_revision = 0;
    std::optional<WritePriority> queued_priority;  // of its write that waits
    double retry_at = 0;
    std::set<std::string> failed_on;  // machines, since a task of it was last completed
    int backoff_level = 0;            // times that it was set aside because it fails everywhere
    std::set<std::string> avoid;      // machines, until avoid_until
    double avoid_until = 0;
    std::set<std::string>
        left;  // machines that its tasks have left since the last write: may forget them after it
    // When this owner saw the steps to the job's first whole run, for the log; 0: not seen.
    double adopted_at = 0, first_placed_at = 0, last_placed_at = 0, first_written_at = 0,
           whole_at = 0;
    uint32_t fetches = 0;  // tasks placed where their image was not known to be
    std::string shape;     // what its placement class says of its description, which never changes
    std::optional<double> due_after_s;  // likewise, once it was looked at in waiting order
  };
  struct Machine {
    std::string id;
    int shard = 0;
    double since = 0;      // when we began to be responsible for it
    double last_seen = 0;  // last newer heartbeat, however it came
    double last_heartbeat =
        0;  // last one that the worker sent by itself: direct answers renew no lease
    double heard_since = 0;  // when a silence last ended
    double commands_failing_since = 0;
    double forwarded_at = kLongAgo;  // last newer heartbeat that came through another controller
    uint64_t epoch_when_unreachable = 0;  // when direct commands began to fail
    uint64_t agent_epoch = 0, sequence = 0, highest_token_seen = 0;
    bool known = false;  // reported to us
    // As reported, or else by the record, which gets it when the budget allows. Who takes the shard
    // before that learns it from the worker's next heartbeat.
    std::string address;
    bool address_queued = false;
    std::vector<ReportedTask> reported;
    std::optional<double> notice_s;
    bool in_flight = false, dispatch_wanted = false, marking_for_deletion = false, writing = false;
    double next_dispatch = 0;
    // A start went out directly and was not answered: it may be carried out minutes
    // later, as long as the worker has seen no fencing token above this one.
    uint64_t unacknowledged_start = 0;
    std::set<std::string> failed_jobs;
    MachineVerdict verdict = MachineVerdict::healthy;
    double suspect_since = 0;
    bool quarantined() const { return verdict != MachineVerdict::healthy; }
    TasksOnMachine placed;
    int pinned = 0;  // of these, not preemptible
    store::Resources used;
  };

  /// A job that waits for room, and its placement class: the same text for all that fit or don't
  /// fit alike.
  struct Preemptor {
    ShardJob* job = nullptr;
    std::string placement_class;
  };
  /// Where the tasks of a job would go: machine and room, an entry a task.
  using PlannedRoom = std::vector<std::pair<std::string, store::Resources>>;

  ShardJob* job(const std::string& id);
  Machine* machine(const std::string& id);
  uint64_t fencing_token(const Machine& m) const;
  int shard_of_machine(const std::string& id) const;
  bool preemptible(const store::JobRecord& r) const;
  bool can_act() const { return state_store_.lease_valid() && !state_store_.disconnected(); }

  // bookkeeping
  void adopt_job(const std::string& id, const store::JobRecord& record);
  void index(const store::JobRecord& r, const store::Placement& p, double sign);
  void update_pending(const ShardJob& j);
  void queue_commands_for(ShardJob& j);
  void reset_to_durable(const std::string& id);
  void drop_gone_placements(const std::string& id);
  void drop_job(const std::string& id);
  void bind(ShardJob& j, uint32_t task, const std::string& machine);
  void unbind(ShardJob& j, uint32_t task);
  void lose_member(ShardJob& j, uint32_t task);
  void enqueue_job_write(const std::string& id, WriteCause cause);
  bool prepare_job_write(const std::string& id, Prepared& p);
  void job_written(const std::string& id, WriteOutcome outcome, uint64_t mod_revision);
  WriteCause cause_of_end(const ShardJob& j) const;
  void settle_by_writing(ShardJob& j, uint64_t mod_revision);
  void machine_gone(const std::string& id);
  void write_machine(const std::string& id, WriteCause cause,
                     std::function<bool(store::MachineRecord&)> change);

  // workers
  HeartbeatResponse respond(const Heartbeat& heartbeat, bool forwarded);
  bool forward(RequestId request, Heartbeat& heartbeat);
  bool keep_alive(RequestId request, const Heartbeat& heartbeat);
  std::vector<WorkerCommand> stops_of_cancelled(const Heartbeat& heartbeat) const;
  bool apply_heartbeat(Machine& m, const Heartbeat& heartbeat);
  void record_address(Machine& m);
  void log_inconsistencies(const Heartbeat& heartbeat);
  std::vector<WorkerCommand> reconcile(Machine& m, bool& has_start);
  void update_task(ShardJob& j, const ReportedTask& t, std::vector<WorkerCommand>& commands);
  void stop_unexpected_task(const Machine& m, const ReportedTask& t,
                            std::vector<WorkerCommand>& commands) const;
  bool start_missing_tasks(Machine& m, const std::set<TaskKey>& present,
                           std::vector<WorkerCommand>& commands);
  void log_first_run(ShardJob& j);
  void task_ended(Machine& m, ShardJob& j, const ReportedTask& t);
  void task_failed(Machine& m, ShardJob& j);
  bool known_good(const ShardJob& j) const;
  bool on_probation(const ShardJob& j) const;
  void judge(Machine& m);
  void dispatch_commands(Machine& m);
  void send_commands(Machine& m, std::vector<WorkerCommand> commands, bool has_start);
  void commands_answered(const std::string& id, uint64_t used_token, bool has_start,
                         const CallDone& d);
  bool has_command_slot(const Machine& m) const;
  void dispatch_due_commands();
  void check_health(Machine& m);
  bool sends_heartbeats(const Machine& m) const {
    return context_.now - m.last_heartbeat <= context_.tunables.probe_after_s;
  }
  void count_silent();
  bool correlated_silence(const Machine& m) const;
  void mark_for_deletion(Machine& m, const std::string& why);
  void answer_reassignment(Machine& m);

  // scheduling
  std::vector<Slot> slots(int shard) const;
  Fit placement_request_for(const ShardJob& j) const;
  Slot* select_slot_for(const ShardJob& j, const ZoneCounts& zones, std::vector<Slot>& slots) const;
  void set_headroom_for_arrivals(int shard, const std::vector<ShardJob*>& scheduling_queue);
  int queue_group(const store::JobRecord& r) const;
  ZoneCounts zones_of(const store::JobRecord& r) const;
  bool within_quota(const std::string& team, const store::Resources& more) const;
  uint32_t placement_room(const store::JobRecord& r) const;
  size_t most_new_machines() const {
    return static_cast<size_t>(std::max(1, context_.settings.txn_ops * 4 - 2));
  }
  uint32_t next_pending(const store::JobRecord& r, uint32_t from) const;
  std::string placement_class_of(ShardJob& j) const;
  size_t longest_machine_id() const;
  void schedule(int shard);
  void serve_in_turn(const std::vector<ShardJob*>& jobs, std::vector<Slot>& open_slots);
  void set_expected_room_aside(int shard, std::vector<Slot>& open_slots) const;
  void schedule_job(ShardJob& j, std::vector<Slot>& open_slots,
                    std::set<std::string>& without_room);
  double team_load(const std::string& team);
  bool place_gang(const std::string& id, ShardJob& j, std::vector<Slot>& slots);
  bool all_gathering(const ShardJob& j);
  const GangReservation* reservation_against(const ShardJob& j) const;
  void reserve_for_gang(const ShardJob& j);
  bool gang_within_quota(const ShardJob& j) const;
  void end_gang_reservation(int shard);
  PlannedRoom room_for_gang(const ShardJob& j, uint32_t need, std::vector<Slot>& slots) const;
  bool place_some(const std::string& id, ShardJob& j, std::vector<Slot>& slots, bool& no_room);
  std::vector<ShardJob*> scheduling_queue(int shard);
  void scan_for_requeue(int shard);
  std::vector<ShardJob*> nominate(int shard);
  std::vector<Preemptor> preemptors(int shard);
  bool has_preemptor_reservation(const std::string& job_id) const;
  std::optional<size_t> try_preemptors(const ShardJob& victim,
                                       const std::vector<Preemptor>& preemptors,
                                       std::vector<Slot>& picture, PlannedRoom& used);
  void commit_requeue(ShardJob& victim, const ShardJob& preemptor, const PlannedRoom& used);
  bool fits_whole_beside(const ShardJob& preemptor, ZoneCounts zones, std::vector<Slot>& picture,
                         PlannedRoom* used) const;
  bool fits_whole(const ShardJob& preemptor, std::vector<Slot>& picture, PlannedRoom* used) const;

  Context& context_;
  store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  Membership& membership_;
  ImageCaches& images_;
  const ArrivalForecast& arrival_forecast_;
  std::set<int> shards_;
  std::unordered_map<std::string, ShardJob> jobs_;
  std::map<std::string, Machine> machines_;
  // What our jobs have where, on machines of other shards and of nobody, too: looking through all
  // jobs for each machine that came or went took seconds when dozens went at once.
  std::unordered_map<std::string, TasksOnMachine> placed_on_;
  std::set<std::string> pending_;  // jobs with tasks to be placed
  std::set<std::string>
      jobs_that_lost_tasks_;  // jobs that lost tasks with a machine, not written since
  struct Silence {
    int machines = 0, silent = 0;
  };
  std::map<std::string, Silence> silence_;  // by zone, as of the last look
  std::map<std::string, store::Resources> team_used_;
  std::unordered_map<std::string, double> last_heard_at_;
  std::unordered_map<std::string, double> forwarding_since_;  // by machine
  std::set<std::string> dispatch_queue_;  // machines to command at the end of the batch
  std::string last_commanded_;            // of them; the next ones follow it by id
  std::set<std::pair<double, std::string>>
      delayed_dispatch_;  // machines to command, by the time of that
  size_t commands_in_flight_ = 0;
  size_t silent_commands_in_flight_ = 0;  // of them, to machines that did not answer the last one
  size_t forwards_in_flight_ = 0;
  bool want_schedule_ = false;
  std::vector<double> marked_for_deletion_at_;  // for silence, of late
  double next_schedule_ = 0, next_scan_ = 0, next_health_ = 0;
  // Of the pass that is under way:
  double cpu_per_gpu_ = 0;
  size_t longest_machine_id_ = 0;
  CapacityHeadroom headroom_;
  bool production_waits_ = false;
  // Room that a commit freed for its preemptor, until that is placed.
  struct PreemptorReservation {
    std::string job, machine;
    store::Resources room;
    double until;
  };
  std::vector<PreemptorReservation> preemptor_reservations_;
  std::map<int, GangReservation> gang_reservations_;  // by shard
  std::map<int, double> next_gang_reservation_;       // by shard
};

}  // namespace rushtrestle::coordination
