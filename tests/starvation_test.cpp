// Controllers that get too little processor time: batches that take long, commands that wait
// unread, decisions that leave late. The rules hold, nobody is judged for it, and all are served
// once there is time again.
#include <gtest/gtest.h>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {
namespace {

store::JobSpec service(const std::string& id, uint32_t tasks) {
  store::JobSpec s;
  s.id = id;
  s.job_class = "gateway";
  s.team = "red";
  s.kind = store::JobKind::service;
  s.rank = store::Rank::production;
  s.tasks = tasks;
  s.per_task = {8, 0, 8};
  s.image = "img";
  s.image_gb = 1;
  return s;
}

std::string first(const ClusterSimulation& w) {
  return w.violations.empty() ? "" : w.violations.front();
}

ClusterSimulation::Options fleet() {
  ClusterSimulation::Options options;
  options.boot_failures = false;
  options.consolidate = false;
  options.types = {{"small", {8, 0, 32}, 50, 1, 1, 0.5, 8, {"a", "b"}}};
  options.capacity = {{"small", 20}};
  options.teams = {{"red", {400, 0, 0}, {400, 0, 0}}, {"blue", {100, 0, 0}, {100, 0, 0}}};
  return options;
}

// A holder that stood still reads a few reports first, while the others wait. Whoever stands still
// for as long as a machine may be silent has lost its lease, and with it the right to judge, long
// before.
TEST(Starvation, MachinesWhoseReportsWaitUnreadAreNotCondemned) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    auto options = fleet();
    options.seed = seed;
    ClusterSimulation w(options);
    w.submit(service("job-1", 16), 3);
    w.run_until(40);
    ASSERT_EQ(w.running("job-1"), 16u);
    const int owner = w.shard_holder_of("job-1").value();
    w.freeze_node(owner, 8);
    w.run_until(48);
    w.starve_node(owner, 4, 0.4);
    w.run_until(90);
    EXPECT_EQ(w.running("job-1"), 16u) << seed;
    EXPECT_EQ(w.starts_of("job-1"), 16u) << seed;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// Polls are shed first, at once and with a time to come back; what users want written is still
// taken.
TEST(Starvation, PollsAreShedAndSubmissionsTaken) {
  ClusterSimulation w(fleet());
  w.submit(service("job-1", 2), 3);
  w.run_until(40);
  for (int n = 0; n < 3; ++n) w.starve_node(n, 30, 0.9);
  w.run_until(45);
  const auto before = w.counters();
  for (int i = 0; i < 20; ++i) w.query_job("job-1", 46 + i, i % 3);
  w.submit(service("job-2", 2), 50);
  w.run_until(120);
  EXPECT_GT(w.counters().retry_later_answers, before.retry_later_answers);
  EXPECT_TRUE(w.accepted("job-2"));
  EXPECT_EQ(w.running("job-2"), 2u);
  EXPECT_EQ(w.starts_of("job-1"), 2u);
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

// One pause of any length between a decision and its sending, longer than the controller's lease
// among them.
TEST(Starvation, ADecisionThatLeavesLateBreaksNoRule) {
  for (const double pause : {1.0, 4.0, 12.0, 25.0, 40.0}) {
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      auto options = fleet();
      options.seed = seed;
      ClusterSimulation w(options);
      for (int i = 0; i < 12; ++i) {
        w.submit(service("job-" + std::to_string(i), 2), 3 + 2.0 * i);
        if (i % 2) w.cancel("job-" + std::to_string(i), 22 + 2.0 * i);
      }
      w.run_until(20 + static_cast<double>(seed));
      w.starve_node(w.shard_holder_of("job-0").value(), 0.1, pause);
      w.run_until(160);
      EXPECT_TRUE(w.violations.empty()) << first(w) << ", pause " << pause << ", seed " << seed;
      for (int i = 0; i < 12; i += 2)
        EXPECT_EQ(w.running("job-" + std::to_string(i)), 2u) << pause << " " << seed;
      for (int i = 1; i < 12; i += 2)
        EXPECT_EQ(w.running("job-" + std::to_string(i)), 0u) << pause << " " << seed;
    }
  }
}

// Near the limit a kill would end all that the process was about to do.
TEST(Starvation, NewWorkIsRefusedNearTheLimitOfMemory) {
  auto options = fleet();
  options.memory_in_use_mb = 55;
  ClusterSimulation w(options);
  w.submit(service("job-1", 2), 3);
  w.run_until(30);
  EXPECT_FALSE(w.accepted("job-1"));
  EXPECT_GT(w.counters().retry_later_answers, 0u);
}

}  // namespace
}  // namespace rushtrestle::testing
