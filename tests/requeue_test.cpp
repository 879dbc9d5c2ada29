// The paper's eligibility criteria and edge cases, one by one.
#include "coordination/requeue.h"

#include <gtest/gtest.h>

#include <limits>

#include "world.h"

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
  for (const double bad : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
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
testing::World::Options tight() {
  testing::World::Options o;
  o.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 5, {"a", "b"}}};
  o.capacity = {{"small", 1}};
  return o;
}

TEST(Requeue, OverrunAloneEvictsNothing) {
  testing::World w(tight());
  // The owner's guess is 5 s, the task runs for much longer.
  auto job = filler("job-1", 2, 200);
  w.submit(job, 1);
  w.run_until(100);
  EXPECT_EQ(w.starts_of("job-1"), 2u);
  EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Requeue, AContenderThatNeverFitsEvictsNothing) {
  testing::World w(tight());
  w.submit(filler("job-1", 2, 40), 1);
  auto big = filler("job-2", 3, 20);  // never fits whole: stays out, and evicts nothing
  big.rank = store::Rank::high;
  big.kind = store::JobKind::service;
  big.per_task.cpus = 16;
  w.submit(big, 20);
  w.run_until(35);
  EXPECT_EQ(w.starts_of("job-1"), 2u);
  EXPECT_EQ(w.running("job-2"), 0u);
  EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

}  // namespace
}  // namespace rushtrestle::coordination
