#include "hollow_worker.h"

#include <algorithm>
#include <cmath>

#include "protocol/codec.h"
#include "wire.h"

namespace rushtrestle::scale {

using namespace coordination;
using store::Json;

namespace {

constexpr double kAnswerWithin = 4;    // seconds, by the protocol
constexpr double kNextController = 1;  // seconds until the next one is tried
constexpr double kChangesApart = 0.5;  // seconds between reports of changes
constexpr size_t kHead = 110;          // bytes of an HTTP head in either direction, as sent here
constexpr size_t kConnectionsOut =
    1;  // one report at a time; another controller is reached by another connection

double uniform(std::mt19937_64& random, double from, double to) {
  return std::uniform_real_distribution<>(from, to)(random);
}

}  // namespace

HollowWorker::HollowWorker(WorkerSurroundings surroundings, std::string id, std::string address,
                           const store::MachineType& type, std::string zone, bool spot)
    : at_(surroundings),
      id_(std::move(id)),
      address_(std::move(address)),
      type_(type),
      zone_(std::move(zone)),
      spot_(spot),
      controller_(
          static_cast<int>(at_.random() % static_cast<uint64_t>(at_.experiment.platform.nodes))),
      client_(at_.event_loop, kConnectionsOut, protocol::kBodyLimit) {}

HollowWorker::~HollowWorker() { stop(); }

void HollowWorker::boot() {
  up_ = true;
  server_ = std::make_unique<transport::HttpServer>(
      at_.event_loop, transport::parse_address(address_),
      transport::HttpServer::Limits{at_.connections_in, protocol::kBodyLimit, 600},
      [this](transport::ExchangeId exchange, transport::HttpMessage&& m) { serve(exchange, m); });
  renew_lease(at_.event_loop.now());
  arm_report(uniform(at_.random, 0, at_.experiment.platform.heartbeat_interval_s / 4));
}

void HollowWorker::stop() {
  if (!up_) return;
  forget_all();
  up_ = false;
  at_.event_loop.cancel(report_timer_);
  at_.event_loop.cancel(lease_timer_);
  // The listener stays, and answers nobody: a machine without power refuses nothing either.
}

void HollowWorker::restart(double after_s) {
  forget_all();
  ++session_;
  images_.clear();
  cut(after_s);
}

void HollowWorker::cut(double for_s) {
  silent_until_ = std::max(silent_until_, at_.event_loop.now() + for_s);
}

// ---- lease ----

void HollowWorker::renew_lease(double sent_at) {
  at_.event_loop.cancel(lease_timer_);
  lease_timer_ = at_.event_loop.after(
      sent_at + at_.experiment.platform.lease_s - at_.event_loop.now(), [this] { lease_lapsed(); });
}

void HollowWorker::lease_lapsed() {
  ++traffic_.leases_lapsed;
  traffic_.tasks_killed_by_lease += tasks_.size();
  forget_all();
  ++session_;
  renew_lease(at_.event_loop.now());
  changed();
}

void HollowWorker::forget_all() {
  for (auto& [id, task] : tasks_) {
    at_.event_loop.cancel(task.timer);
    if (Job* job = at_.jobs.find(id.job)) at_.jobs.task_off_machine(*job, id.task, id_, zone_);
  }
  tasks_.clear();
}

// ---- reports ----

void HollowWorker::arm_report(double after_s) {
  at_.event_loop.cancel(report_timer_);
  report_timer_ = at_.event_loop.after(std::max(after_s, silent_until_ - at_.event_loop.now()),
                                       [this] { send_report(); });
}

void HollowWorker::changed() {
  if (!up_ || reporting_) return;  // told by the next one, which follows the answer
  arm_report(std::max(0.0, last_report_ + kChangesApart - at_.event_loop.now()));
}

Heartbeat HollowWorker::report() {
  Heartbeat r;
  r.machine = id_;
  r.address = address_;
  r.type = type_.name;
  r.zone = zone_;
  r.spot = spot_;
  r.agent_epoch = session_;
  r.sequence = ++sequence_;
  r.fencing_token = token_;
  for (const auto& [id, task] : tasks_)
    r.tasks.push_back({id.job, id.task, id.attempt, task.state, task.cause, task.saved, false});
  return r;
}

void HollowWorker::send_report() {
  report_timer_ = 0;
  if (!up_ || reporting_) return;
  reporting_ = true;
  last_report_ = at_.event_loop.now();
  ++traffic_.reports;
  const std::string body = encode_report(report());
  traffic_.bytes_sent += body.size() + kHead;
  client_.request(transport::parse_address(controller_address(controller_)), "POST", "/checkin",
                  body, "application/cbor", kAnswerWithin,
                  [this, agent_epoch = session_, sent_at = last_report_, to = controller_](
                      int status, std::string&& answer) {
                    report_answered(agent_epoch, sent_at, to, status, answer);
                  });
}

void HollowWorker::go_on_with(int controller, double after_s) {
  const int count = at_.experiment.platform.nodes;
  controller_ = (controller % count + count) % count;
  arm_report(after_s);
}

void HollowWorker::report_answered(uint64_t agent_epoch, double sent_at, int controller, int status,
                                   const std::string& body) {
  reporting_ = false;
  traffic_.bytes_received += body.size() + kHead;
  if (!up_) return;
  const bool cut_off = at_.event_loop.now() < silent_until_;
  const auto answer = protocol::parse_cbor(body);
  if (cut_off || status == 0) return go_on_with(controller + 1, kNextController);
  if (status == 421 && answer) {
    const std::string named = answer->value("foreman", "");
    for (int i = 0; i < at_.experiment.platform.nodes; ++i)
      if (i != controller && named == controller_name(i))
        return go_on_with(i, uniform(at_.random, 0, kChangesApart));
  }
  if (status != 200) return go_on_with(controller + 1, kNextController);
  arm_report(at_.experiment.platform.heartbeat_interval_s * uniform(at_.random, 0.75, 1.25));
  const uint64_t fencing_token = answer ? answer->value("baton", uint64_t{0}) : 0;
  if (agent_epoch != session_ || fencing_token == 0 || fencing_token < token_)
    return;  // dropped: renews nothing
  const bool higher = fencing_token > token_;
  token_ = fencing_token;
  renew_lease(sent_at);
  carry_out(decode_orders(answer->at("orders")));
  if (higher && at_.event_loop.now() - token_told_at_ > at_.experiment.platform.lease_s / 2) {
    token_told_at_ = at_.event_loop.now();
    changed();
  }
}

// ---- direct commands ----

void HollowWorker::serve(transport::ExchangeId exchange, const transport::HttpMessage& message) {
  if (!up_ || at_.event_loop.now() < silent_until_) return;  // no answer
  ++traffic_.commands;
  traffic_.bytes_received += message.body.size() + kHead;
  int status = 200;
  if (message.target == "/commands") {
    const auto j = protocol::parse_cbor(message.body);
    if (!j || !j->contains("baton") || !j->contains("shift")) {
      server_->answer(exchange, 400, "", "application/cbor");
      return;
    }
    const uint64_t fencing_token = j->at("baton");
    if (fencing_token < token_ || j->at("shift") != session_) {
      status = 409;
    } else {
      token_ = fencing_token;
      carry_out(decode_orders(j->at("orders")));
    }
  }
  const std::string body = encode_report(report());
  traffic_.bytes_sent += body.size() + kHead;
  server_->answer(exchange, status, body, "application/cbor");
}

void HollowWorker::carry_out(const std::vector<WorkerCommand>& orders) {
  for (const auto& order : orders) {
    switch (order.verb) {
      case WorkerVerb::start: start(order); break;
      case WorkerVerb::stop: kill(order); break;
      case WorkerVerb::forget: {
        const auto task = tasks_.find({order.job, order.task, order.attempt});
        if (task != tasks_.end() && task->second.state == TaskState::exited) tasks_.erase(task);
        break;
      }
    }
  }
  if (!orders.empty()) changed();
}

// ---- tasks ----

bool HollowWorker::has_room_for(const store::JobSpec& spec) const {
  store::Resources free = type_.size;
  for (const auto& [id, task] : tasks_)
    if (const Job* job = task.state == TaskState::exited ? nullptr : at_.jobs.find(id.job))
      free.add(job->spec.per_task, -1);
  return spec.per_task.fits(free);
}

/// Also marks the image as used, and evicts those not used for longest.
double HollowWorker::fetch_s(const store::JobSpec& spec) {
  const auto known = std::find_if(images_.begin(), images_.end(),
                                  [&](const auto& i) { return i.first == spec.image; });
  const bool cached = known != images_.end();
  if (cached) images_.erase(known);
  images_.emplace_back(spec.image, spec.image_gb);
  double total = 0;
  for (const auto& [name, gb] : images_) total += gb;
  while (images_.size() > 1 && total > type_.cache_gb) {
    total -= images_.front().second;
    images_.erase(images_.begin());
  }
  return cached ? 0 : spec.image_gb / type_.fetch_gb_per_s * uniform(at_.random, 2.0 / 3, 4.0 / 3);
}

void HollowWorker::start(const WorkerCommand& order) {
  const TaskId id{order.job, order.task, order.attempt};
  if (tasks_.count(id)) return;
  const Job* job = at_.jobs.find(order.job);
  const auto same_task = std::find_if(tasks_.begin(), tasks_.end(), [&](const auto& t) {
    return t.first.job == order.job && t.first.task == order.task &&
           t.second.state != TaskState::exited;
  });
  ExitCause refused = ExitCause::none;
  if (!job || order.task >= job->spec.tasks) {
    refused = ExitCause::unknown;
  } else if (same_task != tasks_.end()) {
    refused = ExitCause::busy;
  } else if (!has_room_for(job->spec)) {
    refused = ExitCause::no_room;
  }
  Task& task = tasks_[id];
  if (refused != ExitCause::none) {
    task.state = TaskState::exited;
    task.cause = refused;
    return;
  }
  task.timer = at_.event_loop.after(fetch_s(job->spec), [this, id] { image_ready(id); });
}

void HollowWorker::image_ready(const TaskId& id) {
  Job& job = *at_.jobs.find(id.job);
  const auto it = tasks_.find(id);
  it->second.state = TaskState::running;
  it->second.running_since = at_.event_loop.now();
  it->second.timer = 0;
  at_.jobs.task_on_machine(job, id.task, {id_, type_.name, zone_, spot_}, at_.event_loop.now());
  if (job.completed[id.task]) {  // the result is kept
    end(it, ExitCause::done);
  } else if (job.spec.kind == store::JobKind::array) {
    it->second.timer =
        at_.event_loop.after(std::max(0.0, job.run_s[id.task] - job.saved[id.task]), [this, id] {
          at_.jobs.task_completed(*at_.jobs.find(id.job), id.task, at_.event_loop.now());
          end(tasks_.find(id), ExitCause::done);
        });
  }
  changed();
}

double HollowWorker::progress(const Job& job, const TaskId& id, const Task& task) const {
  return job.saved[id.task] + at_.event_loop.now() - task.running_since;
}

void HollowWorker::kill(const WorkerCommand& order) {
  const TaskId id{order.job, order.task, order.attempt};
  const auto it = tasks_.find(id);
  if (it == tasks_.end() || it->second.state == TaskState::exited) return;
  Task& task = it->second;
  Job& job = *at_.jobs.find(id.job);
  const bool can_save = task.state == TaskState::running && job.spec.checkpoint_s > 0;
  if (!can_save || order.grace_s < job.spec.save_s) {
    if (task.state == TaskState::saving && order.grace_s > 0) return;  // goes on saving
    if (can_save) {                                                    // what it saved by itself
      const double made = progress(job, id, task);
      job.saved[id.task] =
          std::max(job.saved[id.task], made - std::fmod(made, job.spec.checkpoint_s));
    }
    return end(it, ExitCause::stopped);
  }
  at_.event_loop.cancel(task.timer);
  task.state = TaskState::saving;
  const double made = progress(job, id, task);
  task.timer = at_.event_loop.after(job.spec.save_s, [this, id, made] {
    const auto saving = tasks_.find(id);
    at_.jobs.find(id.job)->saved[id.task] = made;
    saving->second.saved = true;
    end(saving, ExitCause::stopped);
  });
}

void HollowWorker::end(Tasks::iterator it, ExitCause cause) {
  Task& task = it->second;
  at_.event_loop.cancel(task.timer);
  task.timer = 0;
  task.state = TaskState::exited;
  task.cause = cause;
  at_.jobs.task_off_machine(*at_.jobs.find(it->first.job), it->first.task, id_, zone_);
  changed();
}

}  // namespace rushtrestle::scale
