// The stand-in of the workers: reports, leases, commands and the tasks that they run.
#include <algorithm>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

Heartbeat ClusterSimulation::snapshot(Worker& w) {
  Heartbeat r;
  r.machine = w.id;
  r.address = w.address;
  r.type = w.type;
  r.zone = w.zone;
  r.spot = w.spot;
  r.agent_epoch = w.agent_epoch;
  r.sequence = ++w.sequence;
  r.fencing_token = w.fencing_token;
  if (w.taken_at) r.notice_s = *w.taken_at - now_;
  for (const auto& [key, t] : w.tasks) r.tasks.push_back(t.reported);
  return r;
}

// All is killed and forgotten, and the next agent epoch begins.
void ClusterSimulation::end_lease(Worker& w) {
  w.tasks.clear();
  ++w.agent_epoch;
  w.lease_from = now_;
  w.reporting = false;
  w.next_report = now_;
}

// The image is there: a gang's member waits for the others from now on, any other task runs.
void ClusterSimulation::fetch(Worker& w, const TaskKey& key, Task& t) {
  const auto& spec = jobs_.at(key.first).spec;
  const bool gang = spec.kind == store::JobKind::gang;
  if (now_ < t.fetch_until || (gang && t.gathered_at >= 0)) return;
  if (gang) {
    t.gathered_at = now_;
  } else {
    t.reported.state = TaskState::running;
    t.last_step = now_;
  }
  w.images.insert(spec.image);
  check_start(w, key.first, key.second, t.reported.attempt);
  if (now_ < w.sick_until || jobs_.at(key.first).broken) {
    t.reported.state = TaskState::exited;
    t.reported.cause = ExitCause::error;
  }
}

void ClusterSimulation::run(const TaskKey& key, Task& t) {
  t.remaining -= now_ - t.last_step;
  t.last_step = now_;
  Job& job = jobs_.at(key.first);
  if (job.spec.kind != store::JobKind::array || t.remaining > 0) return;
  t.reported.state = TaskState::exited;
  t.reported.cause = ExitCause::done;
  job.completed.insert(key.second);
  if (now_ < ends_until_ && job.completed.size() == job.spec.tasks && job.accepted &&
      !job.user_cancelled && std::uniform_real_distribution<>(0, 1)(rng_) < ends_share_)
    at(now_ + std::uniform_real_distribution<>(0, 0.1)(rng_),
       [this, id = key.first] { cancel_by_user(id); });
}

void ClusterSimulation::save(const TaskKey& key, Task& t) {
  Job& job = jobs_.at(key.first);
  const bool gang = job.spec.kind == store::JobKind::gang;
  const bool all_told = job.told_to_stop.size() == job.spec.tasks;
  if (gang && job.told_to_stop.size() < job.spec.tasks &&
      now_ - job.first_stop_at < options_.gang_peer_s)
    return;  // has saved, and waits for the others
  if (gang && all_told) {
    job.safe = std::max(job.safe, job.progress);
    t.reported.saved = true;
  }
  t.reported.state = TaskState::exited;
  t.reported.cause = ExitCause::stopped;
}

void ClusterSimulation::advance(Worker& w) {
  if (now_ < w.hang_until) return;
  check_cancelled(w);  // before what ends now has ended
  if (now_ - w.lease_from > settings_.lease_s) end_lease(w);
  for (auto& [key, t] : w.tasks) {
    const auto& spec = jobs_.at(key.first).spec;
    if (t.reported.state == TaskState::fetching) fetch(w, key, t);
    if (t.reported.state == TaskState::running) {
      run(key, t);
    } else if (t.reported.state == TaskState::saving && now_ - t.last_step >= spec.save_s) {
      save(key, t);
    }
  }
  recheck_quotas(w);
}

void ClusterSimulation::execute(Worker& w, const std::vector<WorkerCommand>& commands) {
  for (const auto& c : commands) {
    const std::pair<std::string, uint32_t> key{c.job, c.task};
    const auto it = w.tasks.find(key);
    if (c.verb == WorkerVerb::start) {
      if (it != w.tasks.end()) continue;
      const auto job = jobs_.find(c.job);
      Task t;
      t.reported = {c.job, c.task, c.attempt, TaskState::fetching, ExitCause::none, false};
      if (job == jobs_.end() || c.task >= job->second.spec.tasks) {
        fail("start of unknown task " + c.job);
        continue;
      }
      const auto& spec = job->second.spec;
      const auto type = std::find_if(types_.begin(), types_.end(),
                                     [&](const auto& x) { return x.name == w.type; });
      store::Resources free = type->size;
      for (const auto& [k, other] : w.tasks)
        if (other.reported.state != TaskState::exited)
          free.add(jobs_.at(k.first).spec.per_task, -1);
      if (!spec.per_task.fits(free)) {
        t.reported.state = TaskState::exited;
        t.reported.cause = ExitCause::no_room;
      } else {
        t.fetch_until =
            now_ + (w.images.count(spec.image) ? 0 : spec.image_gb / type->fetch_gb_per_s);
        t.remaining = job->second.completed.count(c.task)
                          ? 0
                          : spec.estimate_s * options_.run_factor * (1 + options_.uneven * c.task);
      }
      w.tasks[key] = t;
      machines_of_job_[c.job].insert(w.id);
    } else if (it != w.tasks.end() && it->second.reported.attempt == c.attempt) {
      auto& r = it->second.reported;
      if (c.verb == WorkerVerb::forget) {
        if (r.state == TaskState::exited) w.tasks.erase(it);
      } else if (r.state != TaskState::exited) {
        const auto& spec = jobs_.at(c.job).spec;
        if (spec.kind == store::JobKind::gang && r.state == TaskState::running &&
            c.grace_s >= spec.save_s) {
          auto& j = jobs_.at(c.job);
          if (j.first_stop_at < 0) j.first_stop_at = now_;
          if (now_ - j.first_stop_at <= options_.gang_peer_s) j.told_to_stop.insert(c.task);
        }
        if (r.state == TaskState::running && spec.checkpoint_s > 0 && c.grace_s >= spec.save_s) {
          r.state = TaskState::saving;
          it->second.last_step = now_;
        } else {
          r.state = TaskState::exited;
          r.cause = ExitCause::stopped;
        }
      }
    }
  }
  advance(w);
}

void ClusterSimulation::worker_step(const std::string& id) {
  const auto it = workers_.find(id);
  if (it == workers_.end() || it->second.phase != Worker::Phase::up) return;
  Worker& w = it->second;
  if (now_ >= w.hang_until) {
    advance(w);
    if (!w.reporting && now_ >= w.next_report) worker_report(id);
  }
  advance_gangs();
  if (now_ >= next_full_check_) {
    next_full_check_ = now_ + options_.step_s;
    check_rules();
  }
  at(now_ + options_.step_s, [this, id] { worker_step(id); });
}

void ClusterSimulation::worker_report(const std::string& id) {
  Worker& w = workers_.at(id);
  w.reporting = true;
  w.last_sent = now_;
  const uint64_t serial = ++w.report_serial;
  const size_t target = w.target;
  const auto heartbeat = snapshot(w);
  const auto arrive = [this, id, target, serial, heartbeat] {
    if (!nodes_[target].alive) return;
    const RequestId r = next_request_++;
    report_waiting_[r] = {id, heartbeat.agent_epoch, serial, static_cast<int>(target)};
    deliver(static_cast<int>(target), HandleHeartbeat{r, heartbeat});
  };
  const bool mute = now_ < w.mute_until;
  if (!mute) send(id, nodes_[target].name, arrive);
  if (now_ < copies_until_) at(now_ + copies_late_, arrive);
  constexpr size_t kMostCopies = 400;
  if (now_ < copies_kept_until_ && kept_copies_.size() < kMostCopies)
    for (size_t n = 0; n < nodes_.size(); ++n)
      kept_copies_.push_back([this, n, heartbeat] {
        if (nodes_[n].alive)
          deliver(static_cast<int>(n), HandleHeartbeat{next_request_++, heartbeat});
      });
  const double give_up = nodes_[target].alive && !mute ? 4 : 0.01;
  at(now_ + give_up, [this, id, serial] {
    const auto it = workers_.find(id);
    if (it == workers_.end() || !it->second.reporting || it->second.report_serial != serial) return;
    it->second.reporting = false;
    it->second.target = (it->second.target + 1) % nodes_.size();
    it->second.next_report = now_ + 1;
  });
}

CallDone ClusterSimulation::at_worker(const std::string& id, const Call& c) {
  ++work_.worker_messages;
  Worker& w = workers_.at(id);
  const auto& body = std::get<PushCommands>(c.body);
  advance(w);
  CallDone done{c.id, 200, {}};
  if (body.fencing_token < w.fencing_token || body.agent_epoch != w.agent_epoch) {
    done.status = 409;
  } else {
    w.fencing_token = body.fencing_token;
    execute(w, body.commands);
  }
  done.reply = snapshot(w);
  return done;
}

}  // namespace rushtrestle::testing
