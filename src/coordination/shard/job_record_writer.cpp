#include "coordination/shard/job_record_writer.h"

#include <utility>

#include "coordination/scheduling/gang_lifecycle.h"

namespace rushtrestle::coordination {

using store::MachinePhase;

void JobRecordWriter::enqueue(const std::string& id, WriteCause cause) {
  ShardJob* j = state_.find_job(id);
  if (!j) return;
  spread_stop(j->desired);
  ++j->desired_version;
  state_store_.write_metrics().change(cause);
  const WritePriority priority = priority_of(cause);
  if (j->queued_priority && *j->queued_priority <= priority) return;
  j->queued_priority = priority;
  WriteRequest w;
  w.key = store::job_key(id);
  w.cause = cause;
  w.rank = j->desired.spec.rank;
  w.team = j->desired.spec.team;
  w.prepare = [this, id](Prepared& p) { return prepare(id, p); };
  w.done = [this, id](WriteOutcome outcome, uint64_t mod_revision) {
    on_written(id, outcome, mod_revision);
  };
  state_store_.write(std::move(w));
}

bool JobRecordWriter::prepare(const std::string& id, Prepared& p) {
  ShardJob* owned = state_.find_job(id);
  const auto* durable = state_cache_.job(id);
  const uint64_t held = owned ? membership_.shard_token(owned->shard) : 0;
  if (!owned) return false;
  owned->queued_priority.reset();
  if (!owned->dirty() || !durable || held == 0) return false;
  owned->prepared_version = owned->desired_version;
  // A final state that is durable is never left, whatever we came to think meanwhile.
  if (durable->record.final_state()) owned->desired.status = durable->record.status;
  state_.update_pending(*owned);
  p.expected = durable->mod_revision;
  p.value = to_json(owned->desired);
  if (state_store_.refuses(*p.value)) return false;  // until enough of its tasks have ended
  p.preconditions.push_back({store::shard_key(owned->shard), held});
  // Whoever cancels a job whose record is too large to be written again writes beside it
  // (JobService::write_cancellation): what was decided before that must not stand after it.
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

void JobRecordWriter::on_written(const std::string& id, WriteOutcome outcome,
                                 uint64_t mod_revision) {
  ShardJob* owned = state_.find_job(id);
  if (!owned) return;
  if (outcome == WriteOutcome::applied) {
    owned->durable_version = owned->prepared_version;
    if (owned->first_run.first_written_at == 0 && owned->first_run.first_placed_at > 0)
      owned->first_run.first_written_at = context_.now;
    queue_commands_for(*owned);
    if (state_.pending_jobs().count(id) != 0) state_.request_scheduling();
    if (owned->desired.final_state() && owned->desired.placed.empty() && !owned->dirty() &&
        !state_.jobs_that_lost_tasks().count(id))
      state_.drop_job(id);
  } else if (outcome != WriteOutcome::skipped) {
    if (outcome == WriteOutcome::refused)
      owned->retry_at = context_.now + context_.settings.lease_s;
    queue_commands_for(*owned);
    reset_to_durable(id);
    owned = state_.find_job(id);
    if (!owned) return;
    queue_commands_for(*owned);
    if (outcome == WriteOutcome::unsettled) settle_by_writing(*owned, mod_revision);
  }
}

// A write without an answer may be carried out seconds later, over what its shard leader has read
// and begun from meanwhile: tasks that were started by the record as it was ran on, while the late
// write placed them elsewhere. Any write moves the mod revision, and only one of the two is carried
// out; until then nothing is started (start_missing_tasks).
void JobRecordWriter::settle_by_writing(ShardJob& j, uint64_t mod_revision) {
  j.unsettled_revision = mod_revision;
  enqueue(j.desired.spec.id, WriteCause::placement);
}

// What is durable now may be started, stopped or, where tasks have left, forgotten.
void JobRecordWriter::queue_commands_for(ShardJob& j) {
  for (const auto& p : j.desired.placed) dispatch_queue_.add(p.machine);
  dispatch_queue_.merge(j.left_machines);
  j.left_machines.clear();
}

void JobRecordWriter::reset_to_durable(const std::string& id) {
  ShardJob* j = state_.find_job(id);
  const auto* durable = state_cache_.job(id);
  // Over, and without a machine: what was planned here since can't become durable any more.
  if (state_cache_.finished_job(id)) state_.drop_job(id);
  if (!j || !durable) return;
  state_.replace_desired(*j, durable->record);
  drop_deleted_placements(id);
  state_.request_scheduling();
}

// The record may still place tasks on a machine that is gone: its shard leader crashed before it
// wrote that, or the write had no answer and the record was taken up again after the machine had
// gone. Nothing would ever report those tasks, and their job would never end.
void JobRecordWriter::drop_deleted_placements(const std::string& id) {
  ShardJob* j = state_.find_job(id);
  std::vector<uint32_t> gone;
  for (const auto& p : j->desired.placed)
    if (const auto* m = state_cache_.machine(p.machine);
        m && m->record.phase == MachinePhase::deleted)
      gone.push_back(p.task);
  if (gone.empty()) return;
  for (const uint32_t t : gone) state_.unbind_lost_member(*j, t);
  enqueue(id, WriteCause::placement);
}

}  // namespace rushtrestle::coordination
