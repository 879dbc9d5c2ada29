#include "coordination/shard/shard_controller.h"

#include <algorithm>
#include <utility>

namespace rushtrestle::coordination {

using store::JobRecord;
using store::JobStatus;
using store::MachinePhase;

ShardController::ShardController(Context& context, store::StateCache& state_cache,
                                 StateStoreClient& state_store, Membership& membership,
                                 ImageCaches& images, const ArrivalForecast& arrival_forecast)
    : context_(context),
      state_cache_(state_cache),
      state_store_(state_store),
      membership_(membership),
      images_(images),
      state_(context, state_cache, membership, images, dispatch_queue_),
      job_writer_(context, state_cache, state_store, membership, state_, dispatch_queue_),
      machine_writer_(state_cache, state_store, membership, state_, dispatch_queue_),
      failures_(context, state_cache, state_),
      start_fence_(context, state_cache, membership, state_, machine_writer_),
      reconciler_(context, state_cache, state_store, state_, job_writer_, failures_, start_fence_),
      intake_(context, state_cache, state_, job_writer_, machine_writer_, start_fence_),
      heartbeats_(context, state_cache, state_store, membership, state_, dispatch_queue_, intake_,
                  reconciler_, start_fence_),
      dispatcher_(context, state_cache, membership, state_, dispatch_queue_, intake_, reconciler_,
                  start_fence_),
      health_(context, state_cache, state_store, membership, state_, dispatch_queue_,
              machine_writer_, failures_),
      reassignment_(state_cache, state_, job_writer_, machine_writer_),
      scheduler_(context, state_cache, state_, job_writer_, failures_, images, arrival_forecast,
                 preemptor_reservations_),
      requeue_(context, state_, job_writer_, scheduler_, preemptor_reservations_) {}

// ---- shards acquired and lost ----

void ShardController::on_shard_acquired(int shard) {
  state_.shards().insert(shard);
  for (const auto& [id, machine] : state_cache_.present_machines())
    if (machine->record.shard == shard) on_machine_changed(id);
  for (const auto& id : state_cache_.live_jobs()) on_job_changed(id);
  state_.request_scheduling();
}

void ShardController::on_shard_lost(int shard) {
  state_.shards().erase(shard);
  std::vector<std::string> lost_jobs;
  for (const auto& [id, job] : state_.jobs())
    if (job.shard == shard) lost_jobs.push_back(id);
  for (const auto& id : lost_jobs) state_.drop_job(id);
  std::erase_if(state_.machines(),
                [&](const auto& machine) { return machine.second.shard == shard; });
}

// ---- changed records ----

void ShardController::adopt_job(const std::string& id, const JobRecord& record) {
  state_.add_job(id, record);
  job_writer_.drop_deleted_placements(id);
  state_.request_scheduling();
}

void ShardController::record_image_uses(const JobRecord& record) {
  for (const auto& placement : record.placed) {
    const auto* machine = state_cache_.machine(placement.machine);
    const auto* type = machine ? state_cache_.type(machine->record.type) : nullptr;
    if (!type) continue;
    images_.record_use(placement.machine, record.spec.image, record.spec.image_gb, type->cache_gb);
  }
}

void ShardController::on_job_changed(const std::string& id) {
  const JobRecord& durable = state_cache_.job(id)->record;
  const int shard = membership_.shard_of_team(durable.spec.team);
  record_image_uses(durable);
  if (!state_.shards().count(shard)) return;
  ShardJob* job = state_.find_job(id);
  const bool finished = durable.final_state() && durable.placed.empty();
  if (!job) {
    if (!finished) adopt_job(id, durable);
    return;
  }
  apply_cancellation(*job, durable);
  if (finished && job->desired.placed.empty()) state_.drop_job(id);
  state_.request_scheduling();
}

// The shard leader alone writes the job's record, except that other controllers may cancel the job.
void ShardController::apply_cancellation(ShardJob& job, const JobRecord& durable) {
  // The job's last task may have ended here meanwhile, but a cancellation that a user was told of
  // stands.
  if (state_cache_.cancelled(durable.spec.id) && job.desired.status != JobStatus::cancelled) {
    job.desired.status = JobStatus::cancelled;
    state_.update_pending(job);
    for (const auto& placement : job.desired.placed) dispatch_queue_.add(placement.machine);
  }
  if (durable.status != JobStatus::cancelled) return;
  // A placement that the cancelled record lacks can never become durable, so its task was not
  // started. This does not hold for a cancellation known only from peers: the state store may have
  // applied an unanswered write of this controller before the cancellation.
  std::vector<uint32_t> never_started;
  for (const auto& placement : job.desired.placed)
    if (!durable.same_placement(placement)) never_started.push_back(placement.task);
  for (const uint32_t task : never_started) state_.unbind(job, task);
}

void ShardController::on_machine_changed(const std::string& id) {
  const auto& durable = state_cache_.machine(id)->record;
  if (durable.phase == MachinePhase::deleted) {
    on_machine_deleted(id);
    return;
  }
  ShardMachine* machine = state_.find_machine(id);
  if (!state_.shards().count(durable.shard)) {
    if (machine) state_.machines().erase(id);
    return;
  }
  if (!machine) machine = &state_.add_machine(id, durable.shard);
  machine->shard = durable.shard;
  if (machine->address.empty()) machine->address = durable.address;
  dispatch_queue_.add(id);
  state_.request_scheduling();
}

void ShardController::on_machine_deleted(const std::string& id) {
  // The loss of the tasks is written with their next placement, or after a scheduling pass that
  // finds none. With separate writes for loss and placement, the writes of some hundreds of jobs
  // took twice as long to be sent when dozens of machines were lost at once.
  for (const auto& [task, attempt] : state_.tasks_on(id)) {
    state_.unbind_lost_task(*state_.find_job(task.first), task.second);
    state_.jobs_that_lost_tasks().insert(task.first);
  }
  state_.machines().erase(id);
  images_.forget(id);
  state_.request_scheduling();
}

// ---- periodic work ----

void ShardController::check_machines() {
  health_.count_silent_machines();
  std::vector<std::string> ids;
  for (const auto& [id, machine] : state_.machines()) ids.push_back(id);
  for (const auto& id : ids) {
    ShardMachine* machine = state_.find_machine(id);
    if (!machine) continue;
    health_.check(*machine);
    reassignment_.answer_reassignment(*machine);
    if (machine->dispatch_wanted) dispatch_queue_.add(id);
  }
  heartbeats_.remove_expired_entries();
  preemptor_reservations_.expire(context_.now);
  state_.request_scheduling();
}

void ShardController::tick() {
  if (context_.now >= next_health_check_) {
    next_health_check_ = context_.now + context_.settings.heartbeat_interval_s / 4;
    check_machines();
  }
  if (context_.now >= next_scan_ && can_commit_decisions(state_store_)) {
    next_scan_ = context_.now + context_.housekeeping_every(context_.operators.scan_period_s);
    for (const int shard : state_.shards()) requeue_.scan(shard);
  }
}

double ShardController::next_due() const {
  double due = next_health_check_;
  if (can_commit_decisions(state_store_)) {
    due = std::min(due, next_scan_);
    if (state_.scheduling_requested()) due = std::min(due, next_schedule_);
  }
  return std::min(due, dispatcher_.next_due());
}

void ShardController::work() {
  const bool scheduling_due = state_.scheduling_requested() && context_.now >= next_schedule_;
  if (scheduling_due && can_commit_decisions(state_store_)) {
    state_.clear_scheduling_request();
    next_schedule_ = context_.now + context_.settings.heartbeat_interval_s / 50;
    for (const int shard : state_.shards())
      if (membership_.shard_fencing_token(shard) != 0) scheduler_.schedule(shard);
    for (const auto& id : std::exchange(state_.jobs_that_lost_tasks(), {}))
      job_writer_.enqueue(id, WriteCause::placement);
  }
  dispatcher_.dispatch_due_commands();
}

store::Json ShardController::stats() {
  size_t waiting = 0;
  for (const int shard : state_.shards()) waiting += scheduler_.scheduling_queue(shard).size();
  return {{"jobs", state_.jobs().size()},
          {"machines", state_.machines().size()},
          {"parts", state_.shards()},
          {"waiting", waiting},
          {"commands_in_flight", dispatcher_.commands_in_flight()}};
}

}  // namespace rushtrestle::coordination
