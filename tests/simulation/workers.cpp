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
  for (const auto& [key, t] : w.tasks) r.tasks.push_back(t.heartbeat);
  return r;
}

void ClusterSimulation::advance(Worker& w) {
  if (now_ < w.hang_until) return;
  check_cancelled(w);  // before what ends now has ended
  if (now_ - w.lease_from > settings_.lease_s) {
    // The lease is over: all is killed and forgotten, and the next session begins.
    w.tasks.clear();
    ++w.agent_epoch;
    w.lease_from = now_;
    w.reporting = false;
    w.next_report = now_;
  }
  for (auto& [key, t] : w.tasks) {
    const auto& spec = jobs_.at(key.first).spec;
    if (t.heartbeat.state == TaskState::fetching && spec.kind == store::JobKind::gang) {
      if (t.gathered_at >= 0 || now_ < t.fetch_until) continue;
      t.gathered_at = now_;
      w.images.insert(spec.image);
      check_start(w, key.first, key.second, t.heartbeat.attempt);
      if (now_ < w.sick_until || jobs_.at(key.first).broken) {
        t.heartbeat.state = TaskState::exited;
        t.heartbeat.cause = ExitCause::error;
      }
      continue;
    }
    if (t.heartbeat.state == TaskState::fetching && now_ >= t.fetch_until) {
      t.heartbeat.state = TaskState::running;
      t.last_step = now_;
      w.images.insert(spec.image);
      check_start(w, key.first, key.second, t.heartbeat.attempt);
      if (now_ < w.sick_until || jobs_.at(key.first).broken) {
        t.heartbeat.state = TaskState::exited;
        t.heartbeat.cause = ExitCause::error;
      }
    }
    if (t.heartbeat.state == TaskState::running) {
      t.remaining -= now_ - t.last_step;
      t.last_step = now_;
      if (spec.kind == store::JobKind::array && t.remaining <= 0) {
        t.heartbeat.state = TaskState::exited;
        t.heartbeat.cause = ExitCause::done;
        auto& j = jobs_.at(key.first);
        j.completed.insert(key.second);
        if (now_ < ends_until_ && j.completed.size() == spec.tasks && j.accepted &&
            !j.user_cancelled && std::uniform_real_distribution<>(0, 1)(rng_) < ends_share_)
          at(now_ + std::uniform_real_distribution<>(0, 0.1)(rng_),
             [this, id = key.first] { called_off(id); });
      }
    } else if (t.heartbeat.state == TaskState::saving && now_ - t.last_step >= spec.save_s) {
      auto& j = jobs_.at(key.first);
      if (spec.kind == store::JobKind::gang && j.told_to_stop.size() < spec.tasks &&
          now_ - j.first_stop_at < options_.gang_peer_s)
        continue;  // has saved, and waits for the others
      if (spec.kind == store::JobKind::gang && j.told_to_stop.size() == spec.tasks) {
        j.safe = std::max(j.safe, j.progress);
        t.heartbeat.saved = true;
      }
      t.heartbeat.state = TaskState::exited;
      t.heartbeat.cause = ExitCause::stopped;
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
      t.heartbeat = {c.job, c.task, c.attempt, TaskState::fetching, ExitCause::none, false};
      if (job == jobs_.end() || c.task >= job->second.spec.tasks) {
        fail("start of unknown task " + c.job);
        continue;
      }
      const auto& spec = job->second.spec;
      const auto type = std::find_if(types_.begin(), types_.end(),
                                     [&](const auto& x) { return x.name == w.type; });
      store::Resources free = type->size;
      for (const auto& [k, other] : w.tasks)
        if (other.heartbeat.state != TaskState::exited)
          free.add(jobs_.at(k.first).spec.per_task, -1);
      if (!spec.per_task.fits(free)) {
        t.heartbeat.state = TaskState::exited;
        t.heartbeat.cause = ExitCause::no_room;
      } else {
        t.fetch_until =
            now_ + (w.images.count(spec.image) ? 0 : spec.image_gb / type->fetch_gb_per_s);
        t.remaining = job->second.completed.count(c.task)
                          ? 0
                          : spec.estimate_s * options_.run_factor * (1 + options_.uneven * c.task);
      }
      w.tasks[key] = t;
      machines_of_job_[c.job].insert(w.id);
    } else if (it != w.tasks.end() && it->second.heartbeat.attempt == c.attempt) {
      auto& r = it->second.heartbeat;
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
