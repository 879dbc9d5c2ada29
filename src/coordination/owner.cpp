#include "coordination/owner.h"

#include <algorithm>
#include <utility>

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
  for (const auto& [id, m] : model_.present_machines())
    if (m->record.part == part) machine_changed(id);
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
    machines_to_command_.insert(m->id);
  }
}

void Owner::update_pending(const OwnedJob& j) {
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
  update_pending(j);
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
  if (gone.empty()) return;
  for (const uint32_t t : gone) lose_member(*j, t);
  mark(id, WriteCause::placement);
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
  // Over, and without a machine: what was planned here since can't become durable any more.
  if (model_.finished_job(id)) drop_job(id);
  if (!j || !durable) return;
  for (const auto& p : j->cur.placed) index(j->cur, p, -1);
  j->cur = durable->record;
  if (model_.cancelled(id)) j->cur.status = JobStatus::cancelled;
  j->written = j->version;
  for (const auto& p : j->cur.placed) index(j->cur, p, 1);
  update_pending(*j);
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
    update_pending(*j);
    for (const auto& p : j->cur.placed) machines_to_command_.insert(p.machine);
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
  if (m->address.empty()) m->address = durable->record.address;
  machines_to_command_.insert(id);
  want_schedule_ = true;
}

void Owner::machine_gone(const std::string& id) {
  TasksOnMachine tasks;
  if (const auto on = placed_on_.find(id); on != placed_on_.end()) tasks = on->second;
  // Written with their next placement, or after a pass that finds none: apart, the two writes of each of some
  // hundreds of jobs took twice as long to leave when dozens of machines died at once.
  for (const auto& [key, attempt] : tasks) {
    lose_member(*job(key.first), key.second);
    jobs_that_lost_tasks_.insert(key.first);
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
  update_pending(j);
  want_schedule_ = true;
}

// The task's machine is gone. A gang that runs can't go on without a member; one that still gathers takes a
// replacement.
void Owner::lose_member(OwnedJob& j, uint32_t task) {
  const bool gathering = gang_phase(j.cur) == GangPhase::gathering;
  unplace(j, task);
  if (!gathering) end_attempt(j.cur);
}

// Somebody waits for a job to be done, and the end of a gang's attempt must not be unknown to the next owner. Other ends
// wait for more of the same record: the worker keeps what has ended until the end is durable, so nothing is lost with us.
WriteCause Owner::cause_of_end(const OwnedJob& j) const {
  if (j.cur.status == JobStatus::done) return WriteCause::job_done;
  return j.cur.spec.kind == JobKind::gang ? WriteCause::gang_phase : WriteCause::task_end;
}

void Owner::mark(const std::string& id, WriteCause cause) {
  OwnedJob* j = job(id);
  if (!j) return;
  spread_stop(j->cur);
  ++j->version;
  link_.ledger().change(cause);
  const WritePriority priority = priority_of(cause);
  if (j->queued_priority && *j->queued_priority <= priority) return;
  j->queued_priority = priority;
  WriteRequest w;
  w.key = store::job_key(id);
  w.cause = cause;
  w.rank = j->cur.spec.rank;
  w.team = j->cur.spec.team;
  w.prepare = [this, id](Prepared& p) { return prepare_job_write(id, p); };
  w.done = [this, id](WriteOutcome outcome, uint64_t stamp) { job_written(id, outcome, stamp); };
  link_.write(std::move(w));
}

bool Owner::prepare_job_write(const std::string& id, Prepared& p) {
  OwnedJob* owned = job(id);
  const auto* durable = model_.job(id);
  const uint64_t held = owned ? members_.held(owned->part) : 0;
  if (!owned) return false;
  owned->queued_priority.reset();
  if (!owned->dirty() || !durable || held == 0) return false;
  owned->prepared = owned->version;
  // A final state that is durable is never left, whatever we came to think meanwhile.
  if (durable->record.final_state()) owned->cur.status = durable->record.status;
  update_pending(*owned);
  p.expected = durable->stamp;
  p.value = to_json(owned->cur);
  if (link_.refuses(*p.value)) return false;  // until enough of its tasks have ended
  p.conditions.push_back({store::part_key(owned->part), held});
  // Whoever cancels a job whose record is too large to be written again writes beside it (Users::write_cancel): what
  // was decided before that must not stand after it.
  if (link_.oversized(to_json(durable->record)))
    p.conditions.push_back({store::cancel_key(id), model_.stamp_of(store::cancel_key(id))});
  // A new placement holds only if its machine was not offered or condemned meanwhile.
  for (const auto& placed : owned->cur.placed) {
    if (!durable->record.same_placement(placed))
      p.conditions.push_back({store::machine_key(placed.machine), model_.stamp_of(store::machine_key(placed.machine))});
  }
  return true;
}

void Owner::job_written(const std::string& id, WriteOutcome outcome, uint64_t stamp) {
  OwnedJob* owned = job(id);
  if (!owned) return;
  if (outcome == WriteOutcome::applied) {
    owned->written = owned->prepared;
    if (owned->first_written_at == 0 && owned->first_placed_at > 0) owned->first_written_at = ctx_.now;
    command_machines_of(*owned);
    want_schedule_ |= pending_.count(id) != 0;
    if (owned->cur.final_state() && owned->cur.placed.empty() && !owned->dirty() && !jobs_that_lost_tasks_.count(id))
      drop_job(id);
  } else if (outcome != WriteOutcome::skipped) {
    if (outcome == WriteOutcome::refused) owned->retry_at = ctx_.now + ctx_.settings.lease_s;
    command_machines_of(*owned);
    rebase(id);
    owned = job(id);
    if (!owned) return;
    command_machines_of(*owned);
    if (outcome == WriteOutcome::unsettled) settle_by_writing(*owned, stamp);
  }
}

// A write without an answer may be carried out seconds later, over what its owner has read and begun from meanwhile: tasks
// that were started by the record as it was ran on, while the late write placed them elsewhere. Any write moves the stamp,
// and only one of the two is carried out; until then nothing is started (start_absent).
void Owner::settle_by_writing(OwnedJob& j, uint64_t stamp) {
  j.unsettled_stamp = stamp;
  mark(j.cur.spec.id, WriteCause::placement);
}

// What is durable now may be started, stopped or, where tasks have left, forgotten.
void Owner::command_machines_of(OwnedJob& j) {
  for (const auto& p : j.cur.placed) machines_to_command_.insert(p.machine);
  machines_to_command_.merge(j.left);
  j.left.clear();
}

void Owner::write_machine(const std::string& id, WriteCause cause, std::function<bool(MachineRecord&)> change) {
  Machine* m = machine(id);
  if (!m || m->writing) return;
  m->writing = true;
  WriteRequest w;
  w.key = store::machine_key(id);
  w.cause = cause;
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
      machines_to_command_.insert(id);
    }
  };
  link_.write(std::move(w));
}

// Peers ask this of machines that they are responsible for, so ours are left out: with them, the messages between
// controllers grew with the fleet and cost as much processor time as the workers' reports.
std::vector<std::string> Owner::heard_of_other_parts() const {
  std::vector<std::string> out;
  for (const auto& [id, at] : heard_) {
    const auto mine = machines_.find(id);
    const bool ours = mine != machines_.end() && members_.held(mine->second.part) != 0;
    if (!ours && ctx_.now - at < ctx_.tune.probe_after_s) out.push_back(id);
  }
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
        if (m->wanted) machines_to_command_.insert(id);
      }
    }
    std::erase_if(heard_, [&](const auto& h) { return ctx_.now - h.second > ctx_.settings.lease_s; });
    std::erase_if(relaying_since_, [&](const auto& r) { return !heard_.count(r.first); });
    std::erase_if(promises_, [&](const Promise& p) { return ctx_.now > p.until; });
    want_schedule_ = true;
  }
  if (ctx_.now >= next_scan_ && can_act()) {
    next_scan_ = ctx_.now + ctx_.housekeeping_every(ctx_.operators.scan_period_s);
    for (const int part : parts_) scan(part);
  }
}

double Owner::next_due() const {
  double due = next_health_;
  if (can_act()) {
    due = std::min(due, next_scan_);
    if (want_schedule_) due = std::min(due, next_schedule_);
  }
  // Those left by `work` are for the next batch, or for the next answer that makes a slot free.
  if (!machines_to_command_.empty() && commands_in_flight_ < ctx_.tune.command_slots) due = ctx_.now;
  if (!command_later_.empty()) due = std::min(due, command_later_.begin()->first);
  return due;
}

void Owner::work() {
  if (want_schedule_ && can_act() && ctx_.now >= next_schedule_) {
    want_schedule_ = false;
    next_schedule_ = ctx_.now + ctx_.settings.report_s / 50;
    for (const int part : parts_)
      if (members_.held(part) != 0) schedule(part);
    for (const auto& id : std::exchange(jobs_that_lost_tasks_, {})) mark(id, WriteCause::placement);
  }
  command_machines();
}

// In turn by id, a bounded number in a batch: with little processor time the commands to all machines of a part that was
// just taken over took seconds, in which no renewal of the lease left, and the part was lost again.
void Owner::command_machines() {
  constexpr size_t kMostInABatch = 16;
  while (!command_later_.empty() && command_later_.begin()->first <= ctx_.now)
    machines_to_command_.insert(command_later_.extract(command_later_.begin()).value().second);
  std::vector<std::string> ids;
  auto next = machines_to_command_.upper_bound(last_commanded_);
  for (size_t left = std::min(kMostInABatch, machines_to_command_.size()); left > 0; --left) {
    if (next == machines_to_command_.end()) next = machines_to_command_.begin();
    ids.push_back(*next++);
  }
  for (const auto& id : ids) {
    if (commands_in_flight_ >= ctx_.tune.command_slots) return;
    last_commanded_ = id;
    machines_to_command_.erase(id);
    Machine* m = machine(id);
    if (!m) continue;
    if (has_command_slot(*m)) {
      direct(*m);
      // Still something to do later: a pause is over, or an answer outstanding.
      if (m->wanted && !m->in_flight && ctx_.now < m->next_direct) command_later_.emplace(m->next_direct, id);
    } else if (!m->in_flight) {
      command_later_.emplace(ctx_.now + ctx_.tune.probe_every_s / 4, id);
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
  j["commands_in_flight"] = commands_in_flight_;
  return j;
}

}  // namespace rushtrestle::coordination
