// Tests the criteria of the Expected Runtime design for nominating a job as a preemption victim,
// with their edge cases, and preemption as a whole in a simulated cluster.
#include <gtest/gtest.h>

#include <limits>

#include "coordination/preemption/nomination.h"
#include "simulation/scenario.h"

namespace rushtrestle::coordination {
namespace {

constexpr double kNow = 1e9;

store::JobRecord overrun_job() {
  store::JobRecord job;
  job.spec.rank = store::Rank::normal;
  job.spec.estimate_s = 100;
  job.last_start = kNow - 100;
  job.placed.push_back({0, "m", 1, true, false});
  return job;
}

std::string skip_reason(const store::JobRecord& job) {
  return nomination_skip_reason(job, kNow, {}, 1.0);
}

TEST(Requeue, NominatesOnceTheExpectedRuntimeIsReached) {
  EXPECT_EQ(skip_reason(overrun_job()), "");
}

TEST(Requeue, NotBeforeTheExpectedRuntime) {
  auto job = overrun_job();
  job.last_start += 0.5;
  EXPECT_EQ(skip_reason(job), "not_due");
}

TEST(Requeue, OnlyRunningJobs) {
  auto job = overrun_job();
  job.placed[0].running = false;
  EXPECT_EQ(skip_reason(job), "not_running");
  job.placed.clear();
  EXPECT_EQ(skip_reason(job), "not_running");
}

TEST(Requeue, OnlyPreemptibleRanks) {
  auto job = overrun_job();
  job.spec.rank = store::Rank::production;
  EXPECT_EQ(skip_reason(job), "not_preemptible");
}

TEST(Requeue, JobsWithoutAValidRuntimeAreNeverNominated) {
  for (const double bad : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(),
                           std::numeric_limits<double>::infinity()}) {
    auto job = overrun_job();
    job.spec.estimate_s = bad;
    EXPECT_EQ(skip_reason(job), "invalid_duration");
  }
}

TEST(Requeue, JobsWithoutAStartTimeAreNeverNominated) {
  auto job = overrun_job();
  job.last_start = 0;
  EXPECT_EQ(skip_reason(job), "missing_start");
}

TEST(Requeue, StartBeyondTwiceTheClockErrorIsClockSkew) {
  auto job = overrun_job();
  job.last_start = kNow + 1.5;  // within twice the clock error bound of one second
  EXPECT_EQ(skip_reason(job), "not_due");
  job.last_start = kNow + 2.5;
  EXPECT_EQ(skip_reason(job), "clock_skew");
}

TEST(Requeue, CooldownOrInvalidNotBeforePreventsNomination) {
  auto job = overrun_job();
  job.not_before = kNow + 1;
  EXPECT_EQ(skip_reason(job), "cooldown");
  job.not_before = kNow;
  EXPECT_EQ(skip_reason(job), "");
  job.not_before = -3;
  EXPECT_EQ(skip_reason(job), "invalid_not_before");
  job.not_before = std::numeric_limits<double>::quiet_NaN();
  EXPECT_EQ(skip_reason(job), "invalid_not_before");
}

store::JobSpec batch_job(const std::string& id, uint32_t tasks, double estimate) {
  store::JobSpec spec = testing::array_job(id, tasks, {16, 0, 1}, estimate);
  spec.image = "i";
  spec.image_gb = 0;
  return spec;
}

// Allows one machine type and one machine per zone: a waiting job can only run in place of another.
testing::ClusterSimulation::Options two_machine_options() {
  testing::ClusterSimulation::Options options;
  options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 5, {"a", "b"}}};
  options.capacity = {{"small", 1}};
  return options;
}

// Allows two machines in total. Jobs run ten times as long as they estimate; the tests fill the
// machines with an array that estimates 20 s.
testing::ClusterSimulation::Options overrun_options() {
  auto options = two_machine_options();
  options.boot_failures = false;
  options.run_factor = 10;
  return options;
}

TEST(Requeue, OverrunAloneEvictsNothing) {
  testing::ClusterSimulation sim(overrun_options());
  sim.submit(batch_job("job-1", 2, 20), 1);
  sim.run_until(100);
  EXPECT_EQ(sim.running("job-1"), 2u);
  EXPECT_EQ(sim.starts_of("job-1"), 2u);
  EXPECT_TRUE(sim.violations.empty()) << sim.violations.front();
}

TEST(Requeue, APreemptorThatNeverFitsEvictsNothing) {
  testing::ClusterSimulation sim(overrun_options());
  sim.submit(batch_job("job-1", 2, 20), 1);
  auto big = batch_job("job-2", 3, 20);  // Never fits whole: every trial is rolled back.
  big.rank = store::Rank::high;
  big.per_task.cpus = 16;
  sim.submit(big, 20);
  sim.run_until(90);
  EXPECT_EQ(sim.starts_of("job-1"), 2u);
  EXPECT_EQ(sim.stored_value("job/job-1")->value("not_before", 0.0), 0.0);
  EXPECT_TRUE(sim.violations.empty()) << sim.violations.front();
}

// Covers nomination, trial, commit, the stop of the victim, the start of all tasks of the preemptor
// in the freed room, and the cooldown of the victim.
TEST(Requeue, APreemptionFreesRoomAndItsVictimIsNotPreemptedDuringTheCooldown) {
  testing::ClusterSimulation sim(overrun_options());
  sim.submit(batch_job("job-1", 2, 20), 1);
  auto preemptor = batch_job("job-2", 2, 3);  // The real run time is 30 s.
  preemptor.rank = store::Rank::high;
  sim.submit(preemptor, 20);
  sim.run_until(25);
  ASSERT_EQ(sim.running("job-1"), 2u);
  EXPECT_EQ(sim.starts_of("job-2"), 0u) << "job-1 has not reached its expected run time yet";
  sim.run_until(50);
  EXPECT_EQ(sim.running("job-2"), 2u);
  EXPECT_EQ(sim.running("job-1"), 0u);
  const double not_before = sim.stored_value("job/job-1")->value("not_before", 0.0);
  EXPECT_GT(not_before, 0.0);
  // The victim runs again once the preemptor is done, from its checkpoint or from the start. A
  // second preemptor starts no task before the cooldown of the victim ends.
  sim.run_until(75);
  EXPECT_EQ(sim.last_reported_status("job-2"), "done");
  EXPECT_EQ(sim.running("job-1"), 2u);
  EXPECT_EQ(sim.starts_of("job-1"), 4u);
  auto second = batch_job("job-3", 2, 3);
  second.rank = store::Rank::high;
  sim.submit(second, 76);
  // The commit came before now, so its cooldown of 60 s (requeue_delay_s) ends before this time.
  const double cooldown_ends = sim.now() + 60;
  sim.run_until(not_before - 1e9 - 2);
  EXPECT_EQ(sim.starts_of("job-3"), 0u);
  EXPECT_EQ(sim.starts_of("job-1"), 4u);
  sim.run_until(cooldown_ends + 40);
  EXPECT_EQ(sim.starts_of("job-3"), 2u);
  EXPECT_TRUE(sim.violations.empty()) << sim.violations.front();
}

}  // namespace
}  // namespace rushtrestle::coordination
