#include "coordination/shard/task_reconciler.h"

#include <algorithm>
#include <string>

#include "coordination/scheduling/gang_lifecycle.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobStatus;

namespace {

// Users wait for a job to be done, and the next shard leader must know of the end of a gang's
// attempt, so these ends are written sooner. Other ends wait for more changes of the same record:
// the worker keeps an ended task until its end is durable, so nothing is lost if this controller
// fails.
WriteCause write_cause_of_task_end(const ShardJob& job) {
  if (job.desired.status == JobStatus::done) return WriteCause::job_done;
  return job.desired.spec.kind == JobKind::gang ? WriteCause::gang_phase : WriteCause::task_end;
}

// Returns true if the worker did not take up the task, which therefore never joined its attempt.
bool start_refused(ExitCause cause) {
  return cause == ExitCause::no_room || cause == ExitCause::busy || cause == ExitCause::unknown;
}

WorkerCommand command_for(WorkerVerb verb, const ReportedTask& reported, double grace_s = 0) {
  return {verb, reported.job, reported.task, reported.attempt, grace_s};
}

}  // namespace

WorkerCommands TaskReconciler::reconcile(ShardMachine& machine) {
  WorkerCommands result;
  if (!machine.heartbeat_received) return result;
  std::set<TaskKey> present;
  for (const auto& reported : machine.reported) {
    const TaskKey key{reported.job, reported.task};
    const auto placed = machine.placed.find(key);
    ShardJob* job = state_.find_job(reported.job);
    if (!job || placed == machine.placed.end() || placed->second != reported.attempt) {
      stop_unexpected_task(machine, reported, result);
      continue;
    }
    present.insert(key);
    if (reported.state == TaskState::exited) {
      task_ended(machine, *job, reported);
    } else {
      update_task(*job, reported, result);
    }
  }
  start_missing_tasks(machine, present, result);
  return result;
}

// Handles a reported task that is placed on the machine and has not ended.
void TaskReconciler::update_task(ShardJob& job, const ReportedTask& reported,
                                 WorkerCommands& result) {
  for (auto& placement : job.desired.placed) {
    if (placement.task != reported.task) continue;
    if (reported.state == TaskState::running && !placement.running) {
      placement.running = true;
      job.desired.last_start = context_.wall;
      log_first_run(job);
      job_writer_.enqueue(reported.job, job.desired.spec.kind == JobKind::gang
                                            ? WriteCause::gang_phase
                                            : WriteCause::running_mark);
    }
    const auto* durable = state_cache_.job(reported.job);
    const auto* durable_placement = durable ? durable->record.same_placement(placement) : nullptr;
    // A stop is sent only once the decision to stop the task is durable.
    const bool stop_is_durable =
        placement.stopping && durable_placement && durable_placement->stopping;
    if (job.desired.status == JobStatus::cancelled) {
      result.commands.push_back(command_for(WorkerVerb::stop, reported));
    } else if (stop_is_durable && reported.state != TaskState::saving) {
      result.commands.push_back(command_for(WorkerVerb::stop, reported, stop_grace_s(job.desired)));
    }
  }
}

// Handles a reported task that is not, or no longer, placed on the machine. While the durable
// record still places the task there, it gets no command, unless it has not ended and its job is
// cancelled.
void TaskReconciler::stop_unexpected_task(ShardMachine& machine, const ReportedTask& reported,
                                          WorkerCommands& result) {
  const bool ended = reported.state == TaskState::exited;
  const auto* durable = state_cache_.job(reported.job);
  const auto* placement = durable ? durable->record.placement_of(reported.task) : nullptr;
  const bool durably_placed =
      placement && placement->machine == machine.id && placement->attempt == reported.attempt;
  const bool runs_though_cancelled = !ended && state_cache_.cancelled(reported.job);
  if (durably_placed && !runs_though_cancelled) return;
  if (!ended) {
    result.commands.push_back(command_for(WorkerVerb::stop, reported));
  } else if (start_fence_.may_forget(machine)) {
    // A worker that forgot the task under the token of its start carried out a repeat of the start,
    // a minute later, when the job was cancelled.
    result.commands.push_back(command_for(WorkerVerb::forget, reported));
  }
}

// Handles tasks that are placed on the machine but not reported. They are started or, if they were
// to be stopped, unbound once they are known to be gone.
void TaskReconciler::start_missing_tasks(ShardMachine& machine, const std::set<TaskKey>& present,
                                         WorkerCommands& result) {
  // Absence is proof only if the worker has seen the current fencing token and no command is in
  // flight: a start that arrives later would run a task that was taken for gone.
  const bool absence_is_proof =
      !start_fence_.start_may_arrive(machine) && !machine.command_in_flight;
  // No task is started on a machine that reaches no controller, even if commands reach it: the
  // worker's lease would soon expire and end the task.
  const bool may_start = can_commit_decisions(state_store_) && state_.sends_heartbeats(machine);
  std::vector<TaskKey> gone;
  for (const auto& [key, attempt] : machine.placed) {
    if (present.count(key)) continue;
    const ShardJob* job = state_.find_job(key.first);
    if (!job) continue;
    const auto* placement = job->desired.placement_of(key.second);
    const auto* durable = state_cache_.job(key.first);
    const bool placement_durable =
        placement && durable && durable->record.same_placement(*placement);
    if (!placement_durable) continue;
    if (job->desired.status != JobStatus::open || placement->stopping) {
      if (absence_is_proof) gone.push_back(key);
    } else if (may_start && durable->record.status == JobStatus::open &&
               durable->mod_revision != job->indeterminate_revision) {
      result.commands.push_back({WorkerVerb::start, key.first, key.second, attempt, 0});
      result.has_start = true;
    }
  }
  unbind_gone_tasks(gone);
}

void TaskReconciler::unbind_gone_tasks(const std::vector<TaskKey>& gone) {
  for (const auto& [job_id, task] : gone) {
    ShardJob* job = state_.find_job(job_id);
    if (!job) continue;
    state_.unbind(*job, task);
    job_writer_.enqueue(job_id, write_cause_of_task_end(*job));
  }
}

void TaskReconciler::task_ended(ShardMachine& machine, ShardJob& job,
                                const ReportedTask& reported) {
  const std::string id = job.desired.spec.id;
  state_.unbind(job, reported.task);
  // A gang member whose start was refused never joined its attempt and is replaced. Any other end
  // of a member ends the attempt, which is written to the record: a new shard leader would
  // otherwise add members that wait in vain.
  if (!start_refused(reported.cause)) end_attempt(job.desired);
  switch (reported.cause) {
    case ExitCause::done: task_completed(machine, job, reported.task); break;
    case ExitCause::error: failures_.task_failed(machine, job); break;
    case ExitCause::no_room:
    case ExitCause::busy:
    case ExitCause::unknown:
      context_.info("start_refused job=" + id + " task=" + std::to_string(reported.task) +
                    " machine=" + machine.id +
                    " cause=" + std::to_string(static_cast<int>(reported.cause)));
      job.retry_at = context_.now + context_.settings.heartbeat_interval_s / 2;
      break;
    case ExitCause::stopped:
    case ExitCause::none: break;
  }
  if (job.desired.status == JobStatus::open && job.desired.spec.kind != JobKind::service &&
      job.desired.done.size() == job.desired.spec.tasks)
    job.desired.status = JobStatus::done;
  job_writer_.enqueue(id, write_cause_of_task_end(job));
}

void TaskReconciler::task_completed(ShardMachine& machine, ShardJob& job, uint32_t task) {
  auto& done = job.desired.done;
  if (job.desired.spec.kind == JobKind::array) done.insert(task);
  // The members of a gang complete together, so a member whose machine was lost before it reported
  // its end is done, too.
  if (job.desired.spec.kind == JobKind::gang)
    for (uint32_t member = 0; member < job.desired.spec.tasks; ++member) done.insert(member);
  state_.update_pending(job);
  machine.failed_jobs.clear();
  failures_.update_verdict(machine);
  job.failed_on.clear();
  job.backoff_level = 0;
}

// Logs one line per job that shows where the time went until all its tasks ran. Times are in
// milliseconds: `seen_ms` from the job's acceptance until this controller took it up, the others
// from then on.
void TaskReconciler::log_first_run(ShardJob& job) {
  FirstRunTimes& times = job.first_run;
  const store::JobRecord& record = job.desired;
  if (times.adopted_at == 0 || times.all_running_at != 0 ||
      record.running() + record.done.size() < record.spec.tasks)
    return;
  times.all_running_at = context_.now;
  if (!context_.logs(LogLine::Level::debug)) return;
  const auto to_ms = [](double seconds) {
    return std::to_string(static_cast<int>(seconds * 1000));
  };
  const auto ms_until = [&](double at) { return to_ms(std::max(0.0, at - times.adopted_at)); };
  const double seen_after_s = context_.wall - record.submitted - (context_.now - times.adopted_at);
  context_.debug(
      "job_running_whole job=" + record.spec.id + " class=" + record.spec.job_class +
      " seen_ms=" + to_ms(seen_after_s) + " first_placed_ms=" + ms_until(times.first_placed_at) +
      " last_placed_ms=" + ms_until(times.last_placed_at) +
      " written_ms=" + ms_until(times.first_written_at) + " running_ms=" + ms_until(context_.now) +
      " image_fetches=" + std::to_string(times.image_fetches) +
      " tasks=" + std::to_string(record.spec.tasks));
}

}  // namespace rushtrestle::coordination
