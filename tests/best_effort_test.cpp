// A team without a guarantee, as guests are: it is served, and from what the others leave.
#include "coordination/scheduling/best_effort.h"

#include <gtest/gtest.h>

#include <cstdio>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {
namespace {

/// "red" has a guarantee, "guest" has neither guarantee nor limit.
std::vector<store::TeamSettings> red_and_guest() {
  return {{"red", {64, 16, 0}, {144, 40, 0}}, {"guest", {}, {store::kNoLimit, store::kNoLimit, 0}}};
}

store::JobSpec array_of(const std::string& id, const std::string& team, uint32_t tasks,
                        double run_s) {
  store::JobSpec spec;
  spec.id = id;
  spec.job_class = "batch";
  spec.team = team;
  spec.kind = store::JobKind::array;
  spec.rank = store::Rank::low;
  spec.tasks = tasks;
  spec.per_task = {4, 0, 8};
  spec.image = "image";
  spec.image_gb = 0.5;
  spec.estimate_s = run_s;
  spec.spot = true;
  return spec;
}

TEST(BestEffort, WithoutAGuaranteeOrALimitAreServed) {
  ClusterSimulation::Options options;
  options.teams = red_and_guest();
  ClusterSimulation w(options);
  w.submit(array_of("job-1", "guest", 40, 10), 2);
  w.run_until(200);
  EXPECT_TRUE(w.violations.empty());
  EXPECT_EQ(w.last_reported_status("job-1").value_or(""), "done");
}

store::JobSpec gateway_of(const std::string& id, const std::string& team) {
  store::JobSpec spec;
  spec.id = id;
  spec.job_class = "gateway";
  spec.team = team;
  spec.kind = store::JobKind::service;
  spec.rank = store::Rank::production;
  spec.tasks = 2;
  spec.per_task = {2, 0, 4};
  spec.image = "image";
  spec.image_gb = 0.5;
  return spec;
}

/// Ordinary machines that were ever rented, by the records in the state service.
size_t ordinary_machines(const ClusterSimulation& w) {
  size_t ordinary = 0;
  for (int i = 1;; ++i) {
    char key[32];
    std::snprintf(key, sizeof key, "machine/n-%06d", i);
    const auto* record = w.stored_value(key);
    if (!record) return ordinary;
    if (!record->value("spot", false)) ++ordinary;
  }
}

// Idle-time work of guests was given ordinary machines with GPUs, at forty times the price of the
// cheapest.
TEST(BestEffort, HaveNoOrdinaryMachineRentedForTheirIdleTimeWork) {
  ClusterSimulation::Options options;
  options.teams = red_and_guest();
  options.boot_failures = false;
  ClusterSimulation w(options);
  w.submit(array_of("job-1", "guest", 400, 40), 2);
  w.run_until(100);
  EXPECT_TRUE(w.violations.empty());
  EXPECT_GT(w.running("job-1"), 0U);
  EXPECT_EQ(ordinary_machines(w), 0U);
}

// With nothing used of a guarantee of nothing, a guest's queue came first in each pass, and its
// work filled the spare room.
TEST(BestEffort, LeaveRoomForWhatIsExpectedOfTheOthers) {
  ClusterSimulation::Options options;
  options.nodes = 1;  // one part: the teams share its machines
  options.teams = red_and_guest();
  options.boot_failures = false;
  ClusterSimulation w(options);
  constexpr int kGateways = 20;
  for (int i = 0; i < kGateways; ++i)
    w.submit(gateway_of("job-" + std::to_string(100 + i), "red"), 2 + 10 * i);
  auto array = array_of("job-1", "guest", 2000, 100);
  array.rank = store::Rank::normal;  // on ordinary machines, too
  w.submit(array, 60);
  size_t late = 0;
  for (int i = 10; i < kGateways; ++i) {
    const std::string id = "job-" + std::to_string(100 + i);
    w.at(2 + 10 * i + 5, [&w, &late, id] { late += w.running(id) < 2 ? 1 : 0; });
  }
  w.run_until(230);
  EXPECT_TRUE(w.violations.empty());
  EXPECT_GT(w.running("job-1"), 0U);
  EXPECT_LE(late, 1U);
}

TEST(BestEffort, IdleTimeWorkHasNoDeadlineNoObjectiveAndHasBegun) {
  store::Settings settings;
  settings.teams = red_and_guest();
  settings.objectives = {{"finished", "timed", 400, 0.8}};
  Context context(settings, {}, "incarnation", 1);
  context.wall = 1000;
  store::JobRecord job;
  job.spec = array_of("job-1", "guest", 1, 10);
  job.submitted = 950;
  EXPECT_TRUE(uses_best_effort_capacity_only(job, context));
  job.submitted = 800;  // not begun for long: anywhere
  EXPECT_FALSE(uses_best_effort_capacity_only(job, context));
  job.attempts = 1;
  EXPECT_TRUE(uses_best_effort_capacity_only(job, context));
  const auto with = [&](auto change) {
    store::JobRecord other = job;
    change(other.spec);
    return uses_best_effort_capacity_only(other, context);
  };
  EXPECT_FALSE(with([](auto& spec) { spec.team = "red"; }));
  EXPECT_FALSE(with([](auto& spec) { spec.job_class = "timed"; }));
  EXPECT_FALSE(with([](auto& spec) { spec.deadline_s = 100; }));
  EXPECT_FALSE(with([](auto& spec) { spec.rank = store::Rank::normal; }));
  EXPECT_FALSE(with([](auto& spec) { spec.spot = false; }));
}

}  // namespace
}  // namespace rushtrestle::testing
