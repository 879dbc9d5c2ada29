// Controllers that get too little CPU time: batches take long, commands wait unread, and decisions
// are sent late. No rule is broken, no machine is given up because of it, and all jobs are served
// once there is CPU time again.
#include <gtest/gtest.h>

#include "simulation/scenario.h"

namespace rushtrestle::testing {
namespace {

ClusterSimulation::Options fleet_options() {
  ClusterSimulation::Options options;
  options.boot_failures = false;
  options.consolidate = false;
  options.types = {{"small", {8, 0, 32}, 50, 1, 1, 0.5, 8, {"a", "b"}}};
  options.capacity = {{"small", 20}};
  options.teams = {{"red", {400, 0, 0}, {400, 0, 0}}, {"blue", {100, 0, 0}, {100, 0, 0}}};
  return options;
}

// A shard leader that was frozen reads a few of the waiting reports first, and must not give up the
// machines whose reports it has not yet read. A controller that is frozen for as long as a machine
// may be silent has lost its lease long before, and with it the right to give up machines.
TEST(Starvation, MachinesWhoseReportsWaitUnreadAreNotGivenUp) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    auto options = fleet_options();
    options.seed = seed;
    ClusterSimulation sim(options);
    sim.submit(service_job("job-1", 16, {8, 0, 8}), 3);
    sim.run_until(40);
    ASSERT_EQ(sim.running("job-1"), 16u);
    const int holder = sim.shard_holder_of("job-1").value();
    sim.freeze_node(holder, 8);
    sim.run_until(48);
    sim.starve_node(holder, 4, 0.4);
    sim.run_until(90);
    EXPECT_EQ(sim.running("job-1"), 16u) << seed;
    EXPECT_EQ(sim.starts_of("job-1"), 16u) << seed;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// An overloaded controller sheds polls first: it answers them at once, with a time after which to
// retry. It still accepts submissions.
TEST(Starvation, PollsAreShedAndSubmissionsTaken) {
  ClusterSimulation sim(fleet_options());
  sim.submit(service_job("job-1", 2, {8, 0, 8}), 3);
  sim.run_until(40);
  for (int n = 0; n < 3; ++n) sim.starve_node(n, 30, 0.9);
  sim.run_until(45);
  const auto before = sim.counters();
  for (int i = 0; i < 20; ++i) sim.query_job("job-1", 46 + i, i % 3);
  sim.submit(service_job("job-2", 2, {8, 0, 8}), 50);
  sim.run_until(120);
  EXPECT_GT(sim.counters().retry_later_answers, before.retry_later_answers);
  EXPECT_TRUE(sim.accepted("job-2"));
  EXPECT_EQ(sim.running("job-2"), 2u);
  EXPECT_EQ(sim.starts_of("job-1"), 2u);
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// A controller pauses once between a decision and its sending. Some of the pauses are longer than
// the controller's lease.
TEST(Starvation, ADecisionThatIsSentLateBreaksNoRule) {
  for (const double pause : {1.0, 4.0, 12.0, 25.0, 40.0}) {
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      auto options = fleet_options();
      options.seed = seed;
      ClusterSimulation sim(options);
      for (int i = 0; i < 12; ++i) {
        sim.submit(service_job("job-" + std::to_string(i), 2, {8, 0, 8}), 3 + 2.0 * i);
        if (i % 2) sim.cancel("job-" + std::to_string(i), 22 + 2.0 * i);
      }
      sim.run_until(20 + static_cast<double>(seed));
      sim.starve_node(sim.shard_holder_of("job-0").value(), 0.1, pause);
      sim.run_until(160);
      EXPECT_TRUE(sim.violations.empty())
          << first_violation(sim) << ", pause " << pause << ", seed " << seed;
      for (int i = 0; i < 12; i += 2)
        EXPECT_EQ(sim.running("job-" + std::to_string(i)), 2u) << pause << " " << seed;
      for (int i = 1; i < 12; i += 2)
        EXPECT_EQ(sim.running("job-" + std::to_string(i)), 0u) << pause << " " << seed;
    }
  }
}

// Near the memory limit the process could be killed, and all its unfinished work would be lost.
TEST(Starvation, SubmissionsAreRefusedNearTheMemoryLimit) {
  auto options = fleet_options();
  options.memory_in_use_mb = 55;
  ClusterSimulation sim(options);
  sim.submit(service_job("job-1", 2, {8, 0, 8}), 3);
  sim.run_until(30);
  EXPECT_FALSE(sim.accepted("job-1"));
  EXPECT_GT(sim.counters().retry_later_answers, 0u);
}

}  // namespace
}  // namespace rushtrestle::testing
