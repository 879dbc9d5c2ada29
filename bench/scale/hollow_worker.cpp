#include "hollow_worker.h"

#include <algorithm>
#include <cmath>

#include "protocol/codec.h"
#include "wire.h"

namespace rushtrestle::scale {

using namespace coordination;
using store::Json;

namespace {

constexpr double kReportTimeout = 4;        // seconds, by the protocol
constexpr double kNextControllerDelay = 1;  // seconds until the next controller is tried
constexpr double kMinChangeInterval = 0.5;  // seconds between reports of changes
constexpr size_t kHttpHeadBytes = 110;  // bytes of an HTTP head as sent here, in either direction
// A worker sends one report at a time; each controller is reached by its own connection.
constexpr size_t kOutgoingConnections = 1;

double uniform(std::mt19937_64& random, double from, double to) {
  return std::uniform_real_distribution<>(from, to)(random);
}

}  // namespace

HollowWorker::HollowWorker(WorkerContext context, std::string id, std::string address,
                           const store::MachineType& type, std::string zone, bool spot)
    : context_(context),
      id_(std::move(id)),
      address_(std::move(address)),
      type_(type),
      zone_(std::move(zone)),
      spot_(spot),
      controller_(static_cast<int>(context_.random() %
                                   static_cast<uint64_t>(context_.experiment.platform.nodes))),
      client_(context_.event_loop, kOutgoingConnections, protocol::kBodyLimit) {}

HollowWorker::~HollowWorker() { stop(); }

void HollowWorker::boot() {
  up_ = true;
  server_ = std::make_unique<transport::HttpServer>(
      context_.event_loop, transport::parse_address(address_),
      transport::HttpServer::Limits{context_.incoming_connections, protocol::kBodyLimit, 600},
      [this](transport::ExchangeId exchange, transport::HttpMessage&& m) { serve(exchange, m); });
  renew_lease(context_.event_loop.now());
  schedule_report(
      uniform(context_.random, 0, context_.experiment.platform.heartbeat_interval_s / 4));
}

void HollowWorker::stop() {
  if (!up_) return;
  drop_all_tasks();
  up_ = false;
  context_.event_loop.cancel(report_timer_);
  context_.event_loop.cancel(lease_timer_);
  // The listener stays open and answers no request: a machine without power refuses none either.
}

void HollowWorker::restart(double after_s) {
  drop_all_tasks();
  ++session_;
  images_.clear();
  disconnect(after_s);
}

void HollowWorker::disconnect(double for_s) {
  disconnected_until_ = std::max(disconnected_until_, context_.event_loop.now() + for_s);
}

// ---- lease ----

void HollowWorker::renew_lease(double sent_at) {
  context_.event_loop.cancel(lease_timer_);
  lease_timer_ = context_.event_loop.after(
      sent_at + context_.experiment.platform.lease_s - context_.event_loop.now(),
      [this] { on_lease_expired(); });
}

void HollowWorker::on_lease_expired() {
  ++traffic_.leases_lapsed;
  traffic_.tasks_killed_by_lease += tasks_.size();
  drop_all_tasks();
  ++session_;
  renew_lease(context_.event_loop.now());
  report_change();
}

void HollowWorker::drop_all_tasks() {
  for (auto& [id, task] : tasks_) {
    context_.event_loop.cancel(task.timer);
    if (Job* job = context_.jobs.find(id.job))
      context_.jobs.task_off_machine(*job, id.task, id_, zone_);
  }
  tasks_.clear();
}

// ---- reports ----

void HollowWorker::schedule_report(double after_s) {
  context_.event_loop.cancel(report_timer_);
  report_timer_ =
      context_.event_loop.after(std::max(after_s, disconnected_until_ - context_.event_loop.now()),
                                [this] { send_report(); });
}

void HollowWorker::report_change() {
  if (!up_ || report_in_flight_) return;  // the report after the next answer includes the change
  schedule_report(std::max(0.0, last_report_at_ + kMinChangeInterval - context_.event_loop.now()));
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
  if (!up_ || report_in_flight_) return;
  report_in_flight_ = true;
  last_report_at_ = context_.event_loop.now();
  ++traffic_.reports;
  const std::string body = encode_report(report());
  traffic_.bytes_sent += body.size() + kHttpHeadBytes;
  client_.request(transport::parse_address(controller_address(controller_)), "POST", "/checkin",
                  body, "application/cbor", kReportTimeout,
                  [this, agent_epoch = session_, sent_at = last_report_at_, to = controller_](
                      int status, std::string&& answer) {
                    on_report_response(agent_epoch, sent_at, to, status, answer);
                  });
}

void HollowWorker::switch_controller(int controller, double after_s) {
  const int count = context_.experiment.platform.nodes;
  controller_ = (controller % count + count) % count;
  schedule_report(after_s);
}

void HollowWorker::on_report_response(uint64_t agent_epoch, double sent_at, int controller,
                                      int status, const std::string& body) {
  report_in_flight_ = false;
  traffic_.bytes_received += body.size() + kHttpHeadBytes;
  if (!up_) return;
  const bool disconnected = context_.event_loop.now() < disconnected_until_;
  const auto answer = protocol::parse_cbor(body);
  if (disconnected || status == 0) return switch_controller(controller + 1, kNextControllerDelay);
  if (status == 421 && answer) {
    const std::string named = answer->value("foreman", "");
    for (int i = 0; i < context_.experiment.platform.nodes; ++i)
      if (i != controller && named == controller_name(i))
        return switch_controller(i, uniform(context_.random, 0, kMinChangeInterval));
  }
  if (status != 200) return switch_controller(controller + 1, kNextControllerDelay);
  schedule_report(context_.experiment.platform.heartbeat_interval_s *
                  uniform(context_.random, 0.75, 1.25));
  const uint64_t fencing_token = answer ? answer->value("baton", uint64_t{0}) : 0;
  if (agent_epoch != session_ || fencing_token == 0 || fencing_token < token_)
    return;  // an outdated answer is dropped and does not renew the lease
  const bool higher = fencing_token > token_;
  token_ = fencing_token;
  renew_lease(sent_at);
  run_commands(decode_commands(answer->at("orders")));
  if (higher &&
      context_.event_loop.now() - token_reported_at_ > context_.experiment.platform.lease_s / 2) {
    token_reported_at_ = context_.event_loop.now();
    report_change();
  }
}

// ---- direct commands ----

void HollowWorker::serve(transport::ExchangeId exchange, const transport::HttpMessage& message) {
  if (!up_ || context_.event_loop.now() < disconnected_until_)
    return;  // the request gets no answer
  ++traffic_.commands;
  traffic_.bytes_received += message.body.size() + kHttpHeadBytes;
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
      run_commands(decode_commands(j->at("orders")));
    }
  }
  const std::string body = encode_report(report());
  traffic_.bytes_sent += body.size() + kHttpHeadBytes;
  server_->answer(exchange, status, body, "application/cbor");
}

void HollowWorker::run_commands(const std::vector<WorkerCommand>& commands) {
  for (const auto& command : commands) {
    switch (command.verb) {
      case WorkerVerb::start: start_task(command); break;
      case WorkerVerb::stop: stop_task(command); break;
      case WorkerVerb::forget: {
        const auto task = tasks_.find({command.job, command.task, command.attempt});
        if (task != tasks_.end() && task->second.state == TaskState::exited) tasks_.erase(task);
        break;
      }
    }
  }
  if (!commands.empty()) report_change();
}

// ---- tasks ----

bool HollowWorker::fits(const store::JobSpec& spec) const {
  store::Resources free = type_.size;
  for (const auto& [id, task] : tasks_)
    if (const Job* job = task.state == TaskState::exited ? nullptr : context_.jobs.find(id.job))
      free.add(job->spec.per_task, -1);
  return spec.per_task.fits(free);
}

/// Returns the seconds that fetching the image takes, marks the image as used, and evicts the least
/// recently used images beyond the size of the cache.
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
  return cached ? 0
                : spec.image_gb / type_.fetch_gb_per_s * uniform(context_.random, 2.0 / 3, 4.0 / 3);
}

void HollowWorker::start_task(const WorkerCommand& command) {
  const TaskId id{command.job, command.task, command.attempt};
  if (tasks_.count(id)) return;
  const Job* job = context_.jobs.find(command.job);
  const auto same_task = std::find_if(tasks_.begin(), tasks_.end(), [&](const auto& t) {
    return t.first.job == command.job && t.first.task == command.task &&
           t.second.state != TaskState::exited;
  });
  ExitCause refused = ExitCause::none;
  if (!job || command.task >= job->spec.tasks) {
    refused = ExitCause::unknown;
  } else if (same_task != tasks_.end()) {
    refused = ExitCause::busy;
  } else if (!fits(job->spec)) {
    refused = ExitCause::no_room;
  }
  Task& task = tasks_[id];
  if (refused != ExitCause::none) {
    task.state = TaskState::exited;
    task.cause = refused;
    return;
  }
  task.timer = context_.event_loop.after(fetch_s(job->spec), [this, id] { on_image_fetched(id); });
}

void HollowWorker::on_image_fetched(const TaskId& id) {
  Job& job = *context_.jobs.find(id.job);
  const auto it = tasks_.find(id);
  it->second.state = TaskState::running;
  it->second.running_since = context_.event_loop.now();
  it->second.timer = 0;
  context_.jobs.task_on_machine(job, id.task, {id_, type_.name, zone_, spot_},
                                context_.event_loop.now());
  if (job.completed[id.task]) {  // an earlier attempt completed the task, and its result is kept
    end_task(it, ExitCause::done);
  } else if (job.spec.kind == store::JobKind::array) {
    it->second.timer = context_.event_loop.after(
        std::max(0.0, job.run_s[id.task] - job.saved[id.task]), [this, id] {
          context_.jobs.task_completed(*context_.jobs.find(id.job), id.task,
                                       context_.event_loop.now());
          end_task(tasks_.find(id), ExitCause::done);
        });
  }
  report_change();
}

double HollowWorker::progress(const Job& job, const TaskId& id, const Task& task) const {
  return job.saved[id.task] + context_.event_loop.now() - task.running_since;
}

void HollowWorker::stop_task(const WorkerCommand& command) {
  const TaskId id{command.job, command.task, command.attempt};
  const auto it = tasks_.find(id);
  if (it == tasks_.end() || it->second.state == TaskState::exited) return;
  Task& task = it->second;
  Job& job = *context_.jobs.find(id.job);
  const bool can_save = task.state == TaskState::running && job.spec.checkpoint_s > 0;
  if (!can_save || command.grace_s < job.spec.save_s) {
    if (task.state == TaskState::saving && command.grace_s > 0) return;  // the save continues
    if (can_save) {  // keeps the last periodic checkpoint
      const double progress_s = progress(job, id, task);
      job.saved[id.task] =
          std::max(job.saved[id.task], progress_s - std::fmod(progress_s, job.spec.checkpoint_s));
    }
    return end_task(it, ExitCause::stopped);
  }
  context_.event_loop.cancel(task.timer);
  task.state = TaskState::saving;
  const double progress_s = progress(job, id, task);
  task.timer = context_.event_loop.after(job.spec.save_s, [this, id, progress_s] {
    const auto saving = tasks_.find(id);
    context_.jobs.find(id.job)->saved[id.task] = progress_s;
    saving->second.saved = true;
    end_task(saving, ExitCause::stopped);
  });
}

void HollowWorker::end_task(Tasks::iterator it, ExitCause cause) {
  Task& task = it->second;
  context_.event_loop.cancel(task.timer);
  task.timer = 0;
  task.state = TaskState::exited;
  task.cause = cause;
  context_.jobs.task_off_machine(*context_.jobs.find(it->first.job), it->first.task, id_, zone_);
  report_change();
}

}  // namespace rushtrestle::scale
