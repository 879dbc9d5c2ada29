#include "coordination/shard/shard_controller.h"

#include <algorithm>
#include <utility>

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;
using store::Placement;

ShardController::ShardController(Context& context, store::StateCache& state_cache,
                                 StateStoreClient& state_store, Membership& membership,
                                 ImageCaches& images, const ArrivalForecast& demand)
    : context_(context),
      state_cache_(state_cache),
      state_store_(state_store),
      membership_(membership),
      images_(images),
      arrival_forecast_(demand) {}

ShardController::ShardJob* ShardController::job(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

ShardController::Machine* ShardController::machine(const std::string& id) {
  const auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

uint64_t ShardController::fencing_token(const Machine& m) const {
  return std::max(membership_.shard_token(m.shard),
                  state_cache_.mod_revision_of(store::machine_key(m.id)));
}

int ShardController::shard_of_machine(const std::string& id) const {
  const auto* m = state_cache_.machine(id);
  return m ? m->record.shard : -1;
}

// ---- shards come and go ----

void ShardController::on_shard_acquired(int shard) {
  shards_.insert(shard);
  for (const auto& [id, m] : state_cache_.present_machines())
    if (m->record.shard == shard) on_machine_changed(id);
  for (const auto& id : state_cache_.live_jobs()) on_job_changed(id);
  want_schedule_ = true;
}

void ShardController::on_shard_lost(int shard) {
  shards_.erase(shard);
  std::vector<std::string> gone;
  for (const auto& [id, j] : jobs_)
    if (j.shard == shard) gone.push_back(id);
  for (const auto& id : gone) drop_job(id);
  for (auto it = machines_.begin(); it != machines_.end();)
    it = it->second.shard == shard ? machines_.erase(it) : std::next(it);
}

void ShardController::index(const JobRecord& r, const Placement& p, double sign) {
  if (sign > 0 && r.spec.image_gb >= 0) {
    const auto* m = state_cache_.machine(p.machine);
    const auto* type = m ? state_cache_.type(m->record.type) : nullptr;
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
    dispatch_queue_.insert(m->id);
  }
}

void ShardController::update_pending(const ShardJob& j) {
  const auto& r = j.desired;
  if (r.status == JobStatus::open && r.done.size() + r.placed.size() < r.spec.tasks) {
    pending_.insert(r.spec.id);
  } else {
    pending_.erase(r.spec.id);
  }
}

bool ShardController::preemptible(const JobRecord& r) const {
  const auto& ranks = context_.operators.preemptible;
  return std::find(ranks.begin(), ranks.end(), r.spec.rank) != ranks.end();
}

void ShardController::adopt_job(const std::string& id, const JobRecord& record) {
  ShardJob& j = jobs_[id];
  j.desired = record;
  j.shard = membership_.shard_of_team(record.spec.team);
  if (state_cache_.cancelled(id)) j.desired.status = JobStatus::cancelled;
  if (record.attempts == 0) j.adopted_at = context_.now;
  for (const auto& p : j.desired.placed) index(j.desired, p, 1);
  update_pending(j);
  drop_gone_placements(id);
  want_schedule_ = true;
}

// The record may still place tasks on a machine that is gone: its shard leader crashed before it
// wrote that, or the write had no answer and the record was taken up again after the machine had
// gone. Nothing would ever report those tasks, and their job would never end.
void ShardController::drop_gone_placements(const std::string& id) {
  ShardJob* j = job(id);
  std::vector<uint32_t> gone;
  for (const auto& p : j->desired.placed)
    if (const auto* m = state_cache_.machine(p.machine);
        m && m->record.phase == MachinePhase::deleted)
      gone.push_back(p.task);
  if (gone.empty()) return;
  for (const uint32_t t : gone) lose_member(*j, t);
  enqueue_job_write(id, WriteCause::placement);
}

void ShardController::drop_job(const std::string& id) {
  ShardJob* j = job(id);
  if (!j) return;
  for (const auto& p : j->desired.placed) index(j->desired, p, -1);
  pending_.erase(id);
  jobs_.erase(id);
}

void ShardController::reset_to_durable(const std::string& id) {
  ShardJob* j = job(id);
  const auto* durable = state_cache_.job(id);
  // Over, and without a machine: what was planned here since can't become durable any more.
  if (state_cache_.finished_job(id)) drop_job(id);
  if (!j || !durable) return;
  for (const auto& p : j->desired.placed) index(j->desired, p, -1);
  j->desired = durable->record;
  if (state_cache_.cancelled(id)) j->desired.status = JobStatus::cancelled;
  j->written = j->version;
  for (const auto& p : j->desired.placed) index(j->desired, p, 1);
  update_pending(*j);
  drop_gone_placements(id);
  want_schedule_ = true;
}

void ShardController::on_job_changed(const std::string& id) {
  const auto* durable = state_cache_.job(id);
  const int shard = membership_.shard_of_team(durable->record.spec.team);
  for (const auto& p : durable->record.placed) {
    const auto* m = state_cache_.machine(p.machine);
    const auto* type = m ? state_cache_.type(m->record.type) : nullptr;
    if (type)
      images_.used(p.machine, durable->record.spec.image, durable->record.spec.image_gb,
                   type->cache_gb);
  }
  if (!shards_.count(shard)) return;
  ShardJob* j = job(id);
  const bool over = durable->record.final_state() && durable->record.placed.empty();
  if (!j) {
    if (!over) adopt_job(id, durable->record);
    return;
  }
  // Only the shard leader writes the rest of the record; others may cancel the job.
  // Its last task may have ended here meanwhile: what a user was told stands all the same.
  if (state_cache_.cancelled(id) && j->desired.status != JobStatus::cancelled) {
    j->desired.status = JobStatus::cancelled;
    update_pending(*j);
    for (const auto& p : j->desired.placed) dispatch_queue_.insert(p.machine);
  }
  // What the cancelled record does not place will never be durable, so it was not started. Not so
  // for one that was only learned from peers: a write of ours without an answer may stand below it.
  if (durable->record.status == JobStatus::cancelled) {
    std::vector<uint32_t> unsent;
    for (const auto& p : j->desired.placed) {
      if (!durable->record.same_placement(p)) unsent.push_back(p.task);
    }
    for (const uint32_t t : unsent) unbind(*j, t);
  }
  if (over && j->desired.placed.empty()) drop_job(id);
  want_schedule_ = true;
}

void ShardController::on_machine_changed(const std::string& id) {
  const auto* durable = state_cache_.machine(id);
  Machine* m = machine(id);
  if (durable->record.phase == MachinePhase::deleted) {
    machine_gone(id);
    return;
  }
  if (!shards_.count(durable->record.shard)) {
    if (m) machines_.erase(id);
    return;
  }
  if (!m) {
    m = &machines_[id];
    m->id = id;
    m->shard = durable->record.shard;
    m->since = m->last_seen = m->last_heartbeat = context_.now;
    if (const auto on = placed_on_.find(id); on != placed_on_.end()) {
      m->placed = on->second;
      for (const auto& [key, attempt] : m->placed) {
        const auto& r = jobs_.at(key.first).desired;
        m->used.add(r.spec.per_task, 1);
        if (!preemptible(r)) ++m->pinned;
      }
    }
    m->dispatch_wanted = true;
  }
  m->shard = durable->record.shard;
  if (m->address.empty()) m->address = durable->record.address;
  dispatch_queue_.insert(id);
  want_schedule_ = true;
}

void ShardController::machine_gone(const std::string& id) {
  TasksOnMachine tasks;
  if (const auto on = placed_on_.find(id); on != placed_on_.end()) tasks = on->second;
  // Written with their next placement, or after a pass that finds none: apart, the two writes of
  // each of some hundreds of jobs took twice as long to leave when dozens of machines died at once.
  for (const auto& [key, attempt] : tasks) {
    lose_member(*job(key.first), key.second);
    jobs_that_lost_tasks_.insert(key.first);
  }
  machines_.erase(id);
  images_.forget(id);
  want_schedule_ = true;
}

// ---- placements and their records ----

void ShardController::bind(ShardJob& j, uint32_t task, const std::string& machine_id) {
  // The tasks of a gang start together, as one attempt.
  if (j.desired.spec.kind != JobKind::gang || j.desired.placed.empty()) ++j.desired.attempts;
  j.desired.placed.push_back(Placement{task, machine_id, j.desired.attempts, false, false});
  if (!images_.has(machine_id, j.desired.spec.image)) ++j.fetches;
  if (j.first_placed_at == 0) j.first_placed_at = context_.now;
  j.last_placed_at = context_.now;
  index(j.desired, j.desired.placed.back(), 1);
}

void ShardController::unbind(ShardJob& j, uint32_t task) {
  auto& placed = j.desired.placed;
  const auto it = std::find_if(placed.begin(), placed.end(),
                               [&](const Placement& p) { return p.task == task; });
  if (it == placed.end()) return;
  index(j.desired, *it, -1);
  j.left.insert(it->machine);
  placed.erase(it);
  update_pending(j);
  want_schedule_ = true;
}

// The task's machine is gone. A gang that runs can't go on without a member; one that still gathers
// takes a replacement.
void ShardController::lose_member(ShardJob& j, uint32_t task) {
  const bool gathering = gang_phase(j.desired) == GangPhase::gathering;
  unbind(j, task);
  if (!gathering) end_attempt(j.desired);
}

// Somebody waits for a job to be done, and the end of a gang's attempt must not be unknown to the
// next shard leader. Other ends wait for more of the same record: the worker keeps what has ended
// until the end is durable, so nothing is lost with us.
WriteCause ShardController::cause_of_end(const ShardJob& j) const {
  if (j.desired.status == JobStatus::done) return WriteCause::job_done;
  return j.desired.spec.kind == JobKind::gang ? WriteCause::gang_phase : WriteCause::task_end;
}

void ShardController::enqueue_job_write(const std::string& id, WriteCause cause) {
  ShardJob* j = job(id);
  if (!j) return;
  spread_stop(j->desired);
  ++j->version;
  state_store_.write_metrics().change(cause);
  const WritePriority priority = priority_of(cause);
  if (j->queued_priority && *j->queued_priority <= priority) return;
  j->queued_priority = priority;
  WriteRequest w;
  w.key = store::job_key(id);
  w.cause = cause;
  w.rank = j->desired.spec.rank;
  w.team = j->desired.spec.team;
  w.prepare = [this, id](Prepared& p) { return prepare_job_write(id, p); };
  w.done = [this, id](WriteOutcome outcome, uint64_t mod_revision) {
    job_written(id, outcome, mod_revision);
  };
  state_store_.write(std::move(w));
}

bool ShardController::prepare_job_write(const std::string& id, Prepared& p) {
  ShardJob* owned = job(id);
  const auto* durable = state_cache_.job(id);
  const uint64_t held = owned ? membership_.shard_token(owned->shard) : 0;
  if (!owned) return false;
  owned->queued_priority.reset();
  if (!owned->dirty() || !durable || held == 0) return false;
  owned->prepared = owned->version;
  // A final state that is durable is never left, whatever we came to think meanwhile.
  if (durable->record.final_state()) owned->desired.status = durable->record.status;
  update_pending(*owned);
  p.expected = durable->mod_revision;
  p.value = to_json(owned->desired);
  if (state_store_.refuses(*p.value)) return false;  // until enough of its tasks have ended
  p.preconditions.push_back({store::shard_key(owned->shard), held});
  // Whoever cancels a job whose record is too large to be written again writes beside it
  // (JobService::write_cancel): what was decided before that must not stand after it.
  if (state_store_.oversized(to_json(durable->record)))
    p.preconditions.push_back(
        {store::cancel_key(id), state_cache_.mod_revision_of(store::cancel_key(id))});
  // A new placement holds only if its machine was not offered or marked for deletion meanwhile.
  for (const auto& placed : owned->desired.placed) {
    if (!durable->record.same_placement(placed))
      p.preconditions.push_back({store::machine_key(placed.machine),
                                 state_cache_.mod_revision_of(store::machine_key(placed.machine))});
  }
  return true;
}

void ShardController::job_written(const std::string& id, WriteOutcome outcome,
                                  uint64_t mod_revision) {
  ShardJob* owned = job(id);
  if (!owned) return;
  if (outcome == WriteOutcome::applied) {
    owned->written = owned->prepared;
    if (owned->first_written_at == 0 && owned->first_placed_at > 0)
      owned->first_written_at = context_.now;
    queue_commands_for(*owned);
    want_schedule_ |= pending_.count(id) != 0;
    if (owned->desired.final_state() && owned->desired.placed.empty() && !owned->dirty() &&
        !jobs_that_lost_tasks_.count(id))
      drop_job(id);
  } else if (outcome != WriteOutcome::skipped) {
    if (outcome == WriteOutcome::refused)
      owned->retry_at = context_.now + context_.settings.lease_s;
    queue_commands_for(*owned);
    reset_to_durable(id);
    owned = job(id);
    if (!owned) return;
    queue_commands_for(*owned);
    if (outcome == WriteOutcome::unsettled) settle_by_writing(*owned, mod_revision);
  }
}

// A write without an answer may be carried out seconds later, over what its shard leader has read
// and begun from meanwhile: tasks that were started by the record as it was ran on, while the late
// write placed them elsewhere. Any write moves the mod revision, and only one of the two is carried
// out; until then nothing is started (start_missing_tasks).
void ShardController::settle_by_writing(ShardJob& j, uint64_t mod_revision) {
  j.unsettled_revision = mod_revision;
  enqueue_job_write(j.desired.spec.id, WriteCause::placement);
}

// What is durable now may be started, stopped or, where tasks have left, forgotten.
void ShardController::queue_commands_for(ShardJob& j) {
  for (const auto& p : j.desired.placed) dispatch_queue_.insert(p.machine);
  dispatch_queue_.merge(j.left);
  j.left.clear();
}

void ShardController::write_machine(const std::string& id, WriteCause cause,
                                    std::function<bool(MachineRecord&)> change) {
  Machine* m = machine(id);
  if (!m || m->writing) return;
  m->writing = true;
  WriteRequest w;
  w.key = store::machine_key(id);
  w.cause = cause;
  w.prepare = [this, id, change = std::move(change)](Prepared& p) {
    const Machine* mine = machine(id);
    const auto* durable = state_cache_.machine(id);
    if (!mine || !durable || durable->record.terminating()) return false;
    const uint64_t held = membership_.shard_token(durable->record.shard);
    MachineRecord r = durable->record;
    if (held == 0 || !change(r)) return false;
    p.expected = durable->mod_revision;
    p.value = to_json(r);
    p.preconditions.push_back({store::shard_key(durable->record.shard), held});
    return true;
  };
  w.done = [this, id](WriteOutcome, uint64_t) {
    if (Machine* mine = machine(id)) {
      mine->writing = false;
      mine->marking_for_deletion = false;
      dispatch_queue_.insert(id);
    }
  };
  state_store_.write(std::move(w));
}

// Peers ask this of machines that they are responsible for, so ours are left out: with them, the
// messages between controllers grew with the fleet and cost as much processor time as the workers'
// heartbeats.
std::vector<std::string> ShardController::machines_heard_of_other_shards() const {
  std::vector<std::string> out;
  for (const auto& [id, at] : last_heard_at_) {
    const auto mine = machines_.find(id);
    const bool ours = mine != machines_.end() && membership_.shard_token(mine->second.shard) != 0;
    if (!ours && context_.now - at < context_.tunables.probe_after_s) out.push_back(id);
  }
  return out;
}

void ShardController::tick() {
  if (context_.now >= next_health_) {
    next_health_ = context_.now + context_.settings.heartbeat_interval_s / 4;
    count_silent();
    std::vector<std::string> ids;
    for (const auto& [id, m] : machines_) ids.push_back(id);
    for (const auto& id : ids) {
      if (Machine* m = machine(id)) {
        check_health(*m);
        answer_reassignment(*m);
        if (m->dispatch_wanted) dispatch_queue_.insert(id);
      }
    }
    std::erase_if(last_heard_at_, [&](const auto& h) {
      return context_.now - h.second > context_.settings.lease_s;
    });
    std::erase_if(forwarding_since_, [&](const auto& r) { return !last_heard_at_.count(r.first); });
    std::erase_if(preemptor_reservations_,
                  [&](const PreemptorReservation& p) { return context_.now > p.until; });
    want_schedule_ = true;
  }
  if (context_.now >= next_scan_ && can_act()) {
    next_scan_ = context_.now + context_.housekeeping_every(context_.operators.scan_period_s);
    for (const int shard : shards_) scan_for_requeue(shard);
  }
}

double ShardController::next_due() const {
  double due = next_health_;
  if (can_act()) {
    due = std::min(due, next_scan_);
    if (want_schedule_) due = std::min(due, next_schedule_);
  }
  // Those left by `work` are for the next batch, or for the next answer that makes a slot free.
  if (!dispatch_queue_.empty() && commands_in_flight_ < context_.tunables.command_slots)
    due = context_.now;
  if (!delayed_dispatch_.empty()) due = std::min(due, delayed_dispatch_.begin()->first);
  return due;
}

void ShardController::work() {
  if (want_schedule_ && can_act() && context_.now >= next_schedule_) {
    want_schedule_ = false;
    next_schedule_ = context_.now + context_.settings.heartbeat_interval_s / 50;
    for (const int shard : shards_)
      if (membership_.shard_token(shard) != 0) schedule(shard);
    for (const auto& id : std::exchange(jobs_that_lost_tasks_, {}))
      enqueue_job_write(id, WriteCause::placement);
  }
  dispatch_due_commands();
}

// In turn by id, a bounded number in a batch: with little processor time the commands to all
// machines of a shard that was just taken over took seconds, in which no renewal of the lease left,
// and the shard was lost again.
void ShardController::dispatch_due_commands() {
  constexpr size_t kMostInABatch = 16;
  while (!delayed_dispatch_.empty() && delayed_dispatch_.begin()->first <= context_.now)
    dispatch_queue_.insert(delayed_dispatch_.extract(delayed_dispatch_.begin()).value().second);
  std::vector<std::string> ids;
  auto next = dispatch_queue_.upper_bound(last_commanded_);
  for (size_t left = std::min(kMostInABatch, dispatch_queue_.size()); left > 0; --left) {
    if (next == dispatch_queue_.end()) next = dispatch_queue_.begin();
    ids.push_back(*next++);
  }
  for (const auto& id : ids) {
    if (commands_in_flight_ >= context_.tunables.command_slots) return;
    last_commanded_ = id;
    dispatch_queue_.erase(id);
    Machine* m = machine(id);
    if (!m) continue;
    if (has_command_slot(*m)) {
      dispatch_commands(*m);
      // Still something to do later: a pause is over, or an answer outstanding.
      if (m->dispatch_wanted && !m->in_flight && context_.now < m->next_dispatch)
        delayed_dispatch_.emplace(m->next_dispatch, id);
    } else if (!m->in_flight) {
      delayed_dispatch_.emplace(context_.now + context_.tunables.probe_every_s / 4, id);
    }
  }
}

store::Json ShardController::stats() {
  store::Json j;
  j["jobs"] = jobs_.size();
  j["machines"] = machines_.size();
  j["parts"] = shards_;
  size_t waiting_jobs = 0;
  for (const int shard : shards_) waiting_jobs += scheduling_queue(shard).size();
  j["waiting"] = waiting_jobs;
  j["commands_in_flight"] = commands_in_flight_;
  return j;
}

}  // namespace rushtrestle::coordination
