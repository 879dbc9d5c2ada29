// Teams without a guarantee, such as guests: they are served from the capacity that other teams
// leave idle.
#include "coordination/scheduling/best_effort.h"

#include <gtest/gtest.h>

#include <cstdio>

#include "simulation/scenario.h"

namespace rushtrestle::testing {
namespace {

/// Returns two teams: "red" has a guarantee, "guest" has neither a guarantee nor a quota.
std::vector<store::TeamSettings> red_and_guest() {
  return {{"red", {64, 16, 0}, {144, 40, 0}}, {"guest", {}, {store::kNoLimit, store::kNoLimit, 0}}};
}

store::JobSpec low_array(const std::string& id, const std::string& team, uint32_t tasks,
                         double run_s) {
  store::JobSpec spec = array_job(id, tasks, {4, 0, 8}, run_s);
  spec.team = team;
  spec.rank = store::Rank::low;
  spec.image = "image";
  spec.image_gb = 0.5;
  spec.spot = true;
  return spec;
}

TEST(BestEffort, TeamsWithoutAGuaranteeOrALimitAreServed) {
  ClusterSimulation::Options options;
  options.teams = red_and_guest();
  ClusterSimulation sim(options);
  sim.submit(low_array("job-1", "guest", 40, 10), 2);
  sim.run_until(200);
  EXPECT_TRUE(sim.violations.empty());
  EXPECT_EQ(sim.last_reported_status("job-1").value_or(""), "done");
}

store::JobSpec gateway_spec(const std::string& id, const std::string& team) {
  store::JobSpec spec = service_job(id, 2, {2, 0, 4});
  spec.team = team;
  spec.image = "image";
  spec.image_gb = 0.5;
  return spec;
}

/// Returns the number of on-demand machines that were ever provisioned, by the records in the state
/// service.
size_t count_on_demand_machines(const ClusterSimulation& sim) {
  size_t on_demand = 0;
  for (int i = 1;; ++i) {
    char key[32];
    std::snprintf(key, sizeof key, "machine/n-%06d", i);
    const auto* record = sim.stored_value(key);
    if (!record) return on_demand;
    if (!record->value("spot", false)) ++on_demand;
  }
}

// Guards against on-demand machines for best-effort jobs: jobs of guests without a time limit got
// on-demand machines with GPUs, at forty times the price of the cheapest machine.
TEST(BestEffort, NoOnDemandMachineIsProvisionedForJobsWithoutATimeLimit) {
  ClusterSimulation::Options options;
  options.teams = red_and_guest();
  options.boot_failures = false;
  ClusterSimulation sim(options);
  sim.submit(low_array("job-1", "guest", 400, 40), 2);
  sim.run_until(100);
  EXPECT_TRUE(sim.violations.empty());
  EXPECT_GT(sim.running("job-1"), 0U);
  EXPECT_EQ(count_on_demand_machines(sim), 0U);
}

// Guards against guests that fill the headroom: a guest uses nothing of a guarantee of zero, so its
// queue came first in each scheduling pass, and its jobs took the headroom of the other teams.
TEST(BestEffort, HeadroomForExpectedJobsOfOtherTeamsStaysFree) {
  ClusterSimulation::Options options;
  options.nodes = 1;  // With one shard, the teams share its machines.
  options.teams = red_and_guest();
  options.boot_failures = false;
  ClusterSimulation sim(options);
  constexpr int kGateways = 20;
  for (int i = 0; i < kGateways; ++i)
    sim.submit(gateway_spec("job-" + std::to_string(100 + i), "red"), 2 + 10 * i);
  auto array = low_array("job-1", "guest", 2000, 100);
  array.rank = store::Rank::normal;  // This rank may also use on-demand machines.
  sim.submit(array, 60);
  size_t late = 0;
  for (int i = 10; i < kGateways; ++i) {
    const std::string id = "job-" + std::to_string(100 + i);
    sim.at(2 + 10 * i + 5, [&sim, &late, id] { late += sim.running(id) < 2 ? 1 : 0; });
  }
  sim.run_until(230);
  EXPECT_TRUE(sim.violations.empty());
  EXPECT_GT(sim.running("job-1"), 0U);
  EXPECT_LE(late, 1U);
}

TEST(BestEffort, OnlyJobsWithoutATimeLimitUseBestEffortCapacityOnly) {
  store::Settings settings;
  settings.teams = red_and_guest();
  settings.objectives = {{"finished", "timed", 400, 0.8}};
  Context context(settings, {}, "incarnation", 1);
  context.wall = 1000;
  store::JobRecord job;
  job.spec = low_array("job-1", "guest", 1, 10);
  job.submitted = 950;
  EXPECT_TRUE(uses_best_effort_capacity_only(job, context));
  job.submitted = 800;  // A job that has waited long for its first start may run anywhere.
  EXPECT_FALSE(uses_best_effort_capacity_only(job, context));
  job.attempts = 1;
  EXPECT_TRUE(uses_best_effort_capacity_only(job, context));
  const auto best_effort_only_with = [&](auto change) {
    store::JobRecord other = job;
    change(other.spec);
    return uses_best_effort_capacity_only(other, context);
  };
  EXPECT_FALSE(best_effort_only_with([](auto& spec) { spec.team = "red"; }));
  EXPECT_FALSE(best_effort_only_with([](auto& spec) { spec.job_class = "timed"; }));
  EXPECT_FALSE(best_effort_only_with([](auto& spec) { spec.deadline_s = 100; }));
  EXPECT_FALSE(best_effort_only_with([](auto& spec) { spec.rank = store::Rank::normal; }));
  EXPECT_FALSE(best_effort_only_with([](auto& spec) { spec.spot = false; }));
}

}  // namespace
}  // namespace rushtrestle::testing
