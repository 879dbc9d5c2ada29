// The simulated workers: heartbeats, leases, commands and the tasks that they run.
#include <algorithm>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

Heartbeat ClusterSimulation::snapshot(Worker& worker) {
  Heartbeat heartbeat;
  heartbeat.machine = worker.id;
  heartbeat.address = worker.address;
  heartbeat.type = worker.type;
  heartbeat.zone = worker.zone;
  heartbeat.spot = worker.spot;
  heartbeat.agent_epoch = worker.agent_epoch;
  heartbeat.sequence = ++worker.sequence;
  heartbeat.fencing_token = worker.fencing_token;
  if (worker.reclaimed_at) heartbeat.notice_s = *worker.reclaimed_at - now_;
  for (const auto& [key, task] : worker.tasks) heartbeat.tasks.push_back(task.reported);
  return heartbeat;
}

// Kills and forgets all tasks, and begins the next agent epoch.
void ClusterSimulation::end_lease(Worker& worker) {
  worker.tasks.clear();
  worker.forgotten.clear();
  ++worker.agent_epoch;
  worker.lease_renewed_at = now_;
  worker.reporting = false;
  worker.next_report = now_;
}

// Starts the task once its image is fetched. A gang's task waits for the others from then on.
void ClusterSimulation::advance_fetching(Worker& worker, const TaskKey& key, Task& task) {
  const auto& spec = jobs_.at(key.first).spec;
  const bool gang = spec.kind == store::JobKind::gang;
  if (now_ < task.fetch_until || (gang && task.gathered_at >= 0)) return;
  if (gang) {
    task.gathered_at = now_;
  } else {
    task.reported.state = TaskState::running;
    task.last_step = now_;
  }
  worker.images.insert(spec.image);
  check_start(worker, key.first, key.second, task.reported.attempt);
  if (now_ < worker.tasks_fail_until || jobs_.at(key.first).tasks_always_fail) {
    task.reported.state = TaskState::exited;
    task.reported.cause = ExitCause::error;
  }
}

void ClusterSimulation::advance_running(const TaskKey& key, Task& task) {
  task.remaining -= now_ - task.last_step;
  task.last_step = now_;
  Job& job = jobs_.at(key.first);
  if (job.spec.kind != store::JobKind::array || task.remaining > 0) return;
  task.reported.state = TaskState::exited;
  task.reported.cause = ExitCause::done;
  job.completed.insert(key.second);
  if (now_ < cancel_at_completion_until_ && job.completed.size() == job.spec.tasks &&
      job.accepted && !job.user_cancelled &&
      std::uniform_real_distribution<>(0, 1)(rng_) < cancel_at_completion_share_)
    at(now_ + std::uniform_real_distribution<>(0, 0.1)(rng_),
       [this, id = key.first] { cancel_by_user(id); });
}

void ClusterSimulation::advance_saving(const TaskKey& key, Task& task) {
  Job& job = jobs_.at(key.first);
  const bool gang = job.spec.kind == store::JobKind::gang;
  const bool all_asked_to_stop = job.tasks_asked_to_stop.size() == job.spec.tasks;
  if (gang && job.tasks_asked_to_stop.size() < job.spec.tasks &&
      now_ - job.first_stop_at < options_.gang_peer_s)
    return;  // its checkpoint is saved; it waits for the other tasks' stop commands
  if (gang && all_asked_to_stop) {
    job.checkpointed = std::max(job.checkpointed, job.progress);
    task.reported.saved = true;
  }
  task.reported.state = TaskState::exited;
  task.reported.cause = ExitCause::stopped;
}

void ClusterSimulation::advance(Worker& worker) {
  if (now_ < worker.hang_until) return;
  check_cancelled(worker);  // before the steps below, which may end tasks
  if (now_ - worker.lease_renewed_at > settings_.lease_s) end_lease(worker);
  for (auto& [key, task] : worker.tasks) {
    const auto& spec = jobs_.at(key.first).spec;
    if (task.reported.state == TaskState::fetching) advance_fetching(worker, key, task);
    if (task.reported.state == TaskState::running) {
      advance_running(key, task);
    } else if (task.reported.state == TaskState::saving && now_ - task.last_step >= spec.save_s) {
      advance_saving(key, task);
    }
  }
  recheck_quotas(worker);
}

void ClusterSimulation::execute(Worker& worker, const std::vector<WorkerCommand>& commands) {
  for (const auto& command : commands) {
    const auto it = worker.tasks.find({command.job, command.task});
    if (command.verb == WorkerVerb::start) {
      if (it == worker.tasks.end()) start_task(worker, command);
    } else if (it != worker.tasks.end() && it->second.reported.attempt == command.attempt) {
      const bool exited = it->second.reported.state == TaskState::exited;
      if (command.verb == WorkerVerb::stop && !exited) stop_task(it->second, command);
      if (command.verb == WorkerVerb::forget && exited) forget_task(worker, command);
    }
  }
  advance(worker);
}

void ClusterSimulation::start_task(Worker& worker, const WorkerCommand& command) {
  if (worker.forgotten.count({command.job, command.task, command.attempt}))
    fail("started again after forget: " + command.job + " on " + worker.id);
  const auto job = jobs_.find(command.job);
  if (job == jobs_.end() || command.task >= job->second.spec.tasks)
    return fail("start of unknown task " + command.job);
  const auto& spec = job->second.spec;
  const auto type = std::find_if(types_.begin(), types_.end(), [&](const auto& machine_type) {
    return machine_type.name == worker.type;
  });
  store::Resources free = type->size;
  for (const auto& [other_key, other] : worker.tasks)
    if (other.reported.state != TaskState::exited)
      free.add(jobs_.at(other_key.first).spec.per_task, -1);
  Task task;
  task.reported = {command.job,         command.task,    command.attempt,
                   TaskState::fetching, ExitCause::none, false};
  if (!spec.per_task.fits(free) || now_ < worker.refuses_starts_until) {
    task.reported.state = TaskState::exited;
    task.reported.cause = ExitCause::no_room;
  } else {
    task.fetch_until =
        now_ + (worker.images.count(spec.image) ? 0 : spec.image_gb / type->fetch_gb_per_s);
    task.remaining = job->second.completed.count(command.task)
                         ? 0
                         : spec.estimate_s * options_.run_factor *
                               (1 + options_.runtime_increase_per_task * command.task);
  }
  worker.tasks[{command.job, command.task}] = task;
  machines_of_job_[command.job].insert(worker.id);
}

void ClusterSimulation::stop_task(Task& task, const WorkerCommand& command) {
  Job& job = jobs_.at(command.job);
  const auto& spec = job.spec;
  const bool can_save = task.reported.state == TaskState::running && command.grace_s >= spec.save_s;
  if (spec.kind == store::JobKind::gang && can_save) {
    if (job.first_stop_at < 0) job.first_stop_at = now_;
    if (now_ - job.first_stop_at <= options_.gang_peer_s)
      job.tasks_asked_to_stop.insert(command.task);
  }
  if (can_save && spec.checkpoint_s > 0) {
    task.reported.state = TaskState::saving;
    task.last_step = now_;
  } else {
    task.reported.state = TaskState::exited;
    task.reported.cause = ExitCause::stopped;
  }
}

void ClusterSimulation::forget_task(Worker& worker, const WorkerCommand& command) {
  const auto it = worker.tasks.find({command.job, command.task});
  // A gang's member that was refused may be placed here again under the same attempt.
  if (it->second.reported.cause != ExitCause::no_room)
    worker.forgotten.emplace(command.job, command.task, command.attempt);
  worker.tasks.erase(it);
}

void ClusterSimulation::worker_step(const std::string& id) {
  const auto it = workers_.find(id);
  if (it == workers_.end() || it->second.phase != Worker::Phase::up) return;
  Worker& worker = it->second;
  if (now_ >= worker.hang_until) {
    advance(worker);
    if (!worker.reporting && now_ >= worker.next_report) worker_report(id);
  }
  advance_gangs();
  if (now_ >= next_full_check_) {
    next_full_check_ = now_ + options_.step_s;
    check_rules();
  }
  at(now_ + options_.step_s, [this, id] { worker_step(id); });
}

void ClusterSimulation::worker_report(const std::string& id) {
  Worker& worker = workers_.at(id);
  worker.reporting = true;
  worker.last_sent = now_;
  const uint64_t serial = ++worker.report_serial;
  const size_t target = worker.target;
  const auto heartbeat = snapshot(worker);
  const auto arrive = [this, id, target, serial, heartbeat] {
    if (!nodes_[target].alive) return;
    const RequestId request = next_request_++;
    report_waiting_[request] = {id, heartbeat.agent_epoch, serial, static_cast<int>(target)};
    deliver(static_cast<int>(target), HandleHeartbeat{request, heartbeat});
  };
  const bool blocked = now_ < worker.heartbeats_blocked_until;
  if (!blocked) send(id, nodes_[target].name, arrive);
  if (now_ < duplicates_until_) at(now_ + duplicate_delay_s_, arrive);
  constexpr size_t kMaxRecordedDeliveries = 400;
  if (now_ < record_until_ && recorded_deliveries_.size() < kMaxRecordedDeliveries)
    for (size_t node_index = 0; node_index < nodes_.size(); ++node_index)
      recorded_deliveries_.push_back([this, node_index, heartbeat] {
        if (nodes_[node_index].alive)
          deliver(static_cast<int>(node_index), HandleHeartbeat{next_request_++, heartbeat});
      });
  const double timeout_s = nodes_[target].alive && !blocked ? 4 : 0.01;
  at(now_ + timeout_s, [this, id, serial] {
    const auto it = workers_.find(id);
    if (it == workers_.end() || !it->second.reporting || it->second.report_serial != serial) return;
    it->second.reporting = false;
    it->second.target = (it->second.target + 1) % nodes_.size();
    it->second.next_report = now_ + 1;
  });
}

CallDone ClusterSimulation::handle_worker_call(const std::string& id, const Call& call) {
  ++counters_.worker_messages;
  Worker& worker = workers_.at(id);
  const auto& body = std::get<PushCommands>(call.body);
  advance(worker);
  CallDone done{call.id, 200, {}};
  if (body.fencing_token < worker.fencing_token || body.agent_epoch != worker.agent_epoch) {
    done.status = 409;
  } else {
    worker.fencing_token = body.fencing_token;
    execute(worker, body.commands);
  }
  done.reply = snapshot(worker);
  return done;
}

}  // namespace rushtrestle::testing
