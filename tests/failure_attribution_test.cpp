// Whose fault a failed task is: the job's, that was submitted with a mistake, or the machine's.
#include "coordination/shard/failure_attribution.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <set>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {
namespace {

TEST(FailureAttribution, OnlyJobsThatDoNotFailEverywherePointToAMachine) {
  const FailedJob new_one{false, 1};
  const FailedJob broken{false, 2};
  const FailedJob healthy{true, 3};
  EXPECT_EQ(judge_machine({}), MachineVerdict::healthy);
  EXPECT_EQ(judge_machine({healthy}), MachineVerdict::healthy);
  EXPECT_EQ(judge_machine({broken, broken, broken}), MachineVerdict::healthy);
  EXPECT_EQ(judge_machine({broken, new_one}), MachineVerdict::healthy);
  EXPECT_EQ(judge_machine({new_one, new_one}), MachineVerdict::suspect);
  EXPECT_EQ(judge_machine({healthy, new_one, broken}), MachineVerdict::faulty);
}

store::JobSpec array_of(const std::string& id, uint32_t tasks) {
  store::JobSpec spec;
  spec.id = id;
  spec.job_class = "batch";
  spec.team = "red";
  spec.kind = store::JobKind::array;
  spec.rank = store::Rank::normal;
  spec.tasks = tasks;
  spec.per_task = {2, 0, 4};
  spec.image = "image";
  spec.image_gb = 0.5;
  spec.estimate_s = 10;
  return spec;
}

/// Machines that are condemned at some look, four a second, until the end of the play.
std::set<std::string> condemned_until(ClusterSimulation& w, double end) {
  std::set<std::string> condemned;
  while (w.now() < end) {
    w.run_until(w.now() + 0.25);
    for (int i = 1;; ++i) {
      char key[32];
      std::snprintf(key, sizeof key, "machine/n-%06d", i);
      const auto* record = w.stored(key);
      if (!record) break;
      if (record->at("phase") == static_cast<int>(store::MachinePhase::marked_for_deletion))
        condemned.insert(key);
    }
  }
  return condemned;
}

ClusterSimulation::Options quiet_cloud() {
  ClusterSimulation::Options options;
  options.boot_failures = false;
  options.consolidate = false;
  return options;
}

TEST(FailureAttribution, JobsWithAMistakeCondemnNoMachineAndCostLittle) {
  ClusterSimulation w(quiet_cloud());
  constexpr int kBroken = 4;
  for (int i = 0; i < kBroken; ++i) {
    const std::string id = "job-" + std::to_string(10 + i);
    w.submit(array_of(id, 12), 20 + 3 * i);
    w.at(20 + 3 * i, [&w, id] { w.break_job(id); });
    w.cancel(id, 170);
  }
  for (int i = 0; i < 12; ++i) w.submit(array_of("job-" + std::to_string(30 + i), 2), 21 + 8 * i);
  EXPECT_TRUE(condemned_until(w, 230).empty());
  EXPECT_TRUE(w.broken.empty());
  for (int i = 0; i < 12; ++i)
    EXPECT_EQ(w.told("job-" + std::to_string(30 + i)).value_or(""), "done") << i;
  for (int i = 0; i < kBroken; ++i) {
    EXPECT_EQ(w.told("job-" + std::to_string(10 + i)).value_or(""), "cancelled");
    EXPECT_LE(w.starts_of("job-" + std::to_string(10 + i)),
              40U);  // with all twelve tasks tried each time: a hundred
  }
}

TEST(FailureAttribution, ABadMachineIsCondemnedAndItsJobsGoOnElsewhere) {
  ClusterSimulation w(quiet_cloud());
  auto first = array_of("job-1", 2);
  first.estimate_s = 30;
  w.submit(first, 3);
  w.at(25, [&w] { w.sicken_machine_of("job-1", 1000); });
  for (int i = 0; i < 8; ++i) w.submit(array_of("job-" + std::to_string(10 + i), 3), 26 + 5 * i);
  EXPECT_FALSE(condemned_until(w, 120).empty());
  EXPECT_TRUE(w.broken.empty());
  for (int i = 0; i < 8; ++i)
    EXPECT_EQ(w.told("job-" + std::to_string(10 + i)).value_or(""), "done") << i;
}

}  // namespace
}  // namespace rushtrestle::testing
