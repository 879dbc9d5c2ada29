#include "coordination/shard/task_reconciler.h"

#include <algorithm>

#include "coordination/scheduling/gang_lifecycle.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobStatus;

namespace {

// Somebody waits for a job to be done, and the end of a gang's attempt must not be unknown to the
// next shard leader. Other ends wait for more of the same record: the worker keeps what has ended
// until the end is durable, so nothing is lost with us.
WriteCause cause_of_end(const ShardJob& j) {
  if (j.desired.status == JobStatus::done) return WriteCause::job_done;
  return j.desired.spec.kind == JobKind::gang ? WriteCause::gang_phase : WriteCause::task_end;
}

}  // namespace

std::vector<WorkerCommand> TaskReconciler::reconcile(ShardMachine& m, bool& has_start) {
  std::vector<WorkerCommand> commands;
  has_start = false;
  if (!m.known) return commands;
  std::set<TaskKey> present;
  for (const auto& t : m.reported) {
    const TaskKey key{t.job, t.task};
    const auto placed = m.placed.find(key);
    ShardJob* j = state_.find_job(t.job);
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
void TaskReconciler::update_task(ShardJob& j, const ReportedTask& t,
                                 std::vector<WorkerCommand>& commands) {
  for (auto& p : j.desired.placed) {
    if (p.task != t.task) continue;
    if (t.state == TaskState::running && !p.running) {
      p.running = true;
      j.desired.last_start = context_.wall;
      log_first_run(j);
      job_writer_.enqueue(t.job, j.desired.spec.kind == JobKind::gang ? WriteCause::gang_phase
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
void TaskReconciler::stop_unexpected_task(const ShardMachine& m, const ReportedTask& t,
                                          std::vector<WorkerCommand>& commands) const {
  const auto* durable = state_cache_.job(t.job);
  const auto* d = durable ? durable->record.placement_of(t.task) : nullptr;
  const bool cancelled_runs = t.state != TaskState::exited && state_cache_.cancelled(t.job);
  if (d && d->machine == m.id && d->attempt == t.attempt && !cancelled_runs) return;
  if (t.state != TaskState::exited) {
    commands.push_back({WorkerVerb::stop, t.job, t.task, t.attempt, 0});
  } else if (m.unacknowledged_start == 0 && m.highest_token_seen >= state_.fencing_token(m)) {
    // A start of this attempt that may still arrive would run it again after this.
    commands.push_back({WorkerVerb::forget, t.job, t.task, t.attempt, 0});
  }
}

// Tasks that are placed on the machine and not there: started, or, if they were to be stopped,
// known to be gone.
bool TaskReconciler::start_missing_tasks(ShardMachine& m, const std::set<TaskKey>& present,
                                         std::vector<WorkerCommand>& commands) {
  // Absence counts only in a heartbeat given under our fencing token, with no command of ours under
  // way.
  const bool absence_counts = m.unacknowledged_start == 0 &&
                              m.highest_token_seen >= state_.fencing_token(m) &&
                              !m.command_in_flight;
  const bool may_start = may_act(state_store_) && state_.sends_heartbeats(m);
  bool has_start = false;
  std::vector<TaskKey> gone;
  for (const auto& [key, attempt] : m.placed) {
    if (present.count(key)) continue;
    ShardJob* j = state_.find_job(key.first);
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
    if (ShardJob* j = state_.find_job(job_id)) {
      state_.unbind(*j, task);
      job_writer_.enqueue(job_id, cause_of_end(*j));
    }
  }
  return has_start;
}

void TaskReconciler::task_ended(ShardMachine& m, ShardJob& j, const ReportedTask& t) {
  const std::string id = j.desired.spec.id;
  state_.unbind(j, t.task);
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
      state_.update_pending(j);
      m.failed_jobs.clear();
      failures_.judge(m);
      j.failed_on.clear();
      j.backoff_level = 0;
      break;
    case ExitCause::error: failures_.task_failed(m, j); break;
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
  job_writer_.enqueue(id, cause_of_end(j));
}

// One line a job: where the time went until all its tasks ran.
void TaskReconciler::log_first_run(ShardJob& j) {
  if (j.first_run.adopted_at == 0 || j.first_run.whole_at != 0 ||
      j.desired.running() + j.desired.done.size() < j.desired.spec.tasks)
    return;
  j.first_run.whole_at = context_.now;
  if (!context_.logs(LogLine::Level::debug)) return;
  const auto ms = [&](double at) {
    return std::to_string(static_cast<int>(std::max(0.0, at - j.first_run.adopted_at) * 1000));
  };
  context_.debug(
      "job " + j.desired.spec.id + " of " + j.desired.spec.job_class + " runs whole: seen " +
      std::to_string(static_cast<int>(
          (context_.wall - j.desired.submitted - (context_.now - j.first_run.adopted_at)) * 1000)) +
      " ms after its acceptance, then placed after " + ms(j.first_run.first_placed_at) + " to " +
      ms(j.first_run.last_placed_at) + ", written " + ms(j.first_run.first_written_at) +
      ", running " + ms(context_.now) + "; " + std::to_string(j.first_run.image_fetches) + " of " +
      std::to_string(j.desired.spec.tasks) + " tasks without their image");
}

}  // namespace rushtrestle::coordination
