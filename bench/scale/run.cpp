#include "run.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "state_server.h"

namespace rushtrestle::scale {

using store::Json;

namespace {

constexpr double kSampleInterval = 0.5;  // seconds
constexpr double kProbeTimeout = 3;      // seconds
constexpr double kRecoveredShare = 0.98;
// Seconds from the end of a killed controller to its restart, unless the fault lasts longer.
constexpr double kControllerRestartDelay = 0.5;
constexpr double kMaxMemoryShare = 0.5;  // of the machine's memory, by all processes together
constexpr int kMaxProcesses = 300;
constexpr size_t kReplyLimit = size_t{8} << 20;
constexpr double kMegabyte = 1024.0 * 1024.0;

double machine_memory_mb() {
  return static_cast<double>(sysconf(_SC_PHYS_PAGES)) *
         static_cast<double>(sysconf(_SC_PAGE_SIZE)) / kMegabyte;
}

/// Raises this process's limit of open files for the sockets that it needs, and returns how many
/// connections controllers may hold to each worker. Throws if the system allows too few sockets.
size_t raise_socket_limit(const Experiment& e) {
  rlim_t machines = 0;
  for (const auto& pool : e.pools)
    machines += static_cast<rlim_t>(pool.capacity) * e.platform.zones.size();
  // A worker has a listener and one outgoing connection, besides those of controllers.
  constexpr rlim_t kSocketsPerWorker = 2, kOtherSockets = 2500;
  constexpr rlim_t kMinConnections = 2, kMaxConnections = 3;
  const auto needed = [&](rlim_t connections) {
    return machines * (kSocketsPerWorker + connections) + kOtherSockets;
  };
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min(limit.rlim_max, std::max(limit.rlim_cur, needed(kMaxConnections)));
  setrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < needed(kMinConnections))
    throw std::runtime_error("open file limit too low: " + std::to_string(needed(kMinConnections)) +
                             " needed, " + std::to_string(limit.rlim_cur) + " allowed");
  return limit.rlim_cur < needed(kMaxConnections) ? kMinConnections : kMaxConnections;
}

Json percentiles(std::vector<double> values) {
  if (values.empty()) return {{"count", 0}};
  std::sort(values.begin(), values.end());
  const auto at = [&](double share) {
    return std::round(1000 *
                      values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))]) /
           1000;
  };
  return {{"count", values.size()}, {"p50_s", at(0.5)}, {"p99_s", at(0.99)}, {"max_s", at(1)}};
}

/// Returns the rate per second over the whole run, and the highest rate over ten seconds.
Json rates(const std::vector<double>& times, double began_at, double ended_at) {
  constexpr size_t kWindowSeconds = 10;
  std::vector<double> by_second(static_cast<size_t>(std::max(1.0, std::ceil(ended_at - began_at))),
                                0);
  for (const double t : times)
    by_second[std::min(by_second.size() - 1, static_cast<size_t>(t - began_at))] += 1;
  double best = 0;
  for (size_t i = 0; i + kWindowSeconds <= by_second.size(); ++i) {
    double sum = 0;
    for (size_t k = i; k < i + kWindowSeconds; ++k) sum += by_second[k];
    best = std::max(best, sum / kWindowSeconds);
  }
  return {{"mean", std::round(10 * static_cast<double>(times.size()) / (ended_at - began_at)) / 10},
          {"best_ten_seconds", best}};
}

}  // namespace

Run::Run(const Experiment& experiment, const std::string& controller_program)
    : experiment_(experiment),
      random_(experiment.seed),
      jobs_(experiment),
      controllers_(experiment, controller_program),
      probes_(event_loop_, 64, kReplyLimit) {
  if (experiment.platform.nodes + 2 > kMaxProcesses)
    throw std::runtime_error("too many processes: at most " + std::to_string(kMaxProcesses));
  const size_t incoming_connections = raise_socket_limit(experiment);
  state_pid_ = start_state_server(experiment);
  try {
    event_loop_.refresh_clock();
    const WorkerContext context{event_loop_, jobs_, experiment_, random_, incoming_connections};
    fleet_ = std::make_unique<Fleet>(context);
    users_ = std::make_unique<Users>(event_loop_, jobs_, experiment_, random_);
    for (int i = 0; i < controllers_.count(); ++i) controllers_.start(i);
  } catch (...) {
    kill_child(state_pid_);
    throw;
  }
}

Run::~Run() { kill_child(state_pid_); }

void Run::fail(const std::string& why) {
  if (failure_.empty()) failure_ = why;
  event_loop_.stop();
}

void Run::check_limits() {
  const std::string ended = controllers_.find_unexpected_exit();
  if (!ended.empty()) return fail(ended);
  double memory_mb = measure_process(getpid()).memory_mb + measure_process(state_pid_).memory_mb;
  for (int i = 0; i < controllers_.count(); ++i) memory_mb += controllers_.usage(i).memory_mb;
  if (memory_mb > machine_memory_mb() * kMaxMemoryShare)
    fail("more than half of the machine's memory is in use: " +
         std::to_string(static_cast<int>(memory_mb)) + " MB");
  jobs_.check_cancelled(event_loop_.now());
  if (!jobs_.violations.empty()) fail("rule violated: " + jobs_.violations.front());
}

void Run::sample() {
  const double now = event_loop_.now();
  running_samples_.emplace_back(now, jobs_.running_tasks);
  for (auto& r : recoveries_) {
    if (now <= r.began_at || r.running_before == 0) continue;
    const double share = static_cast<double>(jobs_.running_tasks) / r.running_before;
    if (share < r.lowest_share) {
      r.lowest_share = share;
      r.recovered_after = -1;
    }
    if (share >= kRecoveredShare && r.recovered_after < 0) r.recovered_after = now - r.began_at;
  }
  if (running_samples_.size() % 2 == 0) check_limits();
  event_loop_.after(kSampleInterval, [this] { sample(); });
}

void Run::begin_fault(size_t index) {
  const Fault& fault = experiment_.faults[index];
  Recovery r;
  r.fault = fault;
  r.began_at = event_loop_.now();
  r.running_before = static_cast<double>(jobs_.running_tasks);
  r.healthy.assign(static_cast<size_t>(controllers_.count()), true);
  recoveries_.push_back(r);
  if (fault.kind != FaultKind::kill_controllers) return fleet_->inject_fault(fault);
  const int killed = std::max(1, static_cast<int>(std::round(fault.share * controllers_.count())));
  for (int i = 0; i < killed; ++i) {
    controllers_.kill(i);
    recoveries_.back().healthy[static_cast<size_t>(i)] = false;
    event_loop_.after(std::max(fault.for_s, kControllerRestartDelay),
                      [this, i, recovery = recoveries_.size() - 1] {
                        controllers_.start(i);
                        probe_health(recovery, i);
                      });
  }
}

void Run::probe_health(size_t recovery, int controller) {
  get(controller_address(controller), "/up",
      [this, recovery, controller](int status, const std::string&) {
        constexpr double kProbeInterval = 0.1;
        if (status != 200) {
          event_loop_.after(kProbeInterval,
                            [this, recovery, controller] { probe_health(recovery, controller); });
          return;
        }
        Recovery& r = recoveries_[recovery];
        r.healthy[static_cast<size_t>(controller)] = true;
        const double after = event_loop_.now() - r.began_at;
        if (r.first_healthy_after < 0) r.first_healthy_after = after;
        if (std::all_of(r.healthy.begin(), r.healthy.end(), [](bool h) { return h; }))
          r.all_healthy_after = after;
      });
}

void Run::get(const std::string& address, const std::string& path,
              std::function<void(int, const std::string&)> then) {
  probes_.request(transport::parse_address(address), "GET", path, "", "application/json",
                  kProbeTimeout,
                  [then = std::move(then)](int status, std::string&& body) { then(status, body); });
}

void Run::collect_statistics() {
  controller_stats_.assign(static_cast<size_t>(controllers_.count()), Json::object());
  pending_responses_ = controller_stats_.size() + 1;
  const auto got = [this](Json& into, const std::string& body) {
    into = Json::parse(body, nullptr, false);
    if (into.is_discarded()) into = nullptr;  // no answer
    if (--pending_responses_ == 0) event_loop_.stop();
  };
  get(kStateAddress, "/counters",
      [this, got](int, const std::string& body) { got(state_counters_, body); });
  for (int i = 0; i < controllers_.count(); ++i)
    get(controller_address(i), "/stats", [this, got, i](int, const std::string& body) {
      got(controller_stats_[static_cast<size_t>(i)], body);
    });
}

Json Run::execute() {
  began_at_ = event_loop_.now();
  users_->start();
  sample();
  for (size_t i = 0; i < experiment_.faults.size(); ++i)
    event_loop_.after(experiment_.faults[i].at_s, [this, i] { begin_fault(i); });
  event_loop_.after(experiment_.seconds, [this] { collect_statistics(); });
  event_loop_.run();
  return report();
}

Json Run::controllers_report() const {
  Json out = Json::array();
  const double seconds = event_loop_.now() - began_at_;
  for (int i = 0; i < controllers_.count(); ++i) {
    const ProcessUsage usage = controllers_.usage(i);
    Json j = {{"name", controller_name(i)},
              {"cpu_share", std::round(1e4 * usage.cpu_s / seconds) / 1e4},
              {"memory_mb", std::round(10 * usage.memory_mb) / 10},
              {"peak_mb", std::round(10 * usage.peak_mb) / 10}};
    if (!controller_stats_.empty()) j["stats"] = controller_stats_[static_cast<size_t>(i)];
    out.push_back(std::move(j));
  }
  return out;
}

Json Run::faults_report() const {
  static constexpr const char* kNames[] = {"kill_workers", "cut_workers", "restart_workers",
                                           "kill_controllers"};
  Json out = Json::array();
  for (const auto& r : recoveries_)
    out.push_back({{"kind", kNames[static_cast<size_t>(r.fault.kind)]},
                   {"at_s", r.began_at - began_at_},
                   {"share", r.fault.share},
                   {"zone", r.fault.zone},
                   {"running_before", r.running_before},
                   {"lowest_share_running", r.lowest_share},
                   {"recovered_after_s", r.recovered_after},
                   {"first_healthy_after_s", r.first_healthy_after},
                   {"all_healthy_after_s", r.all_healthy_after}});
  return out;
}

Json Run::report() const {
  const auto& users = users_->figures();
  const WorkerTraffic traffic = fleet_->traffic();
  const double worker_seconds = std::max(1.0, fleet_->seconds_up());
  size_t most_running = 0;
  for (const auto& [at, running] : running_samples_) most_running = std::max(most_running, running);
  size_t open = 0, waiting_tasks = 0;
  for (const auto& [id, job] : jobs_.jobs()) {
    if (job.accepted_at < 0 || job.cancel_asked || job.completed_at >= 0) continue;
    ++open;
    waiting_tasks += job.spec.tasks - job.completed_tasks - job.on_machine.size();
  }
  Json waits = Json::object();
  for (const auto& [rank, values] : jobs_.start_waits) waits[rank] = percentiles(values);
  return {{"experiment", experiment_.name},
          {"seconds", event_loop_.now() - began_at_},
          {"seed", experiment_.seed},
          {"failure", failure_},
          {"violations", jobs_.violations},
          {"starts",
           {{"count", jobs_.starts},
            {"per_second", rates(jobs_.start_times, began_at_, event_loop_.now())}}},
          {"wait_for_start_by_rank", std::move(waits)},
          {"running_tasks",
           {{"most", most_running},
            {"at_the_end", jobs_.running_tasks},
            {"waiting_at_the_end", waiting_tasks}}},
          {"jobs",
           {{"submitted", users.submitted},
            {"accepted", users.accepted},
            {"given_up", users.given_up},
            {"repeated", users.repeated},
            {"open_at_the_end", open},
            {"acceptance", percentiles(users.acceptance_s)},
            {"told_done_after_last_end", percentiles(users.done_lag_s)}}},
          {"requests",
           {{"sent", users.requests},
            {"answered", users.answered},
            {"refused", users.refused},
            {"unanswered", users.unanswered}}},
          {"workers",
           {{"most_up", fleet_->most_up()},
            {"up_at_the_end", fleet_->up()},
            {"reports", traffic.reports},
            {"commands", traffic.commands},
            {"bytes_sent_a_second_each",
             std::round(static_cast<double>(traffic.bytes_sent) / worker_seconds)},
            {"bytes_received_a_second_each",
             std::round(static_cast<double>(traffic.bytes_received) / worker_seconds)},
            {"leases_lapsed", traffic.leases_lapsed},
            {"tasks_killed_by_lease", traffic.tasks_killed_by_lease}}},
          {"state_service", state_counters_},
          {"stand_ins_cpu_share",
           measure_process(getpid()).cpu_s / std::max(1.0, event_loop_.now() - began_at_)},
          {"troubles", faults_report()},
          {"controllers", controllers_report()}};
}

}  // namespace rushtrestle::scale
