// A short budget of writes: what is gathered, what meets it, and what is lost with the controller
// that gathered it.
#include <gtest/gtest.h>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {
namespace {

std::string first(const ClusterSimulation& cluster) {
  return cluster.violations.empty() ? "" : cluster.violations.front();
}

/// Four puts a second for three controllers: every burst is more than they may write.
ClusterSimulation::Options short_budget(uint64_t seed = 1) {
  ClusterSimulation::Options options;
  options.seed = seed;
  options.boot_failures = false;
  options.consolidate = false;
  options.state_write_rps = 4;
  options.types = {{"small", {8, 0, 32}, 50, 1, 1, 0.5, 8, {"a", "b"}}};
  options.capacity = {{"small", 10}};
  options.teams = {{"red", {100, 0, 0}, {160, 0, 0}}, {"blue", {100, 0, 0}, {160, 0, 0}}};
  options.runtime_increase_per_task = 0.05;  // a task ends after the other
  return options;
}

store::JobSpec array(const std::string& id, uint32_t tasks, const std::string& team = "red") {
  store::JobSpec s;
  s.id = id;
  s.job_class = "batch";
  s.team = team;
  s.tasks = tasks;
  s.per_task = {1, 0, 1};
  s.image = "img";
  s.image_gb = 0.1;
  s.estimate_s = 10;
  return s;
}

uint64_t total_starts(const ClusterSimulation& cluster, int jobs) {
  uint64_t n = 0;
  for (int i = 0; i < jobs; ++i) n += cluster.starts_of("job-" + std::to_string(i));
  return n;
}

/// Jobs of `tasks` each that run at the same time.
void submit_jobs(ClusterSimulation& cluster, int jobs, uint32_t tasks, double at) {
  for (int i = 0; i < jobs; ++i)
    cluster.submit(array("job-" + std::to_string(i), tasks, i % 2 ? "blue" : "red"), at + 0.1 * i);
}

void expect_all_done(const ClusterSimulation& cluster, int jobs) {
  for (int i = 0; i < jobs; ++i)
    EXPECT_EQ(cluster.last_reported_status("job-" + std::to_string(i)), "done") << i;
  EXPECT_TRUE(cluster.violations.empty()) << first(cluster);
}

// Each end and each start that was seen was a put of its own: a job of ten tasks took a dozen.
TEST(WritePath, AJobsEndsShareFewPutsWhileTheBudgetIsShort) {
  ClusterSimulation cluster(short_budget());
  constexpr int kJobs = 8;
  constexpr uint32_t kTasks = 12;
  submit_jobs(cluster, kJobs, kTasks, 30);
  cluster.run_until(150);
  expect_all_done(cluster, kJobs);
  EXPECT_EQ(total_starts(cluster, kJobs), kJobs * kTasks);
  EXPECT_LE(cluster.counters().job_writes, kJobs * 7);
}

// What ended and was not written yet is known to the worker, who keeps it until it is: the next
// owner neither runs it again nor misses it.
TEST(WritePath, AnOwnerThatEndsWithGatheredEndsLosesNone) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    ClusterSimulation cluster(short_budget(seed));
    constexpr int kJobs = 8;
    constexpr uint32_t kTasks = 12;
    submit_jobs(cluster, kJobs, kTasks, 30);
    // At different moments of their ends.
    for (int n = 0; n < 3; ++n)
      cluster.at(48 + n + 0.2 * static_cast<double>(seed),
                 [&cluster, n] { cluster.kill_node(n, 4); });
    cluster.run_until(180);
    expect_all_done(cluster, kJobs);
    EXPECT_EQ(total_starts(cluster, kJobs), kJobs * kTasks) << seed;
  }
}

// An unanswered put may or may not have carried its gathered changes.
TEST(WritePath, UnansweredPutsOfGatheredEndsAreSettled) {
  for (const bool at_once : {true, false}) {
    ClusterSimulation cluster(short_budget(3));
    constexpr int kJobs = 8;
    constexpr uint32_t kTasks = 12;
    submit_jobs(cluster, kJobs, kTasks, 30);
    cluster.run_until(46);
    cluster.lose_transaction_answers(15, 0.4, at_once);
    cluster.run_until(220);
    expect_all_done(cluster, kJobs);
    EXPECT_EQ(total_starts(cluster, kJobs), kJobs * kTasks);
  }
}

// The owner holds ends back when the job is called off: its write must not undo that, nor the other
// way round.
TEST(WritePath, ACancellationMeetsGatheredEnds) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    ClusterSimulation cluster(short_budget(seed));
    constexpr int kJobs = 8;
    submit_jobs(cluster, kJobs, 12, 30);
    for (int i = 0; i < kJobs; ++i) cluster.cancel("job-" + std::to_string(i), 50 + 0.3 * i);
    cluster.run_until(150);
    for (int i = 0; i < kJobs; ++i) {
      const std::string id = "job-" + std::to_string(i);
      EXPECT_TRUE(cluster.last_reported_status(id) == "cancelled" ||
                  cluster.last_reported_status(id) == "done")
          << id;
      EXPECT_EQ(cluster.running(id), 0u) << id;
      EXPECT_EQ(cluster.placed_tasks(id), 0u) << id;
    }
    EXPECT_TRUE(cluster.violations.empty()) << first(cluster);
  }
}

// Machines are lost, jobs end and others come, all in the same seconds.
TEST(WritePath, AcceptancesEndsAndLostMachinesAtOnce) {
  ClusterSimulation cluster(short_budget(5));
  constexpr int kJobs = 8, kLater = 30;
  submit_jobs(cluster, kJobs, 10, 30);
  cluster.run_until(50);
  for (size_t n = 0; n < 3; ++n) cluster.kill_machine(n);
  for (int i = kJobs; i < kJobs + kLater; ++i)
    cluster.submit(array("job-" + std::to_string(i), 1, i % 2 ? "blue" : "red"), 50);
  cluster.run_until(300);
  expect_all_done(cluster, kJobs + kLater);
}

// One team's thousand tasks and an urgent job of another: it starts within seconds, though the
// budget is spent throughout.
TEST(WritePath, AnUrgentJobIsPlacedBesideAnotherTeamsFlood) {
  auto options = short_budget(7);
  options.nodes = 1;  // both teams are one controller's
  options.trace = std::getenv("WORLD_TRACE") != nullptr;
  ClusterSimulation cluster(options);
  for (int i = 0; i < 60; ++i) cluster.submit(array("job-" + std::to_string(i), 2), 30 + 0.05 * i);
  auto urgent = array("job-urgent", 1, "blue");
  urgent.rank = store::Rank::high;
  cluster.submit(urgent, 45);
  cluster.run_until(44);
  ASSERT_LT(total_starts(cluster, 60), 120u);  // the flood is still being placed
  cluster.run_until(54.8);
  EXPECT_EQ(cluster.starts_of("job-urgent"), 1u);
  cluster.run_until(200);
  expect_all_done(cluster, 60);
}

// The service falls to a tenth of its rate while much is gathered.
TEST(WritePath, TheRateFallsWhileWritesAreGathered) {
  auto options = short_budget(9);
  options.state_write_rps = 10;
  options.next_write_rps = 2;
  ClusterSimulation cluster(options);
  constexpr int kJobs = 8;
  constexpr uint32_t kTasks = 12;
  submit_jobs(cluster, kJobs, kTasks, 30);
  cluster.run_until(47);
  cluster.lower_write_rate();
  cluster.run_until(300);
  expect_all_done(cluster, kJobs);
  EXPECT_EQ(total_starts(cluster, kJobs), kJobs * kTasks);
}

// The address of a machine waits for a budget; until then its part's next owner knows it from the
// worker's reports alone.
TEST(WritePath, AMachineWhoseAddressIsNotWrittenYetChangesItsOwner) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    ClusterSimulation cluster(short_budget(seed));
    constexpr int kJobs = 8;
    constexpr uint32_t kTasks = 12;
    submit_jobs(cluster, kJobs, kTasks, 3);
    for (int n = 0; n < 3; ++n)
      cluster.at(16 + 0.5 * static_cast<double>(seed), [&cluster, n] { cluster.kill_node(n, 4); });
    cluster.run_until(200);
    expect_all_done(cluster, kJobs);
    EXPECT_EQ(total_starts(cluster, kJobs), kJobs * kTasks) << seed;
  }
}

}  // namespace
}  // namespace rushtrestle::testing
