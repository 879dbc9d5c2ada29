// Tests the buffering of writes while the write budget is short: how many puts it saves, how other
// events interact with it, and that the loss of the buffering controller loses no work.
#include <gtest/gtest.h>

#include "simulation/scenario.h"

namespace rushtrestle::testing {
namespace {

/// Allows four puts per second for three controllers, so that every burst exceeds the budget.
ClusterSimulation::Options short_budget(uint64_t seed = 1) {
  ClusterSimulation::Options options;
  options.seed = seed;
  options.boot_failures = false;
  options.consolidate = false;
  options.state_write_rps = 4;
  options.types = {{"small", {8, 0, 32}, 50, 1, 1, 0.5, 8, {"a", "b"}}};
  options.capacity = {{"small", 10}};
  options.teams = {{"red", {100, 0, 0}, {160, 0, 0}}, {"blue", {100, 0, 0}, {160, 0, 0}}};
  options.runtime_increase_per_task = 0.05;  // tasks end one after another
  return options;
}

store::JobSpec short_array(const std::string& id, uint32_t tasks, const std::string& team = "red") {
  constexpr double kRunS = 10;
  store::JobSpec spec = array_job(id, tasks, {1, 0, 1}, kRunS);
  spec.team = team;
  spec.image_gb = 0.1;
  return spec;
}

uint64_t total_starts(const ClusterSimulation& sim, int jobs) {
  uint64_t starts = 0;
  for (int i = 0; i < jobs; ++i) starts += sim.starts_of("job-" + std::to_string(i));
  return starts;
}

/// Submits jobs of `tasks` tasks each that run at the same time.
void submit_jobs(ClusterSimulation& sim, int jobs, uint32_t tasks, double at) {
  for (int i = 0; i < jobs; ++i)
    sim.submit(short_array("job-" + std::to_string(i), tasks, i % 2 ? "blue" : "red"),
               at + 0.1 * i);
}

void expect_all_done(const ClusterSimulation& sim, int jobs) {
  for (int i = 0; i < jobs; ++i)
    EXPECT_EQ(sim.last_reported_status("job-" + std::to_string(i)), "done") << i;
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// Guards against one put for each start and each completion of a task: a job of ten tasks took a
// dozen puts.
TEST(WritePath, TaskCompletionsOfAJobShareFewPutsWhileTheBudgetIsShort) {
  ClusterSimulation sim(short_budget());
  constexpr int kJobs = 8;
  constexpr uint32_t kTasks = 12;
  submit_jobs(sim, kJobs, kTasks, 30);
  sim.run_until(150);
  expect_all_done(sim, kJobs);
  EXPECT_EQ(total_starts(sim, kJobs), kJobs * kTasks);
  EXPECT_LE(sim.counters().job_writes, kJobs * 7);
}

// A worker keeps a completed task until its completion is written, so the job's next shard
// leader neither runs the task again nor misses its completion.
TEST(WritePath, AKilledOwnerLosesNoBufferedCompletions) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    ClusterSimulation sim(short_budget(seed));
    constexpr int kJobs = 8;
    constexpr uint32_t kTasks = 12;
    submit_jobs(sim, kJobs, kTasks, 30);
    // The kills come at a different moment of the completions with each seed.
    for (int n = 0; n < 3; ++n)
      sim.at(48 + n + 0.2 * static_cast<double>(seed), [&sim, n] { sim.kill_node(n, 4); });
    sim.run_until(180);
    expect_all_done(sim, kJobs);
    EXPECT_EQ(total_starts(sim, kJobs), kJobs * kTasks) << seed;
  }
}

// The controller can't know whether an unanswered put applied its buffered changes.
TEST(WritePath, UnansweredPutsOfBufferedCompletionsAreResolved) {
  for (const bool at_once : {true, false}) {
    ClusterSimulation sim(short_budget(3));
    constexpr int kJobs = 8;
    constexpr uint32_t kTasks = 12;
    submit_jobs(sim, kJobs, kTasks, 30);
    sim.run_until(46);
    sim.lose_transaction_answers(15, 0.4, at_once);
    sim.run_until(220);
    expect_all_done(sim, kJobs);
    EXPECT_EQ(total_starts(sim, kJobs), kJobs * kTasks);
  }
}

// The shard leader buffers completions when the job is cancelled: the write of the completions must
// not undo the cancellation, nor the cancellation the completions.
TEST(WritePath, ACancellationAndBufferedCompletionsDoNotUndoEachOther) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    ClusterSimulation sim(short_budget(seed));
    constexpr int kJobs = 8;
    submit_jobs(sim, kJobs, 12, 30);
    for (int i = 0; i < kJobs; ++i) sim.cancel("job-" + std::to_string(i), 50 + 0.3 * i);
    sim.run_until(150);
    for (int i = 0; i < kJobs; ++i) {
      const std::string id = "job-" + std::to_string(i);
      EXPECT_TRUE(sim.last_reported_status(id) == "cancelled" ||
                  sim.last_reported_status(id) == "done")
          << id;
      EXPECT_EQ(sim.running(id), 0u) << id;
      EXPECT_EQ(sim.placed_tasks(id), 0u) << id;
    }
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// Machines are lost, jobs end and others are submitted, all within the same seconds.
TEST(WritePath, SubmissionsCompletionsAndLostMachinesAtTheSameTime) {
  ClusterSimulation sim(short_budget(5));
  constexpr int kJobs = 8, kLaterJobs = 30;
  submit_jobs(sim, kJobs, 10, 30);
  sim.run_until(50);
  for (size_t n = 0; n < 3; ++n) sim.kill_machine(n);
  for (int i = kJobs; i < kJobs + kLaterJobs; ++i)
    sim.submit(short_array("job-" + std::to_string(i), 1, i % 2 ? "blue" : "red"), 50);
  sim.run_until(300);
  expect_all_done(sim, kJobs + kLaterJobs);
}

// An urgent job starts within seconds while another team's 120 tasks use up the write budget.
TEST(WritePath, AnUrgentJobIsPlacedDuringAnotherTeamsBurst) {
  auto options = short_budget(7);
  options.nodes = 1;  // one controller leads the shard of both teams
  options.trace = std::getenv("WORLD_TRACE") != nullptr;
  ClusterSimulation sim(options);
  for (int i = 0; i < 60; ++i)
    sim.submit(short_array("job-" + std::to_string(i), 2), 30 + 0.05 * i);
  auto urgent = short_array("job-urgent", 1, "blue");
  urgent.rank = store::Rank::high;
  sim.submit(urgent, 45);
  sim.run_until(44);
  ASSERT_LT(total_starts(sim, 60), 120u);  // the burst is still being placed
  sim.run_until(54.8);
  EXPECT_EQ(sim.starts_of("job-urgent"), 1u);
  sim.run_until(200);
  expect_all_done(sim, 60);
}

// The state store lowers its write rate from 10 to 2 per second while many writes are buffered.
TEST(WritePath, TheWriteRateFallsWhileWritesAreBuffered) {
  auto options = short_budget(9);
  options.state_write_rps = 10;
  options.next_write_rps = 2;
  ClusterSimulation sim(options);
  constexpr int kJobs = 8;
  constexpr uint32_t kTasks = 12;
  submit_jobs(sim, kJobs, kTasks, 30);
  sim.run_until(47);
  sim.lower_write_rate();
  sim.run_until(300);
  expect_all_done(sim, kJobs);
  EXPECT_EQ(total_starts(sim, kJobs), kJobs * kTasks);
}

// The write of a machine's address waits for the write budget. Until then, a new shard leader
// learns the address only from the worker's reports.
TEST(WritePath, AMachineWhoseAddressIsNotWrittenYetGetsANewOwner) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    ClusterSimulation sim(short_budget(seed));
    constexpr int kJobs = 8;
    constexpr uint32_t kTasks = 12;
    submit_jobs(sim, kJobs, kTasks, 3);
    for (int n = 0; n < 3; ++n)
      sim.at(16 + 0.5 * static_cast<double>(seed), [&sim, n] { sim.kill_node(n, 4); });
    sim.run_until(200);
    expect_all_done(sim, kJobs);
    EXPECT_EQ(total_starts(sim, kJobs), kJobs * kTasks) << seed;
  }
}

}  // namespace
}  // namespace rushtrestle::testing
