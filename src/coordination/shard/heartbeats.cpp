// heartbeats of workers, the answers to them, and commands sent to workers directly.
#include <algorithm>
#include <cmath>

#include "coordination/shard/shard_controller.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;
using store::Placement;

void ShardController::handle_heartbeat(RequestId request, Heartbeat&& heartbeat) {
  context_.counters["reports"]++;
  last_heard_at_[heartbeat.machine] = context_.now;
  if (forward(request, heartbeat)) return;
  context_.out.push_back(AnswerHeartbeat{request, respond(heartbeat, false)});
}

void ShardController::handle_forwarded_heartbeat(RequestId request, const Heartbeat& heartbeat) {
  context_.counters["relayed_reports"]++;
  context_.out.push_back(AnswerForwardedHeartbeat{request, respond(heartbeat, true)});
}

// Two zones that can't reach each other, or a controller that lost its workers: a worker turned
// away to a shard leader that it can't reach lost its lease and all its tasks, though others reach
// both. A worker that already obeys the shard leader's fencing token and comes to us all the same
// can't reach it: its heartbeat goes to the shard leader through us, and the shard leader's answer
// back, as if it had come straight. Now and then the worker is sent to the shard leader again.
bool ShardController::forward(RequestId request, Heartbeat& heartbeat) {
  const auto* record = state_cache_.machine(heartbeat.machine);
  if (!record || record->record.terminating() || membership_.shard_token(record->record.shard) != 0)
    return false;
  const std::string lease_holder = membership_.shard_leader(record->record.shard);
  const uint64_t holders =
      std::max(state_cache_.mod_revision_of(store::shard_key(record->record.shard)),
               state_cache_.mod_revision_of(store::machine_key(heartbeat.machine)));
  if (lease_holder.empty() || lease_holder == context_.settings.node ||
      heartbeat.fencing_token < holders) {
    forwarding_since_.erase(heartbeat.machine);
    return false;
  }
  const std::string address = membership_.address_of(lease_holder);
  if (address.empty()) {
    const std::string between = membership_.relay_peer(lease_holder);
    if (between.empty()) return keep_alive(request, heartbeat);
    context_.out.push_back(AnswerHeartbeat{request, {421, 0, {}, between}});
    return true;
  }
  const auto since = forwarding_since_.emplace(heartbeat.machine, context_.now).first;
  if (context_.now - since->second > context_.tunables.forward_s) {
    forwarding_since_.erase(since);
    return false;
  }
  // Another controller may have room to pass it on: the worker asks the next one.
  if (forwards_in_flight_ >= context_.tunables.forward_slots) {
    context_.counters["relays_refused"]++;
    context_.out.push_back(AnswerHeartbeat{request, HeartbeatResponse{}});
    return true;
  }
  ++forwards_in_flight_;
  context_.counters["reports_passed_on"]++;
  context_.call(ForwardHeartbeat{address, std::move(heartbeat)},
                context_.tunables.command_timeout_s, [this, request](CallDone&& d) {
                  --forwards_in_flight_;
                  auto* reply = std::get_if<HeartbeatResponse>(&d.reply);
                  context_.out.push_back(AnswerHeartbeat{
                      request, d.status == 200 && reply ? std::move(*reply) : HeartbeatResponse{}});
                });
  return true;
}

// A zone cut off from everything, with the shard leader of its workers' part outside: they met a
// controller of their own zone, were sent to the shard leader that neither reaches, and lost all
// their tasks a lease later, though nothing had happened to them. A controller that lacks the state
// service itself, and hears nobody who has it, renews the lease of a worker that obeyed the shard
// leader known here, with the worker's own fencing token and no orders but to stop what was
// cancelled before the cut. For how long, and why that leaves every cancellation its time:
// docs/architecture.md, Cancellation.
bool ShardController::keep_alive(RequestId request, const Heartbeat& heartbeat) {
  if (state_store_.lease_valid() || !membership_.may_renew_while_disconnected()) return false;
  context_.counters["kept_alive"]++;
  context_.out.push_back(
      AnswerHeartbeat{request, {200, heartbeat.fencing_token, stops_of_cancelled(heartbeat), ""}});
  return true;
}

// Always right, whoever sends it and whatever else is under way: no answer that renews a lease goes
// without.
std::vector<WorkerCommand> ShardController::stops_of_cancelled(const Heartbeat& heartbeat) const {
  std::vector<WorkerCommand> stops;
  for (const auto& t : heartbeat.tasks)
    if (t.state != TaskState::exited && state_cache_.cancelled(t.job))
      stops.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, 0});
  return stops;
}

HeartbeatResponse ShardController::respond(const Heartbeat& heartbeat, bool forwarded) {
  const auto* record = state_cache_.machine(heartbeat.machine);
  // Restarted in an outage: nobody can read the keys, so nobody can take over, accept or cancel
  // either. While all controllers agree on that, and what was cancelled before is known from them,
  // the worker's own fencing token keeps its tasks alive.
  if (!state_store_.synced() && membership_.outage_shared() &&
      membership_.may_renew_while_disconnected())
    return {200, heartbeat.fencing_token, stops_of_cancelled(heartbeat), ""};
  if (!record || record->record.terminating()) return {};
  const int shard = record->record.shard;
  Machine* m = machine(heartbeat.machine);
  if (!m || membership_.shard_token(shard) == 0) {
    const std::string lease_holder = membership_.shard_leader(shard);
    if (lease_holder.empty() || lease_holder == context_.settings.node) return {};
    return {421, 0, {}, lease_holder};
  }
  // A higher fencing token than ours: somebody else is entitled, we just have not heard yet.
  if (heartbeat.fencing_token > fencing_token(*m) || !membership_.may_renew_workers()) return {};
  m->last_heartbeat = context_.now;
  std::vector<WorkerCommand> commands = stops_of_cancelled(heartbeat);
  if (apply_heartbeat(*m, heartbeat)) {
    if (forwarded) m->forwarded_at = context_.now;
    bool has_start = false;
    if (!m->in_flight) {
      auto all = reconcile(*m, has_start);
      // Starts go directly only: one in an answer could arrive after a direct stop.
      if (has_start) {
        dispatch_queue_.insert(m->id);
      } else {
        commands = std::move(all);
      }
    }
  }
  return {200, fencing_token(*m), std::move(commands), ""};
}

// What no worker should say changes nothing of what we hold: a task that is not placed here is
// stopped, whatever its state. Told once in a while, as it shows a faulty worker or a record that
// was lost.
void ShardController::log_inconsistencies(const Heartbeat& heartbeat) {
  for (const auto& t : heartbeat.tasks) {
    const auto* durable = state_cache_.job(t.job);
    if (!durable) continue;
    const ShardJob* j = job(t.job);
    const uint64_t given = std::max(durable->record.attempts, j ? j->desired.attempts : 0);
    if (t.attempt > given)
      context_.log_rate_limited(
          "attempt", heartbeat.machine + " reports attempt " + std::to_string(t.attempt) + " of " +
                         t.job + ", of " + std::to_string(given) + " that were given");
    if (t.gathering && durable->record.spec.kind != JobKind::gang)
      context_.log_rate_limited("gathering", heartbeat.machine + " reports that a task of " +
                                                 t.job + " gathers, which is no gang");
  }
}

bool ShardController::apply_heartbeat(Machine& m, const Heartbeat& heartbeat) {
  if (std::make_pair(heartbeat.agent_epoch, heartbeat.sequence) <=
      std::make_pair(m.agent_epoch, m.sequence))
    return false;
  log_inconsistencies(heartbeat);
  // A newer agent epoch: whatever ran is gone, and late commands of the old one are dropped.
  if (heartbeat.agent_epoch > m.agent_epoch) m.unacknowledged_start = 0;
  if (m.unacknowledged_start != 0 && heartbeat.fencing_token > m.unacknowledged_start)
    m.unacknowledged_start = 0;
  if (!m.known) want_schedule_ = true;
  m.known = true;
  m.agent_epoch = heartbeat.agent_epoch;
  m.sequence = heartbeat.sequence;
  m.highest_token_seen = std::max(m.highest_token_seen, heartbeat.fencing_token);
  m.reported = heartbeat.tasks;
  if (context_.now - m.last_seen > context_.tunables.probe_after_s) m.heard_since = context_.now;
  m.last_seen = context_.now;
  if (heartbeat.notice_s && !m.notice_s) {
    // What can save goes elsewhere in time; the rest runs on as long as it may.
    std::set<std::string> changed;
    for (const auto& [key, attempt] : m.placed) {
      ShardJob* j = job(key.first);
      if (!j || j->desired.spec.checkpoint_s <= 0 || *heartbeat.notice_s < j->desired.spec.save_s)
        continue;
      for (auto& p : j->desired.placed)
        if (p.task == key.second) p.stopping = true;
      changed.insert(key.first);
    }
    for (const auto& id : changed) enqueue_job_write(id, WriteCause::stop);
  }
  m.notice_s = heartbeat.notice_s;
  const auto* record = state_cache_.machine(m.id);
  m.address = heartbeat.address;
  if (record && record->record.address != m.address && !m.address_queued) record_address(m);
  return true;
}

// In a fleet that comes up at once these were a third of all writes, and work waited behind them.
void ShardController::record_address(Machine& m) {
  m.address_queued = true;
  WriteRequest w;
  w.key = store::machine_key(m.id);
  w.cause = WriteCause::machine_address;
  w.prepare = [this, id = m.id](Prepared& p) {
    Machine* mine = machine(id);
    if (mine) mine->address_queued = false;
    const auto* durable = state_cache_.machine(id);
    if (!mine || !durable || durable->record.terminating() ||
        durable->record.address == mine->address)
      return false;
    const uint64_t held = membership_.shard_token(durable->record.shard);
    if (held == 0) return false;
    MachineRecord r = durable->record;
    r.address = mine->address;
    p.expected = durable->mod_revision;
    p.value = to_json(r);
    p.preconditions.push_back({store::shard_key(r.shard), held});
    return true;
  };
  w.done = [this, id = m.id](WriteOutcome, uint64_t) { dispatch_queue_.insert(id); };
  state_store_.write(std::move(w));
}

void ShardController::task_ended(Machine& m, ShardJob& j, const ReportedTask& t) {
  const std::string id = j.desired.spec.id;
  unbind(j, t.task);
  // A member that was refused never joined its attempt, and is replaced. Any other end is the end
  // of the attempt: it stands in the record, as a new shard leader would else add members that wait
  // in vain.
  const bool never_joined =
      t.cause == ExitCause::no_room || t.cause == ExitCause::busy || t.cause == ExitCause::unknown;
  if (!never_joined) end_attempt(j.desired);
  switch (t.cause) {
    case ExitCause::done:
      if (j.desired.spec.kind == JobKind::array) j.desired.done.insert(t.task);
      // The tasks of a gang complete together: what a lost machine could not tell any more is done,
      // too.
      if (j.desired.spec.kind == JobKind::gang)
        for (uint32_t task = 0; task < j.desired.spec.tasks; ++task) j.desired.done.insert(task);
      update_pending(j);
      m.failed_jobs.clear();
      judge(m);
      j.failed_on.clear();
      j.backoff_level = 0;
      break;
    case ExitCause::error: task_failed(m, j); break;
    case ExitCause::no_room:
    case ExitCause::busy:
    case ExitCause::unknown:
      context_.info("start refused: " + id + "/" + std::to_string(t.task) + " on " + m.id +
                    " cause " + std::to_string(static_cast<int>(t.cause)));
      j.retry_at = context_.now + context_.settings.heartbeat_interval_s / 2;
      break;
    case ExitCause::stopped:
    case ExitCause::none: break;
  }
  if (j.desired.status == JobStatus::open && j.desired.spec.kind != JobKind::service &&
      j.desired.done.size() == j.desired.spec.tasks)
    j.desired.status = JobStatus::done;
  enqueue_job_write(id, cause_of_end(j));
}

// With a third of the arrays submitted with a mistake, 104 healthy machines were marked for
// deletion in ten minutes: each failure counted against the machine. And a healthy array was set
// aside for the tasks that one bad machine had failed.
void ShardController::task_failed(Machine& m, ShardJob& j) {
  context_.counters["task_errors"]++;
  m.failed_jobs.insert(j.desired.spec.id);
  j.failed_on.insert(m.id);
  j.avoid.insert(m.id);
  j.avoid_until = context_.now + context_.settings.lease_s * 2;
  judge(m);
  if (!fails_everywhere({known_good(j), j.failed_on.size()})) return;
  // Its tasks fail side by side: one setback for all of them.
  if (context_.now >= j.retry_at) {
    constexpr int kMostDoublings = 5;
    j.backoff_level = std::min(j.backoff_level + 1, kMostDoublings);
    j.retry_at = context_.now + context_.jitter(context_.settings.heartbeat_interval_s *
                                                std::pow(2.0, j.backoff_level));
    j.avoid.clear();
  }
  // What it was blamed for elsewhere is blamed on it.
  for (const auto& id : j.failed_on)
    if (Machine* other = machine(id)) judge(*other);
}

// Known to run: an array that has completed a task, a service or gang that has run for a worker's
// lease.
bool ShardController::known_good(const ShardJob& j) const {
  if (j.desired.done.size() > 0) return true;
  return j.desired.spec.kind != JobKind::array && j.desired.running() > 0 &&
         context_.wall - j.desired.last_start > context_.settings.lease_s;
}

// An array that fails everywhere is tried with one task at a time: what it costs is bounded.
bool ShardController::on_probation(const ShardJob& j) const {
  return j.desired.spec.kind == JobKind::array &&
         fails_everywhere({known_good(j), j.failed_on.size()});
}

void ShardController::judge(Machine& m) {
  std::vector<FailedJob> failed;
  for (const auto& id : m.failed_jobs) {
    const auto* j = job(id);
    const auto* finished = state_cache_.finished_job(id);
    if (j) failed.push_back({known_good(*j), j->failed_on.size()});
    if (!j && finished && finished->status == JobStatus::done) failed.push_back({true, 1});
  }
  const auto before = std::exchange(m.verdict, judge_machine(failed));
  if (before == m.verdict) return;
  if (before == MachineVerdict::healthy) m.suspect_since = context_.now;
  want_schedule_ = true;
  context_.info(
      "machine " + m.id +
      (m.quarantined() ? " quarantined: tasks of different jobs fail on it" : " is trusted again"));
}

// One line a job: where the time went until all its tasks ran.
void ShardController::log_first_run(ShardJob& j) {
  if (j.adopted_at == 0 || j.whole_at != 0 ||
      j.desired.running() + j.desired.done.size() < j.desired.spec.tasks)
    return;
  j.whole_at = context_.now;
  if (!context_.logs(LogLine::Level::debug)) return;
  const auto ms = [&](double at) {
    return std::to_string(static_cast<int>(std::max(0.0, at - j.adopted_at) * 1000));
  };
  context_.debug(
      "job " + j.desired.spec.id + " of " + j.desired.spec.job_class + " runs whole: seen " +
      std::to_string(static_cast<int>(
          (context_.wall - j.desired.submitted - (context_.now - j.adopted_at)) * 1000)) +
      " ms after its acceptance, then placed after " + ms(j.first_placed_at) + " to " +
      ms(j.last_placed_at) + ", written " + ms(j.first_written_at) + ", running " +
      ms(context_.now) + "; " + std::to_string(j.fetches) + " of " +
      std::to_string(j.desired.spec.tasks) + " tasks without their image");
}

std::vector<WorkerCommand> ShardController::reconcile(Machine& m, bool& has_start) {
  std::vector<WorkerCommand> commands;
  has_start = false;
  if (!m.known) return commands;
  std::set<TaskKey> present;
  for (const auto& t : m.reported) {
    const TaskKey key{t.job, t.task};
    const auto placed = m.placed.find(key);
    ShardJob* j = job(t.job);
    if (j && placed != m.placed.end() && placed->second == t.attempt) {
      present.insert(key);
      if (t.state == TaskState::exited) {
        task_ended(m, *j, t);
      } else {
        update_task(*j, t, commands);
      }
    } else {
      stop_unexpected_task(m, t, commands);
    }
  }
  has_start = start_missing_tasks(m, present, commands);
  return commands;
}

// A task that is placed on the machine and is there.
void ShardController::update_task(ShardJob& j, const ReportedTask& t,
                                  std::vector<WorkerCommand>& commands) {
  for (auto& p : j.desired.placed) {
    if (p.task != t.task) continue;
    if (t.state == TaskState::running && !p.running) {
      p.running = true;
      j.desired.last_start = context_.wall;
      log_first_run(j);
      enqueue_job_write(t.job, j.desired.spec.kind == JobKind::gang ? WriteCause::gang_phase
                                                                    : WriteCause::running_mark);
    }
    const auto* durable = state_cache_.job(t.job);
    const auto* d = durable ? durable->record.same_placement(p) : nullptr;
    if (j.desired.status == JobStatus::cancelled) {
      commands.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, 0});
    } else if (p.stopping && d && d->stopping && t.state != TaskState::saving) {
      // Only once the commit is durable.
      commands.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, stop_grace_s(j.desired)});
    }
  }
}

// A task that is not placed on the machine (any more). While the record still says so, it is left
// alone.
void ShardController::stop_unexpected_task(const Machine& m, const ReportedTask& t,
                                           std::vector<WorkerCommand>& commands) const {
  const auto* durable = state_cache_.job(t.job);
  const auto* d = durable ? durable->record.placement_of(t.task) : nullptr;
  const bool cancelled_runs = t.state != TaskState::exited && state_cache_.cancelled(t.job);
  if (d && d->machine == m.id && d->attempt == t.attempt && !cancelled_runs) return;
  if (t.state != TaskState::exited) {
    commands.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, 0});
  } else if (m.unacknowledged_start == 0 && m.highest_token_seen >= fencing_token(m)) {
    // A start of this attempt that may still arrive would run it again after this.
    commands.push_back({WorkerVerb::forget, t.job, t.task, t.attempt, 0});
  }
}

// Tasks that are placed on the machine and not there: started, or, if they were to be stopped,
// known to be gone.
bool ShardController::start_missing_tasks(Machine& m, const std::set<TaskKey>& present,
                                          std::vector<WorkerCommand>& commands) {
  // Absence counts only in a heartbeat given under our fencing token, with no command of ours under
  // way.
  const bool absence_counts =
      m.unacknowledged_start == 0 && m.highest_token_seen >= fencing_token(m) && !m.in_flight;
  const bool may_start = can_act() && sends_heartbeats(m);
  bool has_start = false;
  std::vector<TaskKey> gone;
  for (const auto& [key, attempt] : m.placed) {
    if (present.count(key)) continue;
    ShardJob* j = job(key.first);
    if (!j) continue;
    const auto* p = j->desired.placement_of(key.second);
    const auto* durable = state_cache_.job(key.first);
    if (!p || !durable || !durable->record.same_placement(*p)) continue;  // not durable yet
    if (j->desired.status != JobStatus::open || p->stopping) {
      if (absence_counts) gone.push_back(key);
    } else if (may_start && durable->record.status == JobStatus::open &&
               durable->mod_revision != j->unsettled_revision) {
      // Not on a machine that reaches no controller, though our commands reach it: its lease would
      // soon end it again.
      commands.push_back({WorkerVerb::start, key.first, key.second, attempt, 0});
      has_start = true;
    }
  }
  for (const auto& [job_id, task] : gone) {
    if (ShardJob* j = job(job_id)) {
      unbind(*j, task);
      enqueue_job_write(job_id, cause_of_end(*j));
    }
  }
  return has_start;
}

void ShardController::dispatch_commands(Machine& m) {
  if (m.in_flight || context_.now < m.next_dispatch || !membership_.may_renew_workers()) return;
  const auto* record = state_cache_.machine(m.id);
  if (!record || m.address.empty() || record->record.terminating()) return;
  bool has_start = false;
  auto commands = reconcile(m, has_start);
  const bool fence = m.highest_token_seen < fencing_token(m);
  if (commands.empty() && !m.dispatch_wanted && !(fence && m.known)) return;
  send_commands(m, std::move(commands), has_start);
}

// Each command that waits for its answer takes a socket, and a machine that is gone gives none
// until the time-out. With a command to each machine of a lost zone at once no socket was left for
// the state service, whose lease lapsed, and commands that had found no socket were taken for
// machines that don't answer.
bool ShardController::has_command_slot(const Machine& m) const {
  if (commands_in_flight_ >= context_.tunables.command_slots) return false;
  return m.commands_failing_since == 0 ||
         silent_commands_in_flight_ < context_.tunables.silent_command_slots;
}

void ShardController::send_commands(Machine& m, std::vector<WorkerCommand> commands,
                                    bool has_start) {
  m.dispatch_wanted = false;
  m.in_flight = true;
  context_.counters["direct_commands"]++;
  const uint64_t used_token = fencing_token(m);
  const bool silent = m.commands_failing_since > 0;
  ++commands_in_flight_;
  if (silent) ++silent_commands_in_flight_;
  PushCommands c{m.address, used_token, m.agent_epoch, std::move(commands)};
  context_.call(std::move(c), context_.tunables.command_timeout_s,
                [this, id = m.id, used_token, has_start, silent](CallDone&& d) {
                  --commands_in_flight_;
                  if (silent) --silent_commands_in_flight_;
                  commands_answered(id, used_token, has_start, d);
                });
}

void ShardController::commands_answered(const std::string& id, uint64_t used_token, bool has_start,
                                        const CallDone& d) {
  Machine* mine = machine(id);
  if (!mine) return;
  mine->in_flight = false;
  const auto* heartbeat = std::get_if<Heartbeat>(&d.reply);
  if ((d.status == 200 || d.status == 409) && heartbeat && heartbeat->machine == id) {
    mine->commands_failing_since = 0;
    apply_heartbeat(*mine, *heartbeat);
    dispatch_queue_.insert(id);
    if (d.status == 409 && heartbeat->fencing_token > fencing_token(*mine))
      mine->next_dispatch = context_.now + context_.tunables.probe_every_s;
    // The worker hears us again: a new fencing token shuts out what is still under way.
    if (mine->unacknowledged_start != 0)
      write_machine(id, WriteCause::other, [](MachineRecord&) { return true; });
  } else {
    if (has_start) mine->unacknowledged_start = std::max(mine->unacknowledged_start, used_token);
    if (mine->commands_failing_since == 0) {
      mine->commands_failing_since = context_.now;
      mine->epoch_when_unreachable = mine->agent_epoch;
    }
    mine->next_dispatch = context_.now + context_.jitter(context_.tunables.probe_every_s);
    mine->dispatch_wanted = true;
  }
}

}  // namespace rushtrestle::coordination
