#include "coordination/shard/job_record_writer.h"

#include <set>
#include <utility>
#include <vector>

#include "coordination/scheduling/gang_lifecycle.h"

namespace rushtrestle::coordination {

using store::MachinePhase;

void JobRecordWriter::enqueue(const std::string& id, WriteCause cause) {
  ShardJob* job = state_.find_job(id);
  if (!job) return;
  stop_all_if_any_stopping(job->desired);
  ++job->desired_version;
  state_store_.write_metrics().record_change(cause);
  const WritePriority priority = priority_of(cause);
  if (job->queued_priority && *job->queued_priority <= priority) return;
  job->queued_priority = priority;
  WriteRequest request;
  request.key = store::job_key(id);
  request.cause = cause;
  request.rank = job->desired.spec.rank;
  request.team = job->desired.spec.team;
  request.prepare = [this, id](PreparedWrite& prepared) { return prepare(id, prepared); };
  request.done = [this, id](WriteOutcome outcome, uint64_t mod_revision) {
    on_written(id, outcome, mod_revision);
  };
  state_store_.write(std::move(request));
}

void JobRecordWriter::stop_tasks(const ShardMachine& machine, const TaskFilter& to_stop) {
  std::set<std::string> changed;
  for (const auto& [key, attempt] : machine.placed) {
    ShardJob* job = state_.find_job(key.first);
    if (!job) continue;
    for (auto& placement : job->desired.placed) {
      if (placement.task != key.second || !to_stop(job->desired, placement)) continue;
      placement.stopping = true;
      changed.insert(key.first);
    }
  }
  for (const auto& id : changed) enqueue(id, WriteCause::stop);
}

bool JobRecordWriter::prepare(const std::string& id, PreparedWrite& prepared) {
  ShardJob* job = state_.find_job(id);
  if (!job) return false;
  job->queued_priority.reset();
  const auto* durable = state_cache_.job(id);
  const uint64_t shard_fencing_token = membership_.shard_fencing_token(job->shard);
  if (!job->dirty() || !durable || shard_fencing_token == 0) return false;
  job->prepared_version = job->desired_version;
  // A durable final status never changes, so it overrides what was decided here since.
  if (durable->record.final_state()) job->desired.status = durable->record.status;
  state_.update_pending(*job);
  prepared.expected_mod_revision = durable->mod_revision;
  prepared.value = to_json(job->desired);
  // A record that is too large for the state store is written once enough of its tasks have ended.
  if (state_store_.will_be_refused(*prepared.value)) return false;
  prepared.preconditions.push_back({store::shard_key(job->shard), shard_fencing_token});
  add_preconditions(*job, durable->record, prepared);
  return true;
}

void JobRecordWriter::add_preconditions(const ShardJob& job, const store::JobRecord& durable,
                                        PreparedWrite& prepared) const {
  const auto must_be_unchanged = [&](const std::string& key) {
    prepared.preconditions.push_back({key, state_cache_.mod_revision_of(key)});
  };
  // A job whose record is too large to be written again is cancelled through a separate key
  // (JobService::write_cancellation). With this precondition, a change decided before the
  // cancellation can't become durable after it.
  if (state_store_.oversized(to_json(durable)))
    must_be_unchanged(store::cancel_key(durable.spec.id));
  // A new placement is applied only if its machine's record is unchanged: the machine may have been
  // requested for reassignment or marked for deletion meanwhile.
  for (const auto& placement : job.desired.placed)
    if (!durable.same_placement(placement))
      must_be_unchanged(store::machine_key(placement.machine));
}

void JobRecordWriter::on_written(const std::string& id, WriteOutcome outcome,
                                 uint64_t mod_revision) {
  ShardJob* job = state_.find_job(id);
  if (!job || outcome == WriteOutcome::skipped) return;
  if (outcome == WriteOutcome::applied) {
    on_applied(id, *job);
    return;
  }
  if (outcome == WriteOutcome::refused) job->retry_at = context_.now + context_.settings.lease_s;
  queue_commands_for(*job);
  reset_to_durable(id);
  job = state_.find_job(id);
  if (!job) return;
  queue_commands_for(*job);
  if (outcome == WriteOutcome::indeterminate) supersede_indeterminate_write(*job, mod_revision);
}

void JobRecordWriter::on_applied(const std::string& id, ShardJob& job) {
  job.durable_version = job.prepared_version;
  if (job.first_run.first_written_at == 0 && job.first_run.first_placed_at > 0)
    job.first_run.first_written_at = context_.now;
  queue_commands_for(job);
  if (state_.pending_jobs().count(id) != 0) state_.request_scheduling();
  if (job.desired.final_state() && job.desired.placed.empty() && !job.dirty() &&
      !state_.jobs_that_lost_tasks().count(id))
    state_.drop_job(id);
}

// Queues a second write to settle an unanswered one. The state store may apply the unanswered write
// seconds later, over a record that the shard leader has read and acted on: tasks started from that
// record ran on while the late write placed them elsewhere. Either write changes the mod revision,
// so only one of the two can be applied. Until then no task of the job is started
// (TaskReconciler::start_missing_tasks).
void JobRecordWriter::supersede_indeterminate_write(ShardJob& job, uint64_t mod_revision) {
  job.indeterminate_revision = mod_revision;
  enqueue(job.desired.spec.id, WriteCause::placement);
}

// Queues commands for the machines of the job's placements, where tasks may now be started or
// stopped, and for those that its tasks have left, where the tasks may be forgotten.
void JobRecordWriter::queue_commands_for(ShardJob& job) {
  for (const auto& placement : job.desired.placed) dispatch_queue_.add(placement.machine);
  dispatch_queue_.merge(job.vacated_machines);
  job.vacated_machines.clear();
}

void JobRecordWriter::reset_to_durable(const std::string& id) {
  ShardJob* job = state_.find_job(id);
  const auto* durable = state_cache_.job(id);
  // The durable job is finished and has no placements, so no change decided here can become
  // durable.
  if (state_cache_.finished_job(id)) state_.drop_job(id);
  if (!job || !durable) return;
  state_.replace_desired(*job, durable->record);
  drop_deleted_placements(id);
  state_.request_scheduling();
}

// The record may still place tasks on a deleted machine: the previous shard leader crashed before
// it wrote that they were lost, or that write got no answer and the record was read again after the
// deletion. No worker would ever report those tasks, and their job would never end.
void JobRecordWriter::drop_deleted_placements(const std::string& id) {
  ShardJob* job = state_.find_job(id);
  std::vector<uint32_t> lost_tasks;
  for (const auto& placement : job->desired.placed) {
    const auto* machine = state_cache_.machine(placement.machine);
    if (machine && machine->record.phase == MachinePhase::deleted)
      lost_tasks.push_back(placement.task);
  }
  if (lost_tasks.empty()) return;
  for (const uint32_t task : lost_tasks) state_.unbind_lost_task(*job, task);
  enqueue(id, WriteCause::placement);
}

}  // namespace rushtrestle::coordination
