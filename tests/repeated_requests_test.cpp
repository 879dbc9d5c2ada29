// Requests that were carried out and arrive once more, up to minutes later: no task may run again
// because of that, on whichever machine, and whatever has become of the controller that sent it.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ostream>

#include "simulation/generated_faults.h"
#include "simulation/scenario.h"

namespace rushtrestle::testing {
namespace {

constexpr double kSubmittedAt = 40;
constexpr double kCancelS = 39;  // of the simulation's settings
constexpr const char* kJob = "job-repeated";

/// A service keeps a machine; later a job of the same team is submitted, and all requests from then
/// on are repeated once.
void start_with_repeats(ClusterSimulation& sim, store::JobKind kind,
                        ClusterSimulation::DelayRange delay) {
  sim.submit(small_job("job-stays", store::JobKind::service, 2), 3);
  sim.run_until(kSubmittedAt);
  sim.repeat_requests(60, 1, delay);
  sim.submit(small_job(kJob, kind, 2), kSubmittedAt);
}

// After `forget`, a repeat of the start ran the task of a cancelled job again, later than cancel_s
// after its user was told: the worker had seen no token above that of the start.
TEST(RepeatedRequests, ARepeatedStartRunsNoCancelledTask) {
  for (const bool leader_ends : {false, true}) {
    for (const auto kind : {store::JobKind::service, store::JobKind::array, store::JobKind::gang}) {
      ClusterSimulation sim(options_with_seed(1));
      start_with_repeats(sim, kind, {kCancelS + 6, kCancelS + 10});
      sim.cancel(kJob, kSubmittedAt + 4);
      if (leader_ends)
        sim.at(kSubmittedAt + kCancelS + 5, [&sim] { sim.kill_shard_holder_of(kJob, 4); });
      sim.run_until(kSubmittedAt + 120);
      EXPECT_TRUE(sim.cancellation_confirmed(kJob));
      EXPECT_EQ(sim.starts_of(kJob), 2u) << "a repeated start was carried out";
      EXPECT_TRUE(sim.violations.empty()) << sim.violations.front();
      EXPECT_EQ(sim.running("job-stays"), 2u);
    }
  }
}

// The same with tasks that failed on one machine and run on another when the repeats arrive
// (ran_twice). With these seeds the tasks are placed on the machine that fails them.
TEST(RepeatedRequests, ARepeatedStartRunsNoTaskThatHasMoved) {
  constexpr double kFailsForS = 6;
  for (const uint64_t seed : {2, 3, 4, 6, 7}) {
    ClusterSimulation sim(options_with_seed(seed));
    auto large = small_job("job-large", store::JobKind::service, 2);
    large.per_task = {9, 0, 1};  // one of them fills a machine, so two machines are up
    sim.submit(large, 3);
    sim.run_until(kSubmittedAt);
    sim.repeat_requests(60, 1, {kFailsForS + 6, kFailsForS + 16});
    sim.fail_tasks_on_machine(0, kFailsForS);
    sim.submit(small_job(kJob, store::JobKind::array, 2), kSubmittedAt);
    sim.run_until(kSubmittedAt + 120);
    EXPECT_GT(sim.starts_of(kJob), 2u) << "no task had to move, seed " << seed;
    EXPECT_EQ(sim.violations, std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(sim.running(kJob), 2u);
  }
}

// Ended tasks are forgotten soon, and the fencing tokens that this takes cost no write.
TEST(RepeatedRequests, EndedTasksAreForgottenWithoutAWriteOfTheMachine) {
  ClusterSimulation sim(options_with_seed(1));
  sim.submit(small_job("job-stays", store::JobKind::service, 2), 3);
  sim.run_until(kSubmittedAt);
  constexpr int kJobs = 30;
  for (int i = 0; i < kJobs; ++i) {
    auto spec = small_job("job-short" + std::to_string(i), store::JobKind::array, 1);
    spec.estimate_s = 2;
    sim.submit(spec, kSubmittedAt + i);
  }
  sim.run_until(kSubmittedAt + 60);
  EXPECT_EQ(sim.ended_tasks_reported(), 0u);
  uint64_t raised = 0;
  uint64_t written = 0;
  for (int node = 0; node < 3; ++node) {
    const Json counters = sim.stats_of(node)["counters"];
    raised += counters.value("fencing_tokens_raised", uint64_t{0});
    written += counters.value("start_fences", uint64_t{0});
  }
  EXPECT_GT(raised, 0u);
  EXPECT_EQ(written, 0u);
  EXPECT_TRUE(sim.violations.empty()) << sim.violations.front();
}

struct RepeatedCase {
  uint64_t seed;
  double share;
  double min_delay_s;
  double max_delay_s;
  bool scarce;         // two machines in all, and jobs that are evicted for others
  bool machines_fail;  // now and then one fails all its tasks and another refuses starts
  std::vector<Fault> faults;
};

std::ostream& operator<<(std::ostream& out, const RepeatedCase& c) {
  out << "{seed " << c.seed << ", share " << c.share << ", delay " << c.min_delay_s << " to "
      << c.max_delay_s << (c.scarce ? ", scarce" : "")
      << (c.machines_fail ? ", machines fail" : "");
  for (const auto& fault : c.faults) out << ", " << fault;
  return out << "}";
}

rc::Gen<RepeatedCase> repeated_case() {
  return rc::gen::apply(
      [](uint64_t seed, int share, int min_delay_s, int more_s, bool scarce, bool machines_fail,
         std::vector<Fault> faults) {
        const double from = min_delay_s;
        return RepeatedCase{seed,          share / 10.0,     from, from + more_s, scarce,
                            machines_fail, std::move(faults)};
      },
      rc::gen::inRange<uint64_t>(1, 1000000), rc::gen::inRange(2, 11), rc::gen::inRange(1, 45),
      rc::gen::inRange(1, 60), rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>(),
      rc::gen::resize(3, rc::gen::container<std::vector<Fault>>(generated_fault())));
}

ClusterSimulation::Options options_of(const RepeatedCase& c) {
  auto options = options_with_seed(c.seed);
  if (!c.scarce) return options;
  options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 5, {"a", "b"}}};
  options.capacity = {{"small", 1}};
  options.boot_failures = false;
  options.requeue_delay_s = 10;
  options.run_factor = 6;  // jobs run past their expected runtime, so they can be evicted
  return options;
}

/// Returns a job of any kind; in a scarce case one that fills half of a machine with each task.
store::JobSpec job_of(const RepeatedCase& c, int number, std::mt19937_64& rng) {
  store::JobSpec spec = random_job(number, rng);
  if (!c.scarce) return spec;
  spec = array_job(spec.id, 1 + static_cast<uint32_t>(rng() % 2), {8, 0, 1}, 4);
  spec.rank = static_cast<store::Rank>(rng() % 3);
  if (rng() % 4 == 0) spec.kind = store::JobKind::gang;
  if (rng() % 2) spec.checkpoint_s = spec.save_s = 2;
  return spec;
}

// The generated form: jobs of all kinds that end, fail, are cancelled, evicted and moved, any delay
// of the repeats and up to a few other faults.
RC_GTEST_PROP(RepeatedRequests, NoRepeatBreaksARule, ()) {
  const auto c = *repeated_case();
  ClusterSimulation sim(options_of(c));
  std::mt19937_64 rng(c.seed);
  constexpr int kJobs = 20;
  for (int i = 0; i < kJobs; ++i) {
    const double at = 2 + static_cast<double>(rng() % 100);
    sim.submit(job_of(c, i, rng), at);
    if (rng() % 3 == 0)
      sim.cancel("job-" + std::to_string(i), at + 3 + static_cast<double>(rng() % 40));
  }
  sim.at(5, [&sim, c] { sim.repeat_requests(160, c.share, {c.min_delay_s, c.max_delay_s}); });
  for (size_t i = 0; c.machines_fail && i < 4; ++i) {
    sim.at(20 + 25 * static_cast<double>(i), [&sim, i] {
      sim.fail_tasks_on_machine(i, 8);
      sim.refuse_starts_on_machine(i + 1, 8);
    });
  }
  for (const auto& fault : c.faults) sim.at(fault.at, [&sim, fault] { inject(sim, fault); });
  sim.run_until(300);
  for (const auto& violation : sim.violations) RC_LOG() << violation << "\n";
  RC_ASSERT(sim.violations.empty());
}

}  // namespace
}  // namespace rushtrestle::testing
