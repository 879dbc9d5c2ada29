// The paper's eligibility criteria and edge cases, one by one.
#include <gtest/gtest.h>

#include <limits>

#include "coordination/preemption/nomination.h"
#include "simulation/cluster_simulation.h"

namespace rushtrestle::coordination {
namespace {

constexpr double kNow = 1e9;

store::JobRecord overrun() {
  store::JobRecord r;
  r.spec.rank = store::Rank::normal;
  r.spec.estimate_s = 100;
  r.last_start = kNow - 100;
  r.placed.push_back({0, "m", 1, true, false});
  return r;
}

std::string reason(const store::JobRecord& r) { return nomination_skip_reason(r, kNow, {}, 1.0); }

TEST(Requeue, NominatesOnceTheExpectedRuntimeIsReached) { EXPECT_EQ(reason(overrun()), ""); }

TEST(Requeue, NotBeforeTheExpectedRuntime) {
  auto r = overrun();
  r.last_start += 0.5;
  EXPECT_EQ(reason(r), "not_due");
}

TEST(Requeue, OnlyRunningJobs) {
  auto r = overrun();
  r.placed[0].running = false;
  EXPECT_EQ(reason(r), "not_running");
  r.placed.clear();
  EXPECT_EQ(reason(r), "not_running");
}

TEST(Requeue, OnlyPreemptibleRanks) {
  auto r = overrun();
  r.spec.rank = store::Rank::production;
  EXPECT_EQ(reason(r), "not_preemptible");
}

TEST(Requeue, JobsWithoutAValidRuntimeAreNeverNominated) {
  for (const double bad : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(),
                           std::numeric_limits<double>::infinity()}) {
    auto r = overrun();
    r.spec.estimate_s = bad;
    EXPECT_EQ(reason(r), "invalid_duration");
  }
}

TEST(Requeue, MissingStart) {
  auto r = overrun();
  r.last_start = 0;
  EXPECT_EQ(reason(r), "missing_start");
}

TEST(Requeue, ClockSkewIsToldFromTwoHonestClocks) {
  auto r = overrun();
  r.last_start = kNow + 1.5;  // within twice the bound of one second
  EXPECT_EQ(reason(r), "not_due");
  r.last_start = kNow + 2.5;
  EXPECT_EQ(reason(r), "clock_skew");
}

TEST(Requeue, CooldownGate) {
  auto r = overrun();
  r.not_before = kNow + 1;
  EXPECT_EQ(reason(r), "cooldown");
  r.not_before = kNow;
  EXPECT_EQ(reason(r), "");
  r.not_before = -3;
  EXPECT_EQ(reason(r), "invalid_not_before");
  r.not_before = std::numeric_limits<double>::quiet_NaN();
  EXPECT_EQ(reason(r), "invalid_not_before");
}

store::JobSpec filler(const std::string& id, uint32_t tasks, double estimate) {
  store::JobSpec s;
  s.id = id;
  s.job_class = "batch";
  s.team = "red";
  s.tasks = tasks;
  s.per_task = {16, 0, 1};
  s.image = "i";
  s.estimate_s = estimate;
  return s;
}

// One machine type, one machine a zone: what waits can only run in place of something else.
testing::ClusterSimulation::Options tight() {
  testing::ClusterSimulation::Options o;
  o.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 5, {"a", "b"}}};
  o.capacity = {{"small", 1}};
  return o;
}

// A fleet of two machines that can't grow, full of an array whose owner guessed 20 s and that runs
// for ten times that.
testing::ClusterSimulation::Options overrunning() {
  auto o = tight();
  o.boot_failures = false;
  o.run_factor = 10;
  return o;
}

TEST(Requeue, OverrunAloneEvictsNothing) {
  testing::ClusterSimulation w(overrunning());
  w.submit(filler("job-1", 2, 20), 1);
  w.run_until(100);
  EXPECT_EQ(w.running("job-1"), 2u);
  EXPECT_EQ(w.starts_of("job-1"), 2u);
  EXPECT_TRUE(w.violations.empty()) << w.violations.front();
}

TEST(Requeue, AContenderThatNeverFitsEvictsNothing) {
  testing::ClusterSimulation w(overrunning());
  w.submit(filler("job-1", 2, 20), 1);
  auto big = filler("job-2", 3, 20);  // never fits whole: stays out, and every trial rolls back
  big.rank = store::Rank::high;
  big.per_task.cpus = 16;
  w.submit(big, 20);
  w.run_until(90);
  EXPECT_EQ(w.starts_of("job-1"), 2u);
  EXPECT_EQ(w.stored_value("job/job-1")->value("not_before", 0.0), 0.0);
  EXPECT_TRUE(w.violations.empty()) << w.violations.front();
}

// Nomination, trial, commit, stop, the contender whole in the freed room, and the cooldown of the
// victim.
TEST(Requeue, ACommitMakesRoomForTheContenderAndTheVictimSitsOutItsCooldown) {
  testing::ClusterSimulation w(overrunning());
  w.submit(filler("job-1", 2, 20), 1);
  auto preemptor = filler("job-2", 2, 3);  // 30 s in truth
  preemptor.rank = store::Rank::high;
  w.submit(preemptor, 20);
  w.run_until(25);
  ASSERT_EQ(w.running("job-1"), 2u);
  EXPECT_EQ(w.starts_of("job-2"), 0u) << "not due yet";
  w.run_until(50);
  EXPECT_EQ(w.running("job-2"), 2u);
  EXPECT_EQ(w.running("job-1"), 0u);
  const double not_before = w.stored_value("job/job-1")->value("not_before", 0.0);
  EXPECT_GT(not_before, 0.0);
  // When the contender is over the victim runs again, from its checkpoint or anew; another
  // contender comes once it is due again, and gets nothing while the cooldown lasts.
  w.run_until(75);
  EXPECT_EQ(w.last_reported_status("job-2"), "done");
  EXPECT_EQ(w.running("job-1"), 2u);
  EXPECT_EQ(w.starts_of("job-1"), 4u);
  auto second = filler("job-3", 2, 3);
  second.rank = store::Rank::high;
  w.submit(second, 76);
  const double cooldown_ends = w.now() + 60;  // the commit was before now
  w.run_until(not_before - 1e9 - 2);
  EXPECT_EQ(w.starts_of("job-3"), 0u);
  EXPECT_EQ(w.starts_of("job-1"), 4u);
  w.run_until(cooldown_ends + 40);
  EXPECT_EQ(w.starts_of("job-3"), 2u);
  EXPECT_TRUE(w.violations.empty()) << w.violations.front();
}

}  // namespace
}  // namespace rushtrestle::coordination
