#include "coordination/owner.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

#include "coordination/requeue.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;
using store::Placement;

Owner::Owner(Context& ctx, store::Model& model, StateLink& link, Membership& members, ImageCaches& images,
             const Demand& demand)
    : ctx_(ctx), model_(model), link_(link), members_(members), images_(images), demand_(demand) {}

Owner::OwnedJob* Owner::job(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Owner::Machine* Owner::machine(const std::string& id) {
  const auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

uint64_t Owner::token(const Machine& m) const {
  return std::max(members_.held(m.part), model_.stamp_of(store::machine_key(m.id)));
}

int Owner::machine_part(const std::string& id) const {
  const auto* m = model_.machine(id);
  return m ? m->record.part : -1;
}

// ---- parts come and go ----

void Owner::gained(int part) {
  parts_.insert(part);
  for (const auto& [id, m] : model_.machines())
    if (m.record.part == part) machine_changed(id);
  for (const auto& id : model_.live_jobs()) job_changed(id);
  want_schedule_ = true;
}

void Owner::lost(int part) {
  parts_.erase(part);
  std::vector<std::string> gone;
  for (const auto& [id, j] : jobs_)
    if (j.part == part) gone.push_back(id);
  for (const auto& id : gone) drop_job(id);
  for (auto it = machines_.begin(); it != machines_.end();)
    it = it->second.part == part ? machines_.erase(it) : std::next(it);
}

void Owner::index(const JobRecord& r, const Placement& p, double sign) {
  if (sign > 0 && r.spec.image_gb >= 0) {
    const auto* m = model_.machine(p.machine);
    const auto* type = m ? model_.type(m->record.type) : nullptr;
    images_.used(p.machine, r.spec.image, r.spec.image_gb, type ? type->cache_gb : 0);
  }
  team_used_[r.spec.team].add(r.spec.per_task, sign);
  if (sign > 0) {
    placed_on_[p.machine][{r.spec.id, p.task}] = p.attempt;
  } else if (const auto on = placed_on_.find(p.machine); on != placed_on_.end()) {
    on->second.erase({r.spec.id, p.task});
    if (on->second.empty()) placed_on_.erase(on);
  }
  if (Machine* m = machine(p.machine)) {
    m->used.add(r.spec.per_task, sign);
    if (!preemptible(r)) m->pinned += sign > 0 ? 1 : -1;
    if (sign > 0) {
      m->placed[{r.spec.id, p.task}] = p.attempt;
    } else {
      m->placed.erase({r.spec.id, p.task});
    }
    touched_.insert(m->id);
  }
}

void Owner::note_pending(const OwnedJob& j) {
  const auto& r = j.cur;
  if (r.status == JobStatus::open && r.done.size() + r.placed.size() < r.spec.tasks) {
    pending_.insert(r.spec.id);
  } else {
    pending_.erase(r.spec.id);
  }
}

bool Owner::preemptible(const JobRecord& r) const {
  const auto& ranks = ctx_.operators.preemptible;
  return std::find(ranks.begin(), ranks.end(), r.spec.rank) != ranks.end();
}

void Owner::adopt_job(const std::string& id, const JobRecord& record) {
  OwnedJob& j = jobs_[id];
  j.cur = record;
  j.part = members_.part_of_team(record.spec.team);
  if (model_.cancelled(id)) j.cur.status = JobStatus::cancelled;
  if (record.attempts == 0) j.adopted_at = ctx_.now;
  for (const auto& p : j.cur.placed) index(j.cur, p, 1);
  note_pending(j);
  drop_gone_placements(id);
  want_schedule_ = true;
}

// The record may still place tasks on a machine that is gone: its owner crashed before it wrote that, or the
// write had no answer and the record was taken up again after the machine had gone. Nothing would ever
// report those tasks, and their job would never end.
void Owner::drop_gone_placements(const std::string& id) {
  OwnedJob* j = job(id);
  std::vector<uint32_t> gone;
  for (const auto& p : j->cur.placed)
    if (const auto* m = model_.machine(p.machine); m && m->record.phase == MachinePhase::gone) gone.push_back(p.task);
  for (const uint32_t t : gone) unplace(*j, t);
  if (!gone.empty()) mark(id, 1);
}

void Owner::drop_job(const std::string& id) {
  OwnedJob* j = job(id);
  if (!j) return;
  for (const auto& p : j->cur.placed) index(j->cur, p, -1);
  pending_.erase(id);
  jobs_.erase(id);
}

void Owner::rebase(const std::string& id) {
  OwnedJob* j = job(id);
  const auto* durable = model_.job(id);
  if (!j || !durable) return;
  for (const auto& p : j->cur.placed) index(j->cur, p, -1);
  j->cur = durable->record;
  if (model_.cancelled(id)) j->cur.status = JobStatus::cancelled;
  j->written = j->version;
  for (const auto& p : j->cur.placed) index(j->cur, p, 1);
  note_pending(*j);
  drop_gone_placements(id);
  want_schedule_ = true;
}

void Owner::job_changed(const std::string& id) {
  const auto* durable = model_.job(id);
  const int part = members_.part_of_team(durable->record.spec.team);
  for (const auto& p : durable->record.placed) {
    const auto* m = model_.machine(p.machine);
    const auto* type = m ? model_.type(m->record.type) : nullptr;
    if (type) images_.used(p.machine, durable->record.spec.image, durable->record.spec.image_gb, type->cache_gb);
  }
  if (!parts_.count(part)) return;
  OwnedJob* j = job(id);
  const bool over = durable->record.final_state() && durable->record.placed.empty();
  if (!j) {
    if (!over) adopt_job(id, durable->record);
    return;
  }
  // Only the owner writes the rest of the record; others may cancel the job.
  // Its last task may have ended here meanwhile: what a user was told stands all the same.
  if (model_.cancelled(id) && j->cur.status != JobStatus::cancelled) {
    j->cur.status = JobStatus::cancelled;
    note_pending(*j);
    for (const auto& p : j->cur.placed) touched_.insert(p.machine);
  }
  // What the cancelled record does not place will never be durable, so it was not started. Not so for one that was
  // only heard of: a write of ours without an answer may stand below it.
  if (durable->record.status == JobStatus::cancelled) {
    std::vector<uint32_t> unsent;
    for (const auto& p : j->cur.placed) {
      if (!durable->record.same_placement(p)) unsent.push_back(p.task);
    }
    for (const uint32_t t : unsent) unplace(*j, t);
  }
  if (over && j->cur.placed.empty()) drop_job(id);
  want_schedule_ = true;
}

void Owner::machine_changed(const std::string& id) {
  const auto* durable = model_.machine(id);
  Machine* m = machine(id);
  if (durable->record.phase == MachinePhase::gone) {
    machine_gone(id);
    return;
  }
  if (!parts_.count(durable->record.part)) {
    if (m) machines_.erase(id);
    return;
  }
  if (!m) {
    m = &machines_[id];
    m->id = id;
    m->part = durable->record.part;
    m->since = m->last_news = m->last_report = ctx_.now;
    if (const auto on = placed_on_.find(id); on != placed_on_.end()) {
      m->placed = on->second;
      for (const auto& [key, attempt] : m->placed) {
        const auto& r = jobs_.at(key.first).cur;
        m->used.add(r.spec.per_task, 1);
        if (!preemptible(r)) ++m->pinned;
      }
    }
    m->wanted = true;
  }
  m->part = durable->record.part;
  touched_.insert(id);
  want_schedule_ = true;
}

void Owner::machine_gone(const std::string& id) {
  TasksOnMachine tasks;
  if (const auto on = placed_on_.find(id); on != placed_on_.end()) tasks = on->second;
  // Written with their next placement, or after a pass that finds none: apart, the two writes of each of some
  // hundreds of jobs took twice as long to leave when dozens of machines died at once.
  for (const auto& [key, attempt] : tasks) {
    unplace(*job(key.first), key.second);
    bereft_.insert(key.first);
  }
  machines_.erase(id);
  images_.forget(id);
  want_schedule_ = true;
}

// ---- placements and their records ----

void Owner::place(OwnedJob& j, uint32_t task, const std::string& machine_id) {
  // The tasks of a gang start together, as one attempt.
  if (j.cur.spec.kind != JobKind::gang || j.cur.placed.empty()) ++j.cur.attempts;
  j.cur.placed.push_back(Placement{task, machine_id, j.cur.attempts, false, false});
  if (!images_.has(machine_id, j.cur.spec.image)) ++j.fetches;
  if (j.first_placed_at == 0) j.first_placed_at = ctx_.now;
  j.last_placed_at = ctx_.now;
  index(j.cur, j.cur.placed.back(), 1);
}

void Owner::unplace(OwnedJob& j, uint32_t task) {
  auto& placed = j.cur.placed;
  const auto it = std::find_if(placed.begin(), placed.end(), [&](const Placement& p) { return p.task == task; });
  if (it == placed.end()) return;
  index(j.cur, *it, -1);
  j.left.insert(it->machine);
  placed.erase(it);
  note_pending(j);
  want_schedule_ = true;
}

// A gang stops in order only if all its tasks are told within gang_peer_s of the first: one of them has to save or
// make room, so all do.
void Owner::stop_gang_whole(OwnedJob& j) {
  auto& placed = j.cur.placed;
  if (j.cur.spec.kind != JobKind::gang ||
      std::none_of(placed.begin(), placed.end(), [](const Placement& p) { return p.stopping; }))
    return;
  for (auto& p : placed) p.stopping = true;
}

void Owner::mark(const std::string& id, int priority) {
  OwnedJob* j = job(id);
  if (!j) return;
  stop_gang_whole(*j);
  ++j->version;
  if (j->queued_priority <= priority) return;
  j->queued_priority = priority;
  WriteRequest w;
  w.key = store::job_key(id);
  w.priority = priority;
  w.prepare = [this, id](Prepared& p) {
    OwnedJob* owned = job(id);
    const auto* durable = model_.job(id);
    const uint64_t held = owned ? members_.held(owned->part) : 0;
    if (!owned) return false;
    owned->queued_priority = 99;
    if (!owned->dirty() || !durable || held == 0) return false;
    owned->prepared = owned->version;
    // A final state that is durable is never left, whatever we came to think meanwhile.
    if (durable->record.final_state()) owned->cur.status = durable->record.status;
    note_pending(*owned);
    p.expected = durable->stamp;
    p.value = to_json(owned->cur);
    p.conditions.push_back({store::part_key(owned->part), held});
    // A new placement holds only if its machine was not offered or condemned meanwhile.
    for (const auto& placed : owned->cur.placed) {
      if (!durable->record.same_placement(placed))
        p.conditions.push_back({store::machine_key(placed.machine), model_.stamp_of(store::machine_key(placed.machine))});
    }
    return true;
  };
  w.done = [this, id](WriteOutcome outcome, uint64_t) {
    OwnedJob* owned = job(id);
    if (!owned) return;
    if (outcome == WriteOutcome::applied) {
      owned->written = owned->prepared;
      if (owned->first_written_at == 0 && owned->first_placed_at > 0) owned->first_written_at = ctx_.now;
      touch_machines_of(*owned);
      want_schedule_ |= pending_.count(id) != 0;
      if (owned->cur.final_state() && owned->cur.placed.empty() && !owned->dirty() && !bereft_.count(id)) drop_job(id);
    } else if (outcome != WriteOutcome::skipped) {
      if (outcome == WriteOutcome::refused) owned->retry_at = ctx_.now + ctx_.settings.lease_s;
      touch_machines_of(*owned);
      rebase(id);
      touch_machines_of(*owned);
    }
  };
  link_.write(std::move(w));
}

// What is durable now may be started, stopped or, where tasks have left, forgotten.
void Owner::touch_machines_of(OwnedJob& j) {
  for (const auto& p : j.cur.placed) touched_.insert(p.machine);
  touched_.merge(j.left);
  j.left.clear();
}

void Owner::write_machine(const std::string& id, int priority, std::function<bool(MachineRecord&)> change) {
  Machine* m = machine(id);
  if (!m || m->writing) return;
  m->writing = true;
  WriteRequest w;
  w.key = store::machine_key(id);
  w.priority = priority;
  w.prepare = [this, id, change = std::move(change)](Prepared& p) {
    const Machine* mine = machine(id);
    const auto* durable = model_.machine(id);
    if (!mine || !durable || durable->record.doomed()) return false;
    const uint64_t held = members_.held(durable->record.part);
    MachineRecord r = durable->record;
    if (held == 0 || !change(r)) return false;
    p.expected = durable->stamp;
    p.value = to_json(r);
    p.conditions.push_back({store::part_key(durable->record.part), held});
    return true;
  };
  w.done = [this, id](WriteOutcome, uint64_t) {
    if (Machine* mine = machine(id)) {
      mine->writing = false;
      mine->condemning = false;
      touched_.insert(id);
    }
  };
  link_.write(std::move(w));
}

// ---- workers ----

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
  ctx_.counters["reports_passed_on"]++;
  ctx_.call(RelayReport{address, std::move(report)}, ctx_.tune.direct_timeout_s, [this, request](CallDone&& d) {
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
        touched_.insert(m->id);
      } else {
        commands = std::move(all);
      }
    }
  }
  return {200, token(*m), std::move(commands), ""};
}

bool Owner::process(Machine& m, const WorkerReport& report) {
  if (std::make_pair(report.session, report.seq) <= std::make_pair(m.session, m.seq)) return false;
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
    for (const auto& id : changed) mark(id, 1);
  }
  m.notice_s = report.notice_s;
  const auto* record = model_.machine(m.id);
  if (record && record->record.address != report.address) {
    write_machine(m.id, 0, [address = report.address](MachineRecord& r) {
      if (r.address == address) return false;
      r.address = address;
      return true;
    });
  }
  return true;
}

void Owner::task_ended(Machine& m, OwnedJob& j, const ReportedTask& t) {
  constexpr int kFree = 3;
  const std::string id = j.cur.spec.id;
  unplace(j, t.task);
  const bool never_joined = t.cause == ExitCause::no_room || t.cause == ExitCause::busy || t.cause == ExitCause::unknown;
  if (!never_joined) j.attempt_over = std::max(j.attempt_over, t.attempt);
  switch (t.cause) {
    case ExitCause::done:
      if (j.cur.spec.kind == JobKind::array) j.cur.done.insert(t.task);
      // The tasks of a gang complete together: what a lost machine could not tell any more is done, too.
      if (j.cur.spec.kind == JobKind::gang)
        for (uint32_t task = 0; task < j.cur.spec.tasks; ++task) j.cur.done.insert(task);
      note_pending(j);
      m.failed_jobs.clear();
      break;
    case ExitCause::error:
      ctx_.counters["task_errors"]++;
      m.failed_jobs.insert(id);
      if (!m.quarantined && static_cast<int>(m.failed_jobs.size()) >= Tunables::kFaultyJobs) {
        m.quarantined = true;
        ctx_.info("machine " + m.id + " quarantined: tasks of different jobs fail on it");
      }
      j.avoid.insert(m.id);
      ++j.failures;
      // The first failures may be the machines'; a job that fails everywhere waits longer and longer.
      if (j.failures > kFree) {
        j.retry_at = ctx_.now + ctx_.jitter(ctx_.settings.report_s * std::pow(2.0, std::min(j.failures - kFree, 5)));
        j.avoid.clear();
      }
      break;
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
  mark(id, 2);
}

// One line a job: where the time went until all its tasks ran.
void Owner::tell_first_run(OwnedJob& j) {
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
  const bool may_change = can_act();
  for (const auto& t : m.reported) {
    const TaskKey key{t.job, t.task};
    const auto placed = m.placed.find(key);
    OwnedJob* j = job(t.job);
    if (j && placed != m.placed.end() && placed->second == t.attempt) {
      present.insert(key);
      if (t.state == TaskState::exited) {
        task_ended(m, *j, t);
        continue;
      }
      for (auto& p : j->cur.placed) {
        if (p.task != t.task) continue;
        if (t.state == TaskState::running && !p.running) {
          p.running = true;
          j->cur.last_start = ctx_.wall;
          tell_first_run(*j);
          mark(t.job, 3);
        }
        const auto* durable = model_.job(t.job);
        const auto* d = durable ? durable->record.same_placement(p) : nullptr;
        const bool cancelled = j->cur.status == JobStatus::cancelled;
        if (cancelled) {
          commands.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, 0});
        } else if (p.stopping && d && d->stopping && t.state != TaskState::saving) {
          // Only once the commit is durable.
          commands.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, j->cur.spec.save_s});
        }
      }
      continue;
    }
    // Not placed here (any more). While the record still says so, leave it alone.
    const auto* durable = model_.job(t.job);
    const auto* d = durable ? durable->record.placement_of(t.task) : nullptr;
    const bool cancelled_runs = t.state != TaskState::exited && model_.cancelled(t.job);
    if (d && d->machine == m.id && d->attempt == t.attempt && !cancelled_runs) continue;
    if (t.state != TaskState::exited) {
      commands.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, 0});
    } else if (m.uncertain == 0 && m.token_seen >= token(m)) {
      // A start of this attempt that may still arrive would run it again after this.
      commands.push_back({WorkerVerb::forget, t.job, t.task, t.attempt, 0});
    }
  }
  // Absence counts only in a report given under our token, with no command of ours under way.
  const bool absence_counts = m.uncertain == 0 && m.token_seen >= token(m) && !m.in_flight;
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
    } else if (may_change && durable->record.status == JobStatus::open && reports(m)) {
      // On a machine that reaches no controller, though our commands reach it, its lease would soon end it again.
      commands.push_back({WorkerVerb::start, key.first, key.second, attempt, 0});
      has_start = true;
    }
  }
  for (const auto& [job_id, task] : gone) {
    if (OwnedJob* j = job(job_id)) {
      unplace(*j, task);
      mark(job_id, 2);
    }
  }
  return commands;
}

void Owner::direct(Machine& m) {
  if (m.in_flight || ctx_.now < m.next_direct || !members_.may_answer_workers()) return;
  const auto* record = model_.machine(m.id);
  if (!record || record->record.address.empty() || record->record.doomed()) return;
  bool has_start = false;
  auto commands = reconcile(m, has_start);
  const bool fence = m.token_seen < token(m);
  if (commands.empty() && !m.wanted && !(fence && m.known)) return;
  m.wanted = false;
  m.in_flight = true;
  ctx_.counters["direct_commands"]++;
  const std::string id = m.id;
  const uint64_t used_token = token(m);
  CommandWorker c{record->record.address, used_token, m.session, std::move(commands)};
  ctx_.call(std::move(c), ctx_.tune.direct_timeout_s, [this, id, used_token, has_start](CallDone&& d) {
    Machine* mine = machine(id);
    if (!mine) return;
    mine->in_flight = false;
    const auto* report = std::get_if<WorkerReport>(&d.reply);
    if ((d.status == 200 || d.status == 409) && report && report->machine == id) {
      mine->direct_failing_since = 0;
      process(*mine, *report);
      touched_.insert(id);
      if (d.status == 409 && report->token > token(*mine)) mine->next_direct = ctx_.now + ctx_.tune.probe_every_s;
      // The worker hears us again: a new token shuts out what is still under way.
      if (mine->uncertain != 0) write_machine(id, 0, [](MachineRecord&) { return true; });
    } else {
      if (has_start) mine->uncertain = std::max(mine->uncertain, used_token);
      if (mine->direct_failing_since == 0) {
        mine->direct_failing_since = ctx_.now;
        mine->session_when_deaf = mine->session;
      }
      mine->next_direct = ctx_.now + ctx_.jitter(ctx_.tune.probe_every_s);
      mine->wanted = true;
    }
  });
}

void Owner::count_silent() {
  silence_.clear();
  for (const auto& [id, m] : machines_) {
    const auto* r = model_.machine(id);
    if (!r || r->record.address.empty()) continue;
    auto& zone = silence_[r->record.zone];
    ++zone.machines;
    if (!reports(m)) ++zone.silent;
  }
}

bool Owner::mass_silence(const Machine& m) const {
  const auto* record = model_.machine(m.id);
  const auto zone = record ? silence_.find(record->record.zone) : silence_.end();
  return zone != silence_.end() && zone->second.silent > std::max(3.0, zone->second.machines * Tunables::kMassShare);
}

void Owner::condemn(Machine& m, const std::string& why) {
  if (m.condemning || !can_act()) return;
  m.condemning = true;
  ctx_.counters["machines_condemned"]++;
  ctx_.info("machine " + m.id + " condemned: " + why);
  write_machine(m.id, 0, [](MachineRecord& r) {
    r.phase = MachinePhase::condemned;
    return true;
  });
}

void Owner::check_health(Machine& m) {
  const auto* record = model_.machine(m.id);
  if (!record || record->record.doomed()) return;
  if (m.quarantined && m.placed.empty()) return condemn(m, "faulty");
  if (record->record.address.empty()) {
    const auto* type = model_.type(record->record.type);
    const double patience = (type ? type->boot_s : ctx_.settings.lease_s) * Tunables::kBootPatience + ctx_.settings.lease_s;
    if (ctx_.wall - record->record.since > patience && ctx_.now - m.since > ctx_.settings.lease_s)
      condemn(m, "never came up");
    return;
  }
  const double silent = ctx_.now - m.last_news;
  if (silent > ctx_.tune.probe_after_s) {
    m.wanted = true;
    touched_.insert(m.id);
  }
  // Deaf is who speaks and does not hear: silent machines, whose reports came with the end of a cut, were
  // condemned at that very moment for the commands that had failed in it.
  const bool failing = m.direct_failing_since > 0;
  const double deaf = failing ? ctx_.now - std::max(m.direct_failing_since, m.heard_since) : 0;
  const bool lost_both = silent > ctx_.tune.silence_limit_s && failing;
  const bool deaf_only = deaf > ctx_.tune.silence_limit_s;
  // Answers our commands, but reaches no controller: its lease has ended, and would again and again.
  const double unreported = ctx_.now - m.last_report;
  const bool mute = unreported > ctx_.settings.lease_s && !failing;
  if (!lost_both && !deaf_only && !mute) return;
  // Cut off from us, not from others. It hears the answers to what they pass on, or its lease would end
  // and its session with it; but nothing new can be started there, so not for ever.
  // A try to reach us straight takes most of a lease.
  if (ctx_.now - m.relayed_at < ctx_.settings.lease_s && m.session == m.session_when_deaf && deaf < ctx_.tune.relay_limit_s)
    return;
  // Peers that hear it, or many silent at once, point to the network, not to the machine.
  const bool doubtful = mass_silence(m) || ((lost_both || mute) && members_.peer_hears(m.id));
  if (doubtful && std::max({silent, deaf, unreported}) < ctx_.tune.mass_silence_limit_s) return;
  // However sure it looks, only a few go at a time: a cut that peers don't see (one of them just
  // restarted, say) would else cost a whole zone's machines at the same moment.
  std::erase_if(condemned_at_, [&](double t) { return ctx_.now - t > ctx_.tune.silence_limit_s; });
  const double most = std::max(3.0, static_cast<double>(machines_.size()) * Tunables::kCondemnShare);
  if (m.condemning || static_cast<double>(condemned_at_.size()) >= most) return;
  condemned_at_.push_back(ctx_.now);
  condemn(m, lost_both ? "silent" : deaf_only ? "does not hear" : "reaches no controller");
}

void Owner::settle_offer(Machine& m) {
  const auto* record = model_.machine(m.id);
  if (!record || record->record.phase != MachinePhase::offered) return;
  const bool empty = m.placed.empty();
  if (!empty && record->record.drain && (m.pinned == 0 || record->record.next_part < 0)) {
    // The leader takes it back, for a team within its guarantee or because its work fits on fewer machines:
    // what runs here is stopped, saved and queued again. For the latter alone no work is lost.
    const bool spare_work = record->record.next_part < 0;
    std::set<std::string> changed;
    for (const auto& [key, attempt] : m.placed)
      if (OwnedJob* j = job(key.first))
        for (auto& p : j->cur.placed)
          if (p.task == key.second && !p.stopping &&
              !(spare_work && j->cur.spec.kind != JobKind::service && j->cur.spec.checkpoint_s <= 0)) {
            p.stopping = true;
            changed.insert(key.first);
          }
    for (const auto& id : changed) mark(id, 1);
    return;
  }
  write_machine(m.id, 2, [this, empty, id = m.id](MachineRecord& r) {
    if (r.phase != MachinePhase::offered) return false;
    const Machine* mine = machine(id);
    r.drain = false;
    if (empty && mine && mine->placed.empty()) {
      if (r.next_part < 0) {
        r.phase = MachinePhase::released;
        return true;
      }
      r.part = r.next_part;
    }
    r.phase = MachinePhase::assigned;
    r.next_part = -1;
    return true;
  });
}

std::vector<std::string> Owner::heard() const {
  std::vector<std::string> out;
  for (const auto& [id, at] : heard_)
    if (ctx_.now - at < ctx_.tune.probe_after_s) out.push_back(id);
  return out;
}

void Owner::tick() {
  if (ctx_.now >= next_health_) {
    next_health_ = ctx_.now + ctx_.settings.report_s / 4;
    count_silent();
    std::vector<std::string> ids;
    for (const auto& [id, m] : machines_) ids.push_back(id);
    for (const auto& id : ids) {
      if (Machine* m = machine(id)) {
        check_health(*m);
        settle_offer(*m);
        if (m->wanted) touched_.insert(id);
      }
    }
    std::erase_if(heard_, [&](const auto& h) { return ctx_.now - h.second > ctx_.settings.lease_s; });
    std::erase_if(relaying_since_, [&](const auto& r) { return !heard_.count(r.first); });
    std::erase_if(promises_, [&](const Promise& p) { return ctx_.now > p.until; });
    want_schedule_ = true;
  }
  if (ctx_.now >= next_scan_ && can_act()) {
    next_scan_ = ctx_.now + ctx_.operators.scan_period_s;
    for (const int part : parts_) scan(part);
  }
}

void Owner::work() {
  if (want_schedule_ && can_act() && ctx_.now >= next_schedule_) {
    want_schedule_ = false;
    next_schedule_ = ctx_.now + ctx_.settings.report_s / 50;
    for (const int part : parts_)
      if (members_.held(part) != 0) schedule(part);
    for (const auto& id : std::exchange(bereft_, {})) mark(id, 1);
  }
  auto touched = std::move(touched_);
  touched_.clear();
  for (const auto& id : touched)
    if (Machine* m = machine(id)) {
      direct(*m);
      // Still something to do later: a pause is over, or an answer outstanding.
      if (m->wanted && !m->in_flight && ctx_.now < m->next_direct) touched_.insert(id);
    }
}

// ---- scheduling ----

std::vector<Slot> Owner::slots(int part) const {
  std::vector<Slot> out;
  for (const auto& [id, m] : machines_) {
    const auto* record = model_.machine(id);
    if (m.part != part || !record || !record->record.usable() || !m.known || m.quarantined || m.notice_s || m.condemning ||
        m.writing || m.direct_failing_since > 0 || !reports(m))
      continue;
    const auto* type = model_.type(record->record.type);
    if (!type) continue;
    store::Resources free = type->size;
    free.add(m.used, -1);
    for (const auto& p : promises_)
      if (p.machine == id) free.add(p.room, -1);
    out.push_back({id, type, shared_zone(*type, record->record.zone), record->record.spot, free, m.placed.empty(),
                   m.pinned > 0, images_.of(id)});
  }
  return out;
}

ZoneCounts Owner::zones_of(const JobRecord& r) const {
  ZoneCounts zones;
  for (const auto& p : r.placed)
    if (const auto* m = model_.machine(p.machine)) zones[m->record.zone]++;
  return zones;
}

Fit Owner::fit_for(const OwnedJob& j) const {
  Fit fit;
  fit.cpu_per_gpu = cpu_per_gpu_;
  fit.images = &images_;
  fit.avoid = &j.avoid;
  fit.reserve = reserve_;
  fit.spot_only = production_waits_ && can_wait_for_spot(j.cur, ctx_.settings, ctx_.wall);
  const double within = start_within_s(j.cur.spec, ctx_.settings);
  if (ctx_.wall - j.cur.submitted < within) fit.start_within_s = within;
  return fit;
}

// CPUs beside free GPUs are kept for work with GPUs only as long as there are others, and only
// where that does not make a start late for its image: where CPUs are what is short, an idle GPU
// costs less than a service that is down.
Slot* Owner::pick_for(const OwnedJob& j, const ZoneCounts& zones, std::vector<Slot>& slots) const {
  Fit fit = fit_for(j);
  const auto& spec = j.cur.spec;
  const auto late = [&](const Slot& s) {
    return fit.start_within_s > 0 && !images_.has(s.machine, spec.image) &&
           spec.image_gb / std::max(0.01, s.type->fetch_gb_per_s) > fit.start_within_s / 2;
  };
  Slot* slot = pick(spec, zones, slots, fit);
  if (spec.per_task.gpus > 0 || (slot && !late(*slot))) return slot;
  fit.strand_gpus = true;
  Slot* other = pick(spec, zones, slots, fit);
  return !slot || (other && !late(*other)) ? other : slot;
}

bool Owner::within_limit(const std::string& team, const store::Resources& more) const {
  for (const auto& t : ctx_.settings.teams) {
    if (t.name != team) continue;
    store::Resources used = more;
    const auto it = team_used_.find(team);
    if (it != team_used_.end()) used.add(it->second);
    return used.cpus <= t.limit.cpus + store::Resources::kSlack && used.gpus <= t.limit.gpus + store::Resources::kSlack;
  }
  return false;
}

// A record must stay below value_kb: the number of tasks placed at once is bound by it,
// and since the lowest tasks start first, so is the number of holes among the done ones.
uint32_t Owner::placement_room(const JobRecord& r) const {
  constexpr double kPerPlacement = 44, kPerRun = 16, kFrame = 700;
  const double room = ctx_.settings.value_kb * 1024 * 0.9 - kFrame - kPerRun * static_cast<double>(r.done.runs().size());
  const double most = std::max(1.0, room / kPerPlacement);
  return most <= static_cast<double>(r.placed.size()) ? 0
                                                      : static_cast<uint32_t>(most) - static_cast<uint32_t>(r.placed.size());
}

uint32_t Owner::next_pending(const JobRecord& r, uint32_t from) const {
  for (uint32_t t = r.done.first_missing(from); t < r.spec.tasks; t = r.done.first_missing(t + 1))
    if (!r.placement_of(t)) return t;
  return r.spec.tasks;
}

std::vector<Owner::OwnedJob*> Owner::waiting(int part) {
  struct Entry {
    store::Rank rank;
    int group;
    double due;
    OwnedJob* job;
  };
  std::vector<Entry> entries;
  for (const auto& id : pending_) {
    OwnedJob& j = jobs_.at(id);
    if (j.part != part || ctx_.now < j.retry_at || model_.job(id)->record.status != JobStatus::open) continue;
    const int group = order_group(j.cur);
    entries.push_back({j.cur.spec.rank, group, j.cur.submitted + (group == 1 ? j.cur.spec.deadline_s.value_or(0) : 0), &j});
  }
  // Stable: by id in the end, as the set is.
  std::stable_sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    if (a.rank != b.rank) return a.rank > b.rank;
    return std::tie(a.group, a.due) < std::tie(b.group, b.due);
  });
  std::vector<OwnedJob*> out;
  for (const auto& e : entries) out.push_back(e.job);
  return out;
}

// Within a rank: what has waited too long to begin at all, then by deadline or age what can
// still be in time, last what can't be (it would only make others late, too).
int Owner::order_group(const JobRecord& r) const {
  constexpr double kMustBegin_s = 120;  // the users look at who has not begun after four minutes
  if (r.attempts == 0 && ctx_.wall - r.submitted > kMustBegin_s) return 0;
  if (r.spec.deadline_s && ctx_.wall + r.spec.estimate_s > r.submitted + *r.spec.deadline_s) return 2;
  return 1;
}

void Owner::reserve_for_arrivals(int part, const std::vector<OwnedJob*>& waiting) {
  reserve_ = {};
  production_waits_ = false;
  for (const auto& f : demand_.expected(part)) keep_for(reserve_, f.shape, f.jobs * static_cast<double>(f.shape.tasks));
  for (const OwnedJob* j : waiting) {
    const auto& r = j->cur;
    production_waits_ |= !preemptible(r);
    keep_for(reserve_, r.spec, r.spec.tasks - r.done.size() - static_cast<double>(r.placed.size()));
  }
}

// All that is missing or nothing. A gang that has not started yet takes a new member for one that is known to be gone,
// under the same attempt; once one has run, or has ended by itself, the attempt is over for all, and the next
// begins when every old member is known to be gone.
bool Owner::place_gang(const std::string& id, OwnedJob& j, std::vector<Slot>& slots) {
  const auto& placed = j.cur.placed;
  const bool begun = std::any_of(placed.begin(), placed.end(), [](const Placement& p) { return p.running || p.stopping; });
  if (!placed.empty() && (begun || j.attempt_over >= j.cur.attempts)) return false;
  const uint32_t need = j.cur.spec.tasks - static_cast<uint32_t>(placed.size());
  std::vector<std::pair<std::string, store::Resources>> used;
  // No word on the shape: a smaller gang of the same class may fit where this one does not.
  if (placement_room(j.cur) < need || !fits_whole(j, slots, &used)) return false;
  // All in one write, with a condition for each machine.
  std::set<std::string> machines;
  for (const auto& [machine, room] : used) machines.insert(machine);
  if (machines.size() > most_new_machines()) return false;
  uint32_t task = next_pending(j.cur, 0);
  for (const auto& [machine, room] : used) {
    place(j, task, machine);
    for (auto& slot : slots) {
      if (slot.machine != machine) continue;
      slot.free.add(room, -1);
      slot.empty = false;
    }
    task = next_pending(j.cur, task + 1);
  }
  note_pending(j);
  ctx_.counters["placements"]++;
  mark(id, 1);
  return true;
}

bool Owner::place_some(const std::string& id, OwnedJob& j, std::vector<Slot>& slots, bool& no_room) {
  if (j.cur.spec.kind == JobKind::gang) return place_gang(id, j, slots);
  ZoneCounts zones = zones_of(j.cur);
  uint32_t room = placement_room(j.cur);
  // A placement is conditioned on its machine's record, and a transaction takes four conditions an operation:
  // a large array on many machines was refused as malformed, and set aside for a lease, again and again.
  // What needs more machines goes on with the next write; the job's and the part's keys count, too.
  const size_t most_machines = most_new_machines();
  std::set<std::string> unwritten;
  const auto* durable = model_.job(id);
  for (const auto& p : j.cur.placed)
    if (!durable || !durable->record.same_placement(p)) unwritten.insert(p.machine);
  bool any = false;
  for (uint32_t t = next_pending(j.cur, 0); t < j.cur.spec.tasks && room > 0; t = next_pending(j.cur, t + 1)) {
    if (!within_limit(j.cur.spec.team, j.cur.spec.per_task)) break;
    Slot* slot = pick_for(j, zones, slots);
    no_room = slot == nullptr;
    if (no_room) break;
    if (!unwritten.count(slot->machine) && unwritten.size() >= most_machines) break;
    unwritten.insert(slot->machine);
    place(j, t, slot->machine);
    slot->free.add(j.cur.spec.per_task, -1);
    slot->empty = false;
    zones[*slot->zone]++;
    --room;
    any = true;
  }
  if (any) {
    note_pending(j);
    ctx_.counters["placements"]++;
    mark(id, 1);
  }
  return any;
}

// Jobs of the same shape fit or don't fit alike. Empty: this one is like no other.
std::string Owner::shape_of(const OwnedJob& j) const {
  if (!j.avoid.empty()) return "";
  const auto& s = j.cur.spec;
  std::string shape = s.job_class + "|" + s.team + "|" + std::to_string(s.per_task.cpus) + "|" +
                      std::to_string(s.per_task.gpus) + "|" + std::to_string(s.per_task.memory_gb) + "|" +
                      (!s.spot                                              ? ""
                       : can_wait_for_spot(j.cur, ctx_.settings, ctx_.wall) ? "w"
                                                                            : "s") +
                      (s.spread ? "h" + std::to_string((s.tasks + 1) / 2) : "") + (s.one_zone ? "z" : "") +
                      (s.zone ? *s.zone : "");
  if (s.types)
    for (const auto& t : *s.types) shape += "|" + t;
  if (s.spread || s.one_zone)
    for (const auto& [zone, n] : zones_of(j.cur)) shape += "|" + zone + std::to_string(n);
  return shape;
}

void Owner::schedule(int part) {
  const auto jobs = waiting(part);
  if (jobs.empty()) return;
  cpu_per_gpu_ = 0;
  for (const auto& [id, j] : jobs_)
    if (j.cur.spec.per_task.gpus > 0)
      cpu_per_gpu_ = std::max(cpu_per_gpu_, j.cur.spec.per_task.cpus / j.cur.spec.per_task.gpus);
  reserve_for_arrivals(part, jobs);
  // A queue for each team, served in turn by shares: who has least of its guarantee is next.
  std::map<std::string, std::vector<OwnedJob*>> queues;
  for (OwnedJob* j : jobs) queues[j->cur.spec.team].push_back(j);
  std::map<std::string, size_t> next;
  auto open_slots = slots(part);
  const auto load = [&](const std::string& team) {
    const auto& used = team_used_[team];
    double share = 1;
    for (const auto& [name, s] : ctx_.operators.team_shares)
      if (name == team) share = s;
    for (const auto& t : ctx_.settings.teams)
      if (t.name == team)
        return std::max(t.guarantee.cpus > 0 ? used.cpus / t.guarantee.cpus : 0,
                        t.guarantee.gpus > 0 ? used.gpus / t.guarantee.gpus : 0) /
               share;
    return 1e9;
  };
  // Shapes that did not fit in this pass need not be tried again.
  std::set<std::string> hopeless;
  for (;;) {
    const std::string* team = nullptr;
    for (const auto& [name, queue] : queues)
      if (next[name] < queue.size() && (!team || load(name) < load(*team))) team = &name;
    if (!team) return;
    OwnedJob& j = *queues[*team][next[*team]++];
    const auto& s = j.cur.spec;
    const std::string& id = s.id;
    const std::string shape = shape_of(j);
    if (!shape.empty() && hopeless.count(shape)) continue;
    // Room promised to this job counts for it.
    bool promised = false;
    for (const auto& p : promises_)
      if (p.job == id) {
        promised = true;
        for (auto& slot : open_slots)
          if (slot.machine == p.machine) slot.free.add(p.room);
      }
    if (promised) std::erase_if(promises_, [&](const Promise& p) { return p.job == id && machine(p.machine) == nullptr; });
    // A record that is full, or a write that is, says nothing of the jobs of the same shape behind this one.
    bool no_room = false;
    const bool placed = place_some(id, j, open_slots, no_room);
    if (promised && placed) {
      std::erase_if(promises_, [&](const Promise& p) { return p.job == id; });
    } else if (promised) {
      for (const auto& p : promises_)
        if (p.job == id)
          for (auto& slot : open_slots)
            if (slot.machine == p.machine) slot.free.add(p.room, -1);
    }
    if (!placed && no_room && !shape.empty()) hopeless.insert(shape);
  }
}

// ---- the design's path: nominate, try, commit or roll back ----

bool Owner::fits_whole(const OwnedJob& contender, std::vector<Slot>& picture,
                       std::vector<std::pair<std::string, store::Resources>>* used) const {
  const ZoneCounts zones = zones_of(contender.cur);
  if (!contender.cur.spec.one_zone || contender.cur.spec.zone || !zones.empty())
    return fits_whole_beside(contender, zones, picture, used);
  // The first task's place decides the zone; what is best for it alone may have no room for the rest.
  OwnedJob bound = contender;
  for (const auto& zone : ctx_.settings.zones) {
    bound.cur.spec.zone = zone;
    if (fits_whole_beside(bound, zones, picture, used)) return true;
    if (used) used->clear();
  }
  return false;
}

bool Owner::fits_whole_beside(const OwnedJob& contender, ZoneCounts zones, std::vector<Slot>& picture,
                              std::vector<std::pair<std::string, store::Resources>>* used) const {
  const uint32_t need =
      contender.cur.spec.tasks - contender.cur.done.size() - static_cast<uint32_t>(contender.cur.placed.size());
  store::Resources more;
  std::vector<std::pair<Slot*, store::Resources>> before;
  bool fits = true;
  for (uint32_t i = 0; i < need && fits; ++i) {
    more.add(contender.cur.spec.per_task);
    Slot* slot = within_limit(contender.cur.spec.team, more) ? pick_for(contender, zones, picture) : nullptr;
    fits = slot != nullptr;
    if (!fits) break;
    before.emplace_back(slot, slot->free);
    slot->free.add(contender.cur.spec.per_task, -1);
    zones[*slot->zone]++;
    if (used) used->emplace_back(slot->machine, contender.cur.spec.per_task);
  }
  // Rolled back, to the bit: the picture serves the next trial, too.
  for (auto it = before.rbegin(); it != before.rend(); ++it) it->first->free = it->second;
  return fits;
}

void Owner::scan(int part) {
  auto contenders = waiting(part);
  std::vector<OwnedJob*> candidates;
  for (auto& [id, j] : jobs_) {
    if (j.part != part || j.cur.status != JobStatus::open) continue;
    const std::string reason = nomination_skip_reason(j.cur, ctx_.wall, ctx_.operators, ctx_.settings.clock_error_s);
    if (reason.empty()) {
      ctx_.counters["requeue_nominations_total"]++;
      candidates.push_back(&j);
    } else {
      ctx_.counters["requeue_nomination_skipped_total." + reason]++;
    }
  }
  if (contenders.empty() || candidates.empty()) return;
  // Least lost work first: what can save, then what started last.
  std::sort(candidates.begin(), candidates.end(), [&](const OwnedJob* a, const OwnedJob* b) {
    const auto &x = a->cur, &y = b->cur;
    const bool sx = x.spec.checkpoint_s > 0, sy = y.spec.checkpoint_s > 0;
    if (sx != sy) return sx;
    if (x.last_start != y.last_start) return x.last_start > y.last_start;
    return x.spec.id < y.spec.id;
  });
  auto picture = slots(part);
  std::unordered_map<std::string, size_t> by_machine;
  const auto look = [&] {
    picture = slots(part);
    by_machine.clear();
    for (size_t i = 0; i < picture.size(); ++i) by_machine[picture[i].machine] = i;
  };
  look();
  // With hundreds of both, a copy of the picture for each pair kept reports and renewals waiting for seconds:
  // one picture, rolled back after each trial, and jobs of one shape and number of tasks are tried once.
  std::vector<std::string> shapes;
  for (const OwnedJob* c : contenders) {
    const std::string shape = shape_of(*c);
    shapes.push_back(shape.empty()
                         ? c->cur.spec.id
                         : shape + "#" + std::to_string(c->cur.spec.tasks - c->cur.done.size() - c->cur.placed.size()));
  }
  for (OwnedJob* victim : candidates) {
    std::vector<std::pair<size_t, store::Resources>> before;
    for (const auto& p : victim->cur.placed)
      if (const auto it = by_machine.find(p.machine); it != by_machine.end()) {
        before.emplace_back(it->second, picture[it->second].free);
        picture[it->second].free.add(victim->cur.spec.per_task);
      }
    std::unordered_set<std::string> tried;
    bool committed = false;
    for (size_t i = 0; i < contenders.size() && !committed; ++i) {
      const OwnedJob& contender = *contenders[i];
      const std::string& contender_id = contender.cur.spec.id;
      if (contender.cur.spec.rank <= victim->cur.spec.rank) break;  // sorted by rank
      if (tried.count(shapes[i])) continue;
      if (std::any_of(promises_.begin(), promises_.end(), [&](const Promise& p) { return p.job == contender_id; })) continue;
      std::vector<std::pair<std::string, store::Resources>> used;
      if (!fits_whole(contender, picture, &used)) {
        ctx_.counters["requeue_rollbacks_total"]++;
        tried.insert(shapes[i]);
        continue;
      }
      committed = true;
      ctx_.counters["requeue_commits_total"]++;
      ctx_.info("requeue committed: " + victim->cur.spec.id + " makes room for " + contender_id);
      victim->cur.not_before = ctx_.wall + ctx_.operators.requeue_delay_s;
      for (auto& p : victim->cur.placed) p.stopping = true;
      mark(victim->cur.spec.id, 1);
      for (const auto& [machine_id, room] : used)
        promises_.push_back({contender_id, machine_id, room, ctx_.now + ctx_.settings.lease_s});
      contenders.erase(contenders.begin() + static_cast<long>(i));
      shapes.erase(shapes.begin() + static_cast<long>(i));
    }
    if (committed) {
      look();  // with what was promised
    } else {
      for (auto it = before.rbegin(); it != before.rend(); ++it) picture[it->first].free = it->second;
    }
  }
}

store::Json Owner::stats() {
  store::Json j;
  j["jobs"] = jobs_.size();
  j["machines"] = machines_.size();
  j["parts"] = parts_;
  size_t waiting_jobs = 0;
  for (const int part : parts_) waiting_jobs += waiting(part).size();
  j["waiting"] = waiting_jobs;
  return j;
}

}  // namespace rushtrestle::coordination
