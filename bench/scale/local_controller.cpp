#include "local_controller.h"

#include <algorithm>

namespace rushtrestle::scale {

using namespace coordination;
using store::Json;

namespace {
constexpr double kWallClockOffset = 1e9;
}  // namespace

std::vector<store::MachineType> local_machine_types(bool with_gpus) {
  std::vector<store::MachineType> types{{"mid", {6, 0, 64}, 100, 1, 1, 1, 30, {"a", "b"}}};
  if (with_gpus) types.push_back({"gpu", {48, 8, 384}, 300, 4, 20, 8, 30, {"a", "b"}});
  return types;
}

store::JobSpec local_job(int number, uint32_t tasks, int team_count) {
  store::JobSpec s;
  s.id = "job-" + std::to_string(number);
  s.job_class = "batch";
  s.team = "team-" + std::to_string(number % team_count);
  s.tasks = tasks;
  s.per_task = {1, 0, 1};
  s.image = "image-" + std::to_string(number % 8);
  s.image_gb = 0.2;
  s.estimate_s = 9;
  return s;
}

LocalController::LocalController(const Options& options) : options_(options) {
  settings_.node = "controller-0";
  settings_.nodes = 1;
  settings_.zones = {"a", "b"};
  constexpr double kUnlimited = 1e6;
  for (int i = 0; i < options.teams; ++i)
    settings_.teams.push_back(
        {"team-" + std::to_string(i), {10, 0, 0}, {kUnlimited, kUnlimited, 0}});
  settings_.heartbeat_interval_s = 3;
  settings_.lease_s = 17.5;
  settings_.cancel_s = 42.5;
  settings_.state_rps = settings_.state_write_rps = kUnlimited;
  if (options.writes_per_second > 0) settings_.state_write_rps = options.writes_per_second;
  settings_.value_kb = 16;
  settings_.txn_ops = 12;
  settings_.cloud_rps = kUnlimited;
  settings_.list_lag_s = 3;
  settings_.cpu_share = 1;
  settings_.memory_mb = kUnlimited;
  settings_.max_connections = 1000;
  state_.set_limits(settings_.value_kb, settings_.txn_ops);
  state_.set_history(10000);
  state_.preset(store::types_key,
                Json{{"types", to_json(local_machine_types(options.gpu_machines))}});
  core_ = std::make_unique<Core>(settings_, store::OperatorSettings{}, "incarnation", 1,
                                 LogLine::Level::error);
}

std::string LocalController::machine_id(int number) {
  char id[16];
  std::snprintf(id, sizeof id, "n-%06d", number);
  return id;
}

void LocalController::add_machine(int number) {
  store::MachineRecord r;
  r.id = r.address = machine_id(number);
  r.type = options_.gpu_machines && number % 4 >= 2 ? "gpu" : "mid";
  r.zone = number % 2 == 0 ? "a" : "b";
  r.since = kWallClockOffset;
  state_.preset(store::machine_key(r.id), to_json(r));
  Heartbeat report;
  report.machine = report.address = r.id;
  report.type = r.type;
  report.zone = r.zone;
  report.agent_epoch = 1;
  workers_[r.id] = report;
}

void LocalController::start() {
  advance(5);
  for (auto& [id, worker] : workers_) handle(HandleHeartbeat{next_request_++, report_of(id)});
  advance(1);
}

Heartbeat LocalController::report_of(const std::string& machine) {
  Heartbeat& worker = workers_.at(machine);
  ++worker.sequence;
  return worker;
}

void LocalController::submit(const store::JobSpec& spec) {
  handle(SubmitJob{next_request_++, spec});
}

void LocalController::handle(Command command) {
  commands_.push_back(std::move(command));
  drain_commands();
}

void LocalController::drain_commands() {
  while (!commands_.empty())
    for (auto& effect : core_->handle(commands_, Clock{now_, kWallClockOffset + now_}))
      execute(std::move(effect));
  if (!watch_ || std::get<Watch>(watch_->body).since >= state_.revision()) return;
  const Call call = std::move(*watch_);
  watch_.reset();
  commands_.push_back(
      CallDone{call.id, 200, *state_.changes_since(std::get<Watch>(call.body).since)});
  drain_commands();
}

void LocalController::advance(double seconds) {
  const double until = now_ + seconds;
  while (now_ < until) {
    now_ = std::clamp(core_->next_wakeup(), now_ + 0.01, until);
    handle(Tick{});
  }
}

void LocalController::finish_all_tasks() {
  for (auto& [id, worker] : workers_) {
    bool any = false;
    for (auto& t : worker.tasks) {
      if (t.state == TaskState::exited) continue;
      t.state = TaskState::exited;
      t.cause = ExitCause::done;
      any = true;
    }
    if (any) handle(HandleHeartbeat{next_request_++, report_of(id)});
  }
}

void LocalController::execute(Effect&& effect) {
  if (auto* call = std::get_if<Call>(&effect)) answer(*call);
}

void LocalController::answer(const Call& call) {
  CallDone done{call.id, 200, {}};
  if (std::holds_alternative<Watch>(call.body)) {
    watch_ = call;
    return;
  }
  if (const auto* command = std::get_if<PushCommands>(&call.body)) {
    command_worker(*command, done);
  } else if (std::holds_alternative<ListMachineTypes>(call.body)) {
    done.reply = MachineTypesReply{local_machine_types(options_.gpu_machines)};
  } else if (std::holds_alternative<ProvisionMachines>(call.body)) {
    done.status = 503;
  } else if (std::holds_alternative<ListMachines>(call.body)) {
    done.reply = ListMachinesReply{};
  } else if (call.body.index() < CallBody(ListMachineTypes{}).index()) {
    done = state_.answer(call, now_);
  }
  commands_.push_back(std::move(done));
}

// Tasks run at once, without time to fetch the image.
void LocalController::command_worker(const PushCommands& command, CallDone& done) {
  Heartbeat& worker = workers_.at(command.address);
  worker.fencing_token = command.fencing_token;
  for (const auto& c : command.commands) {
    const auto it =
        std::find_if(worker.tasks.begin(), worker.tasks.end(),
                     [&](const ReportedTask& t) { return t.job == c.job && t.task == c.task; });
    if (c.verb == WorkerVerb::start && it == worker.tasks.end()) {
      worker.tasks.push_back(
          {c.job, c.task, c.attempt, TaskState::running, ExitCause::none, false, false});
    } else if (c.verb == WorkerVerb::forget && it != worker.tasks.end()) {
      worker.tasks.erase(it);
    } else if (c.verb == WorkerVerb::stop && it != worker.tasks.end()) {
      it->state = TaskState::exited;
      it->cause = ExitCause::stopped;
    }
  }
  done.reply = report_of(command.address);
}

}  // namespace rushtrestle::scale
