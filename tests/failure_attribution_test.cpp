// Tests whether failed tasks are attributed to a job that was submitted with a mistake or to a
// faulty machine, and guards against the deletion of healthy machines because of such jobs.
#include "coordination/shard/failure_attribution.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <set>

#include "simulation/scenario.h"

namespace rushtrestle::testing {
namespace {

TEST(FailureAttribution, OnlyJobsThatDoNotFailEverywherePointToAMachine) {
  const FailedJob new_job{false, 1};
  const FailedJob failing_job{false, 2};
  const FailedJob known_good_job{true, 3};
  EXPECT_EQ(classify_machine({}), MachineVerdict::healthy);
  EXPECT_EQ(classify_machine({known_good_job}), MachineVerdict::healthy);
  EXPECT_EQ(classify_machine({failing_job, failing_job, failing_job}), MachineVerdict::healthy);
  EXPECT_EQ(classify_machine({failing_job, new_job}), MachineVerdict::healthy);
  EXPECT_EQ(classify_machine({new_job, new_job}), MachineVerdict::suspect);
  EXPECT_EQ(classify_machine({known_good_job, new_job, failing_job}), MachineVerdict::faulty);
}

store::JobSpec short_array(const std::string& id, uint32_t tasks) {
  constexpr double kRunS = 10;
  store::JobSpec spec = array_job(id, tasks, {2, 0, 4}, kRunS);
  spec.image = "image";
  spec.image_gb = 0.5;
  return spec;
}

/// Runs the simulation until `end`, in seconds, and returns the machines that are seen marked for
/// deletion, checking four times a second.
std::set<std::string> machines_marked_for_deletion_until(ClusterSimulation& cluster, double end) {
  std::set<std::string> marked;
  while (cluster.now() < end) {
    cluster.run_until(cluster.now() + 0.25);
    for (int i = 1;; ++i) {
      char key[32];
      std::snprintf(key, sizeof key, "machine/n-%06d", i);
      const auto* record = cluster.stored_value(key);
      if (!record) break;
      if (record->at("phase") == static_cast<int>(store::MachinePhase::marked_for_deletion))
        marked.insert(key);
    }
  }
  return marked;
}

ClusterSimulation::Options stable_fleet_options() {
  ClusterSimulation::Options options;
  options.boot_failures = false;
  options.consolidate = false;
  return options;
}

TEST(FailureAttribution, FaultyJobsMarkNoMachineForDeletionAndCostFewStarts) {
  ClusterSimulation cluster(stable_fleet_options());
  constexpr int kFailingJobs = 4;
  for (int i = 0; i < kFailingJobs; ++i) {
    const std::string id = "job-" + std::to_string(10 + i);
    cluster.submit(short_array(id, 12), 20 + 3 * i);
    cluster.at(20 + 3 * i, [&cluster, id] { cluster.fail_all_tasks_of(id); });
    cluster.cancel(id, 170);
  }
  for (int i = 0; i < 12; ++i)
    cluster.submit(short_array("job-" + std::to_string(30 + i), 2), 21 + 8 * i);
  EXPECT_TRUE(machines_marked_for_deletion_until(cluster, 230).empty());
  EXPECT_TRUE(cluster.violations.empty());
  for (int i = 0; i < 12; ++i)
    EXPECT_EQ(cluster.last_reported_status("job-" + std::to_string(30 + i)).value_or(""), "done")
        << i;
  for (int i = 0; i < kFailingJobs; ++i) {
    EXPECT_EQ(cluster.last_reported_status("job-" + std::to_string(10 + i)).value_or(""),
              "cancelled");
    EXPECT_LE(cluster.starts_of("job-" + std::to_string(10 + i)),
              40U);  // retrying all twelve tasks each time would take about a hundred starts
  }
}

TEST(FailureAttribution, AFaultyMachineIsMarkedForDeletionAndItsJobsCompleteElsewhere) {
  ClusterSimulation cluster(stable_fleet_options());
  auto first = short_array("job-1", 2);
  first.estimate_s = 30;
  cluster.submit(first, 3);
  cluster.at(25, [&cluster] { cluster.fail_tasks_on_machine_of("job-1", 1000); });
  for (int i = 0; i < 8; ++i)
    cluster.submit(short_array("job-" + std::to_string(10 + i), 3), 26 + 5 * i);
  EXPECT_FALSE(machines_marked_for_deletion_until(cluster, 120).empty());
  EXPECT_TRUE(cluster.violations.empty());
  for (int i = 0; i < 8; ++i)
    EXPECT_EQ(cluster.last_reported_status("job-" + std::to_string(10 + i)).value_or(""), "done")
        << i;
}

}  // namespace
}  // namespace rushtrestle::testing
