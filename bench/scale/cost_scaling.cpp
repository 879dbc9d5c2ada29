// rushtrestle_cost_scaling: does one kind of work at one size while callgrind counts instructions,
// or measures the memory that one kind of object takes. bench/scale/cost_scaling.py runs it for
// several sizes and fits the slopes.
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>

#include "local_controller.h"
#include "protocol/codec.h"
#include "wire.h"
#if __has_include(<valgrind/callgrind.h>)
#include <valgrind/callgrind.h>
#else
#define CALLGRIND_TOGGLE_COLLECT
#endif

namespace {

using namespace rushtrestle;
using namespace rushtrestle::coordination;
using scale::local_job;
using scale::LocalController;

constexpr int kTeams = 20;

double allocated_bytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

struct NullListener : store::StateCache::Listener {
  void on_job_changed(const std::string&) override {}
  void on_machine_changed(const std::string&) override {}
  void on_lease_holder_changed(const std::string&) override {}
};

// ---- memory: allocated bytes of `size` objects ----

double model_bytes(int size, const std::function<store::Change(int)>& change) {
  NullListener listener;
  store::StateCache state_cache(listener);
  const double before = allocated_bytes();
  for (int i = 0; i < size; ++i) state_cache.apply(change(i));
  return allocated_bytes() - before;
}

store::Change job_change(int number, uint32_t placements, store::JobStatus status) {
  store::JobRecord r;
  r.spec = local_job(number, 10, kTeams);
  r.status = status;
  r.submitted = 1e9;
  for (uint32_t t = 0; t < r.spec.tasks; ++t) {
    if (status == store::JobStatus::done) r.done.insert(t);
    if (t < placements)
      r.placed.push_back({t, LocalController::machine_id(static_cast<int>(t)), 1, true, false});
  }
  store::Json value = to_json(r);
  value["w"] = "0123456789abcdef.1234";
  return {store::job_key(r.spec.id), std::move(value), static_cast<uint64_t>(number) + 1};
}

store::Change machine_change(int number, store::MachinePhase phase) {
  store::MachineRecord r;
  r.id = LocalController::machine_id(number);
  r.address = "10.1.0.232:9000";
  r.type = "mid";
  r.zone = "a";
  r.phase = phase;
  store::Json value = to_json(r);
  value["w"] = "0123456789abcdef.1234";
  return {store::machine_key(r.id), std::move(value), static_cast<uint64_t>(number) + 1};
}

/// Returns the bytes that a controller allocates at start, with its copy of the state, for so many
/// live jobs, machines and teams; the state service's own records are not included.
double controller_bytes(int jobs, int machines, int teams) {
  const double before = allocated_bytes();
  LocalController controller(teams);
  for (int i = 0; i < machines; ++i) controller.add_machine(i);
  for (int i = 0; i < jobs; ++i) {
    const auto c = job_change(i, 0, store::JobStatus::open);
    controller.state().preset(c.key, *c.value);
  }
  const double with_state = allocated_bytes();
  controller.start();
  (void)before;
  return allocated_bytes() - with_state;
}

// ---- work: callgrind counts the instructions of `count` repetitions between the toggles ----

void count_instructions(int count, const std::function<void(int)>& work) {
  work(0);  // the first repetition fills caches and maps and is not counted
  CALLGRIND_TOGGLE_COLLECT;
  for (int i = 1; i <= count; ++i) work(i);
  CALLGRIND_TOGGLE_COLLECT;
}

void measure_reports(int tasks, int count) {
  LocalController controller(kTeams);
  controller.add_machine(1);
  for (int i = 2; i * 6 < tasks + 12; ++i) controller.add_machine(i);
  controller.start();
  Heartbeat report = controller.report_of(LocalController::machine_id(1));
  for (int i = 0; i < tasks; ++i)
    report.tasks.push_back(
        {"job-" + std::to_string(i), 0, 1, TaskState::running, ExitCause::none, false, false});
  for (int i = 0; i < tasks; ++i) {
    store::JobRecord r;
    r.spec = local_job(i, 1, kTeams);
    r.attempts = 1;
    r.placed.push_back({0, LocalController::machine_id(1), 1, true, false});
    controller.state().preset(store::job_key(r.spec.id), to_json(r));
  }
  controller.advance(1);
  report.fencing_token = controller.report_of(LocalController::machine_id(1)).fencing_token;
  count_instructions(count, [&](int i) {
    report.sequence = 1000 + static_cast<uint64_t>(i);
    auto decoded =
        protocol::decode_request(1, "POST", "/checkin", scale::encode_report(report), false);
    controller.handle(std::get<Command>(std::move(decoded)));
  });
}

/// The instruction count of the worker's own encoding, to be subtracted from that of
/// `measure_reports`.
void measure_report_encoding(int tasks, int count) {
  Heartbeat report;
  report.machine = report.address = report.type = report.zone = "n-000001";
  for (int i = 0; i < tasks; ++i)
    report.tasks.push_back(
        {"job-" + std::to_string(i), 0, 1, TaskState::running, ExitCause::none, false, false});
  count_instructions(count, [&](int) { scale::encode_report(report); });
}

void measure_followed_changes(int placements, int count) {
  NullListener listener;
  store::StateCache state_cache(listener);
  std::vector<std::string> bodies;
  for (int i = 0; i <= count; ++i)
    bodies.push_back(scale::encode_state_reply(CallDone{
        1, 200,
        WatchReply{1,
                   {job_change(i, static_cast<uint32_t>(placements), store::JobStatus::open)}}}));
  const auto kind = CallBody(Watch{}).index();
  count_instructions(count, [&](int i) {
    const auto done = protocol::decode_reply(1, kind, "", 200, bodies[static_cast<size_t>(i)]);
    for (const auto& change : std::get<WatchReply>(done.reply).events) state_cache.apply(change);
  });
}

/// Runs jobs of `tasks` tasks from submission to `done`, on machines with room for all tasks.
void measure_job_lives(int tasks, int count) {
  LocalController controller(kTeams);
  for (int i = 0; i < 20; ++i) controller.add_machine(i);
  controller.start();
  const auto before = controller.state().counters();
  count_instructions(count, [&](int i) {
    controller.submit(local_job(i, static_cast<uint32_t>(tasks), kTeams));
    controller.advance(0.5);
    controller.finish_all_tasks();
    controller.advance(0.5);
  });
  const auto& after = controller.state().counters();
  std::cout << "puts " << static_cast<double>(after.puts - before.puts) / (count + 1)
            << " transactions "
            << static_cast<double>(after.transactions - before.transactions) / (count + 1)
            << " requests " << static_cast<double>(after.requests - before.requests) / (count + 1)
            << "\n";
}

void measure_polls(int live_jobs, int count) {
  LocalController controller(kTeams);
  for (int i = 0; i < live_jobs; ++i) {
    const auto c = job_change(i, 0, store::JobStatus::open);
    controller.state().preset(c.key, *c.value);
  }
  controller.start();
  count_instructions(count, [&](int i) {
    controller.handle(QueryJob{1, "job-" + std::to_string(i % live_jobs)});
  });
}

/// Runs seconds of a controller that holds the only shard and leads, with machines and more
/// waiting tasks than they hold.
void measure_seconds(int waiting_jobs, int machines, int teams, int count) {
  LocalController controller(teams);
  for (int i = 0; i < machines; ++i) controller.add_machine(i);
  for (int i = 0; i < waiting_jobs; ++i) {
    store::JobRecord r;
    r.spec = local_job(i, 10, teams);
    r.spec.per_task.cpus =
        5.5 + 0.001 * (i % 16);  // sixteen placement classes; a task fills a machine
    r.submitted = 1e9 + 1000;
    controller.state().preset(store::job_key(r.spec.id), to_json(r));
  }
  controller.start();
  count_instructions(count, [&](int) { controller.advance(1); });
}

/// Returns a job of one of four kinds: services and arrays, with and without GPUs.
store::JobSpec mixed_job(int number, int teams) {
  store::JobSpec s = local_job(number, 8, teams);
  s.team = "team-" + std::to_string(number / 4 % teams);
  const bool gpus = number % 2 == 1;
  if (gpus) s.per_task = {4, 1, 25};
  if (number % 4 < 2) {
    s.kind = store::JobKind::service;
    s.rank = store::Rank::production;
    s.spread = true;
    s.tasks = 4;
  } else {
    s.spot = true;
    s.checkpoint_s = 20;
  }
  s.job_class = "class-" + std::to_string(number % 4);
  return s;
}

/// Runs seconds of a controller that holds the only shard and leads a fleet with free capacity,
/// while as many jobs as machines wait for the budget of writes.
void measure_fleet_seconds(int machines, int count) {
  constexpr int kManyTeams = 740;
  constexpr double kWritesPerSecond = 100;
  LocalController controller(LocalController::Options{kManyTeams, true, kWritesPerSecond});
  for (int i = 0; i < machines; ++i) controller.add_machine(i);
  for (int i = 0; i < machines; ++i) {
    store::JobRecord r;
    r.spec = mixed_job(i, kManyTeams);
    r.submitted = 1e9 + 1000;
    controller.state().preset(store::job_key(r.spec.id), to_json(r));
  }
  controller.start();
  count_instructions(count, [&](int) { controller.advance(1); });
}

void measure_start_up(int jobs, bool finished) {
  LocalController controller(kTeams);
  for (int i = 0; i < jobs; ++i) {
    const auto c =
        job_change(i, finished ? 0 : 5, finished ? store::JobStatus::done : store::JobStatus::open);
    controller.state().preset(c.key, *c.value);
  }
  CALLGRIND_TOGGLE_COLLECT;
  controller.start();
  CALLGRIND_TOGGLE_COLLECT;
}

}  // namespace

int main(int argc, char** argv) {
  using store::JobStatus;
  using store::MachinePhase;
  CLI::App app{"Does one kind of work at one size, or measures the memory of that many objects"};
  std::string what;
  int size = 0, count = 10;
  app.add_option("work", what, "kind of work or object")->required();
  app.add_option("size", size, "size of the work or number of objects")->required();
  app.add_option("--count", count, "number of repetitions")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  const std::map<std::string, std::function<double()>> memory = {
      {"live-job",
       [&] { return model_bytes(size, [](int i) { return job_change(i, 0, JobStatus::open); }); }},
      {"live-job-10-placed",
       [&] { return model_bytes(size, [](int i) { return job_change(i, 10, JobStatus::open); }); }},
      {"finished-job",
       [&] { return model_bytes(size, [](int i) { return job_change(i, 0, JobStatus::done); }); }},
      {"machine",
       [&] {
         return model_bytes(size, [](int i) { return machine_change(i, MachinePhase::assigned); });
       }},
      {"machine-gone",
       [&] {
         return model_bytes(size, [](int i) { return machine_change(i, MachinePhase::deleted); });
       }},
      {"held-job", [&] { return controller_bytes(size, 0, kTeams); }},
      {"held-machine", [&] { return controller_bytes(0, size, kTeams); }},
      {"team", [&] { return controller_bytes(0, 0, size); }}};
  const std::map<std::string, std::function<void()>> work = {
      {"report", [&] { measure_reports(size, count); }},
      {"report-encoding", [&] { measure_report_encoding(size, count); }},
      {"followed-change", [&] { measure_followed_changes(size, count); }},
      {"job-life", [&] { measure_job_lives(size, count); }},
      {"poll", [&] { measure_polls(size, count); }},
      {"second-by-waiting-jobs", [&] { measure_seconds(size, 50, kTeams, count); }},
      {"second-by-machines", [&] { measure_seconds(50, size, kTeams, count); }},
      {"second-by-fleet", [&] { measure_fleet_seconds(size, count); }},
      {"second-by-teams", [&] { measure_seconds(50, 50, size, count); }},
      {"start-up-live", [&] { measure_start_up(size, false); }},
      {"start-up-history", [&] { measure_start_up(size, true); }}};
  if (const auto m = memory.find(what); m != memory.end()) {
    std::cout << "bytes " << static_cast<long>(m->second()) << "\n";
  } else if (const auto w = work.find(what); w != work.end()) {
    w->second();
  } else {
    std::cerr << "rushtrestle_cost_scaling: work: must be one of";
    for (const auto& [name, f] : memory) std::cerr << " " << name;
    for (const auto& [name, f] : work) std::cerr << " " << name;
    std::cerr << "\n";
    return 2;
  }
  return 0;
}
