// Owner: reports of workers, the answers to them, and commands sent to workers directly.
#include <algorithm>
#include <cmath>

#include "coordination/owner.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;
using store::Placement;

void Owner::take_report(RequestId request, WorkerReport&& report) {
  ctx_.counters["reports"]++;
  heard_[report.machine] = ctx_.now;
  if (relay(request, report)) return;
  ctx_.out.push_back(AnswerReport{request, reply_to(report, false)});
}

void Owner::take_relayed_report(RequestId request, const WorkerReport& report) {
  ctx_.counters["relayed_reports"]++;
  ctx_.out.push_back(AnswerRelayedReport{request, reply_to(report, true)});
}

// Two zones that can't reach each other, or a controller that lost its workers: a worker turned away to a
// holder that it can't reach lost its lease and all its tasks, though others reach both. A worker that
// already obeys the holder's token and comes to us all the same can't reach it: its report goes to the
// holder through us, and the holder's answer back, as if it had come straight. Now and then the worker is
// sent to the holder again.
bool Owner::relay(RequestId request, WorkerReport& report) {
  const auto* record = model_.machine(report.machine);
  if (!record || record->record.doomed() || members_.held(record->record.part) != 0) return false;
  const std::string holder = members_.holder_of(record->record.part);
  const uint64_t holders =
      std::max(model_.stamp_of(store::part_key(record->record.part)), model_.stamp_of(store::machine_key(report.machine)));
  if (holder.empty() || holder == ctx_.settings.node || report.token < holders) {
    relaying_since_.erase(report.machine);
    return false;
  }
  const std::string address = members_.address_of(holder);
  if (address.empty()) {
    const std::string between = members_.go_between(holder);
    if (between.empty()) return keep_alive(request, report);
    ctx_.out.push_back(AnswerReport{request, {421, 0, {}, between}});
    return true;
  }
  const auto since = relaying_since_.emplace(report.machine, ctx_.now).first;
  if (ctx_.now - since->second > ctx_.tune.relay_s) {
    relaying_since_.erase(since);
    return false;
  }
  // Another controller may have room to pass it on: the worker asks the next one.
  if (relays_in_flight_ >= ctx_.tune.relay_slots) {
    ctx_.counters["relays_refused"]++;
    ctx_.out.push_back(AnswerReport{request, ReportReply{}});
    return true;
  }
  ++relays_in_flight_;
  ctx_.counters["reports_passed_on"]++;
  ctx_.call(RelayReport{address, std::move(report)}, ctx_.tune.direct_timeout_s, [this, request](CallDone&& d) {
    --relays_in_flight_;
    auto* reply = std::get_if<ReportReply>(&d.reply);
    ctx_.out.push_back(AnswerReport{request, d.status == 200 && reply ? std::move(*reply) : ReportReply{}});
  });
  return true;
}

// A zone cut off from everything, with the holder of its workers' part outside: they met a controller of
// their own zone, were sent to the holder that neither reaches, and lost all their tasks a lease later,
// though nothing had happened to them. A controller that lacks the state service itself, and hears nobody
// who has it, renews the lease of a worker that obeyed the holder known here, with the worker's own token
// and no orders but to stop what was cancelled before the cut. For how long, and why that leaves every
// cancellation its time: docs/architecture.md, Cancellation.
bool Owner::keep_alive(RequestId request, const WorkerReport& report) {
  if (link_.lease_valid() || !members_.may_answer_blind()) return false;
  ctx_.counters["kept_alive"]++;
  ctx_.out.push_back(AnswerReport{request, {200, report.token, stops_of_cancelled(report), ""}});
  return true;
}

// Always right, whoever sends it and whatever else is under way: no answer that renews a lease goes without.
std::vector<WorkerCommand> Owner::stops_of_cancelled(const WorkerReport& report) const {
  std::vector<WorkerCommand> stops;
  for (const auto& t : report.tasks)
    if (t.state != TaskState::exited && model_.cancelled(t.job))
      stops.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, 0});
  return stops;
}

ReportReply Owner::reply_to(const WorkerReport& report, bool relayed) {
  const auto* record = model_.machine(report.machine);
  // Restarted in an outage: nobody can read the keys, so nobody can take over, accept or cancel either.
  // While all controllers agree on that, and what was cancelled before is known from them, the worker's own
  // token keeps its tasks alive.
  if (!link_.synced() && members_.outage_shared() && members_.may_answer_blind())
    return {200, report.token, stops_of_cancelled(report), ""};
  if (!record || record->record.doomed()) return {};
  const int part = record->record.part;
  Machine* m = machine(report.machine);
  if (!m || members_.held(part) == 0) {
    const std::string holder = members_.holder_of(part);
    if (holder.empty() || holder == ctx_.settings.node) return {};
    return {421, 0, {}, holder};
  }
  // A higher token than ours: somebody else is entitled, we just have not heard yet.
  if (report.token > token(*m) || !members_.may_answer_workers()) return {};
  m->last_report = ctx_.now;
  std::vector<WorkerCommand> commands = stops_of_cancelled(report);
  if (process(*m, report)) {
    if (relayed) m->relayed_at = ctx_.now;
    bool has_start = false;
    if (!m->in_flight) {
      auto all = reconcile(*m, has_start);
      // Starts go directly only: one in an answer could arrive after a direct stop.
      if (has_start) {
        machines_to_command_.insert(m->id);
      } else {
        commands = std::move(all);
      }
    }
  }
  return {200, token(*m), std::move(commands), ""};
}

// What no worker should say changes nothing of what we hold: a task that is not placed here is stopped, whatever its
// state. Told once in a while, as it shows a faulty worker or a record that was lost.
void Owner::check_sense(const WorkerReport& report) {
  for (const auto& t : report.tasks) {
    const auto* durable = model_.job(t.job);
    if (!durable) continue;
    const OwnedJob* j = job(t.job);
    const uint64_t given = std::max(durable->record.attempts, j ? j->cur.attempts : 0);
    if (t.attempt > given)
      ctx_.complain("attempt", report.machine + " reports attempt " + std::to_string(t.attempt) + " of " + t.job + ", of " +
                                   std::to_string(given) + " that were given");
    if (t.gathering && durable->record.spec.kind != JobKind::gang)
      ctx_.complain("gathering", report.machine + " reports that a task of " + t.job + " gathers, which is no gang");
  }
}

bool Owner::process(Machine& m, const WorkerReport& report) {
  if (std::make_pair(report.session, report.seq) <= std::make_pair(m.session, m.seq)) return false;
  check_sense(report);
  // A newer session: whatever ran is gone, and late commands of the old one are dropped.
  if (report.session > m.session) m.uncertain = 0;
  if (m.uncertain != 0 && report.token > m.uncertain) m.uncertain = 0;
  if (!m.known) want_schedule_ = true;
  m.known = true;
  m.session = report.session;
  m.seq = report.seq;
  m.token_seen = std::max(m.token_seen, report.token);
  m.reported = report.tasks;
  if (ctx_.now - m.last_news > ctx_.tune.probe_after_s) m.heard_since = ctx_.now;
  m.last_news = ctx_.now;
  if (report.notice_s && !m.notice_s) {
    // What can save goes elsewhere in time; the rest runs on as long as it may.
    std::set<std::string> changed;
    for (const auto& [key, attempt] : m.placed) {
      OwnedJob* j = job(key.first);
      if (!j || j->cur.spec.checkpoint_s <= 0 || *report.notice_s < j->cur.spec.save_s) continue;
      for (auto& p : j->cur.placed)
        if (p.task == key.second) p.stopping = true;
      changed.insert(key.first);
    }
    for (const auto& id : changed) mark(id, WriteCause::stop);
  }
  m.notice_s = report.notice_s;
  const auto* record = model_.machine(m.id);
  m.address = report.address;
  if (record && record->record.address != m.address && !m.address_queued) record_address(m);
  return true;
}

// In a fleet that comes up at once these were a third of all writes, and work waited behind them.
void Owner::record_address(Machine& m) {
  m.address_queued = true;
  WriteRequest w;
  w.key = store::machine_key(m.id);
  w.cause = WriteCause::machine_address;
  w.prepare = [this, id = m.id](Prepared& p) {
    Machine* mine = machine(id);
    if (mine) mine->address_queued = false;
    const auto* durable = model_.machine(id);
    if (!mine || !durable || durable->record.doomed() || durable->record.address == mine->address) return false;
    const uint64_t held = members_.held(durable->record.part);
    if (held == 0) return false;
    MachineRecord r = durable->record;
    r.address = mine->address;
    p.expected = durable->stamp;
    p.value = to_json(r);
    p.conditions.push_back({store::part_key(r.part), held});
    return true;
  };
  w.done = [this, id = m.id](WriteOutcome, uint64_t) { machines_to_command_.insert(id); };
  link_.write(std::move(w));
}

void Owner::task_ended(Machine& m, OwnedJob& j, const ReportedTask& t) {
  const std::string id = j.cur.spec.id;
  unplace(j, t.task);
  // A member that was refused never joined its attempt, and is replaced. Any other end is the end of the attempt: it
  // stands in the record, as a new owner would else add members that wait in vain.
  const bool never_joined = t.cause == ExitCause::no_room || t.cause == ExitCause::busy || t.cause == ExitCause::unknown;
  if (!never_joined) end_attempt(j.cur);
  switch (t.cause) {
    case ExitCause::done:
      if (j.cur.spec.kind == JobKind::array) j.cur.done.insert(t.task);
      // The tasks of a gang complete together: what a lost machine could not tell any more is done, too.
      if (j.cur.spec.kind == JobKind::gang)
        for (uint32_t task = 0; task < j.cur.spec.tasks; ++task) j.cur.done.insert(task);
      update_pending(j);
      m.failed_jobs.clear();
      judge(m);
      j.failed_on.clear();
      j.setbacks = 0;
      break;
    case ExitCause::error: task_failed(m, j); break;
    case ExitCause::no_room:
    case ExitCause::busy:
    case ExitCause::unknown:
      ctx_.info("start refused: " + id + "/" + std::to_string(t.task) + " on " + m.id + " cause " +
                std::to_string(static_cast<int>(t.cause)));
      j.retry_at = ctx_.now + ctx_.settings.report_s / 2;
      break;
    case ExitCause::stopped:
    case ExitCause::none: break;
  }
  if (j.cur.status == JobStatus::open && j.cur.spec.kind != JobKind::service && j.cur.done.size() == j.cur.spec.tasks)
    j.cur.status = JobStatus::done;
  mark(id, cause_of_end(j));
}

// With a third of the arrays submitted with a mistake, 104 healthy machines were condemned in ten minutes: each failure
// counted against the machine. And a healthy array was set aside for the tasks that one bad machine had failed.
void Owner::task_failed(Machine& m, OwnedJob& j) {
  ctx_.counters["task_errors"]++;
  m.failed_jobs.insert(j.cur.spec.id);
  j.failed_on.insert(m.id);
  j.avoid.insert(m.id);
  j.avoid_until = ctx_.now + ctx_.settings.lease_s * 2;
  judge(m);
  if (!fails_everywhere({vouched(j), j.failed_on.size()})) return;
  // Its tasks fail side by side: one setback for all of them.
  if (ctx_.now >= j.retry_at) {
    constexpr int kMostDoublings = 5;
    j.setbacks = std::min(j.setbacks + 1, kMostDoublings);
    j.retry_at = ctx_.now + ctx_.jitter(ctx_.settings.report_s * std::pow(2.0, j.setbacks));
    j.avoid.clear();
  }
  // What it was blamed for elsewhere is blamed on it.
  for (const auto& id : j.failed_on)
    if (Machine* other = machine(id)) judge(*other);
}

// Known to run: an array that has completed a task, a service or gang that has run for a worker's lease.
bool Owner::vouched(const OwnedJob& j) const {
  if (j.cur.done.size() > 0) return true;
  return j.cur.spec.kind != JobKind::array && j.cur.running() > 0 && ctx_.wall - j.cur.last_start > ctx_.settings.lease_s;
}

// An array that fails everywhere is tried with one task at a time: what it costs is bounded.
bool Owner::on_probation(const OwnedJob& j) const {
  return j.cur.spec.kind == JobKind::array && fails_everywhere({vouched(j), j.failed_on.size()});
}

void Owner::judge(Machine& m) {
  std::vector<FailedJob> failed;
  for (const auto& id : m.failed_jobs) {
    const auto* j = job(id);
    const auto* finished = model_.finished_job(id);
    if (j) failed.push_back({vouched(*j), j->failed_on.size()});
    if (!j && finished && finished->status == JobStatus::done) failed.push_back({true, 1});
  }
  const auto before = std::exchange(m.verdict, judge_machine(failed));
  if (before == m.verdict) return;
  if (before == MachineVerdict::healthy) m.suspect_since = ctx_.now;
  want_schedule_ = true;
  ctx_.info("machine " + m.id +
            (m.quarantined() ? " quarantined: tasks of different jobs fail on it" : " is trusted again"));
}

// One line a job: where the time went until all its tasks ran.
void Owner::log_first_run(OwnedJob& j) {
  if (j.adopted_at == 0 || j.whole_at != 0 || j.cur.running() + j.cur.done.size() < j.cur.spec.tasks) return;
  j.whole_at = ctx_.now;
  if (!ctx_.logs(LogLine::Level::debug)) return;
  const auto ms = [&](double at) { return std::to_string(static_cast<int>(std::max(0.0, at - j.adopted_at) * 1000)); };
  ctx_.debug("job " + j.cur.spec.id + " of " + j.cur.spec.job_class + " runs whole: seen " +
             std::to_string(static_cast<int>((ctx_.wall - j.cur.submitted - (ctx_.now - j.adopted_at)) * 1000)) +
             " ms after its acceptance, then placed after " + ms(j.first_placed_at) + " to " + ms(j.last_placed_at) +
             ", written " + ms(j.first_written_at) + ", running " + ms(ctx_.now) + "; " + std::to_string(j.fetches) +
             " of " + std::to_string(j.cur.spec.tasks) + " tasks without their image");
}

std::vector<WorkerCommand> Owner::reconcile(Machine& m, bool& has_start) {
  std::vector<WorkerCommand> commands;
  has_start = false;
  if (!m.known) return commands;
  std::set<TaskKey> present;
  for (const auto& t : m.reported) {
    const TaskKey key{t.job, t.task};
    const auto placed = m.placed.find(key);
    OwnedJob* j = job(t.job);
    if (j && placed != m.placed.end() && placed->second == t.attempt) {
      present.insert(key);
      if (t.state == TaskState::exited) {
        task_ended(m, *j, t);
      } else {
        follow_task(*j, t, commands);
      }
    } else {
      clear_stray(m, t, commands);
    }
  }
  has_start = start_absent(m, present, commands);
  return commands;
}

// A task that is placed on the machine and is there.
void Owner::follow_task(OwnedJob& j, const ReportedTask& t, std::vector<WorkerCommand>& commands) {
  for (auto& p : j.cur.placed) {
    if (p.task != t.task) continue;
    if (t.state == TaskState::running && !p.running) {
      p.running = true;
      j.cur.last_start = ctx_.wall;
      log_first_run(j);
      mark(t.job, j.cur.spec.kind == JobKind::gang ? WriteCause::gang_phase : WriteCause::running_mark);
    }
    const auto* durable = model_.job(t.job);
    const auto* d = durable ? durable->record.same_placement(p) : nullptr;
    if (j.cur.status == JobStatus::cancelled) {
      commands.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, 0});
    } else if (p.stopping && d && d->stopping && t.state != TaskState::saving) {
      // Only once the commit is durable.
      commands.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, stop_grace_s(j.cur)});
    }
  }
}

// A task that is not placed on the machine (any more). While the record still says so, it is left alone.
void Owner::clear_stray(const Machine& m, const ReportedTask& t, std::vector<WorkerCommand>& commands) const {
  const auto* durable = model_.job(t.job);
  const auto* d = durable ? durable->record.placement_of(t.task) : nullptr;
  const bool cancelled_runs = t.state != TaskState::exited && model_.cancelled(t.job);
  if (d && d->machine == m.id && d->attempt == t.attempt && !cancelled_runs) return;
  if (t.state != TaskState::exited) {
    commands.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, 0});
  } else if (m.uncertain == 0 && m.token_seen >= token(m)) {
    // A start of this attempt that may still arrive would run it again after this.
    commands.push_back({WorkerVerb::forget, t.job, t.task, t.attempt, 0});
  }
}

// Tasks that are placed on the machine and not there: started, or, if they were to be stopped, known to be gone.
bool Owner::start_absent(Machine& m, const std::set<TaskKey>& present, std::vector<WorkerCommand>& commands) {
  // Absence counts only in a report given under our token, with no command of ours under way.
  const bool absence_counts = m.uncertain == 0 && m.token_seen >= token(m) && !m.in_flight;
  const bool may_start = can_act() && reports(m);
  bool has_start = false;
  std::vector<TaskKey> gone;
  for (const auto& [key, attempt] : m.placed) {
    if (present.count(key)) continue;
    OwnedJob* j = job(key.first);
    if (!j) continue;
    const auto* p = j->cur.placement_of(key.second);
    const auto* durable = model_.job(key.first);
    if (!p || !durable || !durable->record.same_placement(*p)) continue;  // not durable yet
    if (j->cur.status != JobStatus::open || p->stopping) {
      if (absence_counts) gone.push_back(key);
    } else if (may_start && durable->record.status == JobStatus::open && durable->stamp != j->unsettled_stamp) {
      // Not on a machine that reaches no controller, though our commands reach it: its lease would soon end it again.
      commands.push_back({WorkerVerb::start, key.first, key.second, attempt, 0});
      has_start = true;
    }
  }
  for (const auto& [job_id, task] : gone) {
    if (OwnedJob* j = job(job_id)) {
      unplace(*j, task);
      mark(job_id, cause_of_end(*j));
    }
  }
  return has_start;
}

void Owner::direct(Machine& m) {
  if (m.in_flight || ctx_.now < m.next_direct || !members_.may_answer_workers()) return;
  const auto* record = model_.machine(m.id);
  if (!record || m.address.empty() || record->record.doomed()) return;
  bool has_start = false;
  auto commands = reconcile(m, has_start);
  const bool fence = m.token_seen < token(m);
  if (commands.empty() && !m.wanted && !(fence && m.known)) return;
  send_commands(m, std::move(commands), has_start);
}

// Each command that waits for its answer takes a socket, and a machine that is gone gives none until the time-out. With a
// command to each machine of a lost zone at once no socket was left for the state service, whose lease lapsed, and
// commands that had found no socket were taken for machines that don't answer.
bool Owner::has_command_slot(const Machine& m) const {
  if (commands_in_flight_ >= ctx_.tune.command_slots) return false;
  return m.direct_failing_since == 0 || silent_commands_in_flight_ < ctx_.tune.silent_command_slots;
}

void Owner::send_commands(Machine& m, std::vector<WorkerCommand> commands, bool has_start) {
  m.wanted = false;
  m.in_flight = true;
  ctx_.counters["direct_commands"]++;
  const uint64_t used_token = token(m);
  const bool silent = m.direct_failing_since > 0;
  ++commands_in_flight_;
  if (silent) ++silent_commands_in_flight_;
  CommandWorker c{m.address, used_token, m.session, std::move(commands)};
  ctx_.call(std::move(c), ctx_.tune.direct_timeout_s, [this, id = m.id, used_token, has_start, silent](CallDone&& d) {
    --commands_in_flight_;
    if (silent) --silent_commands_in_flight_;
    commands_answered(id, used_token, has_start, d);
  });
}

void Owner::commands_answered(const std::string& id, uint64_t used_token, bool has_start, const CallDone& d) {
  Machine* mine = machine(id);
  if (!mine) return;
  mine->in_flight = false;
  const auto* report = std::get_if<WorkerReport>(&d.reply);
  if ((d.status == 200 || d.status == 409) && report && report->machine == id) {
    mine->direct_failing_since = 0;
    process(*mine, *report);
    machines_to_command_.insert(id);
    if (d.status == 409 && report->token > token(*mine)) mine->next_direct = ctx_.now + ctx_.tune.probe_every_s;
    // The worker hears us again: a new token shuts out what is still under way.
    if (mine->uncertain != 0) write_machine(id, WriteCause::other, [](MachineRecord&) { return true; });
  } else {
    if (has_start) mine->uncertain = std::max(mine->uncertain, used_token);
    if (mine->direct_failing_since == 0) {
      mine->direct_failing_since = ctx_.now;
      mine->session_when_deaf = mine->session;
    }
    mine->next_direct = ctx_.now + ctx_.jitter(ctx_.tune.probe_every_s);
    mine->wanted = true;
  }
}

}  // namespace rushtrestle::coordination
