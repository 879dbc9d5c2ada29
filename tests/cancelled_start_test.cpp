// Start commands that the network holds back while their jobs are cancelled: the worker must not
// carry them out later than `cancel_s` after the user was told, whatever else fails meanwhile.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ostream>

#include "simulation/generated_faults.h"
#include "simulation/scenario.h"

namespace rushtrestle::testing {
namespace {

constexpr bool kHold = true;     // messages arrive when the cut ends
constexpr int kShardLeader = 1;  // of team red
constexpr int kOther = 2;        // another controller
constexpr double kCutAt = 40;    // the shard leader loses its workers
constexpr double kCancelS = 39;  // of the simulation's settings
constexpr int kServices = 4;
constexpr int kCancelledJobs = 4;

std::string service(int number) { return "job-" + std::to_string(number); }
std::string cancelled_job(int number) { return "job-late" + std::to_string(number); }

ClusterSimulation::Options options_with(uint64_t seed) {
  ClusterSimulation::Options options = options_with_seed(seed);
  options.consolidate = false;  // consolidation starts tasks, too
  return options;
}

/// Services run; then the shard leader loses its workers, jobs are submitted at once and cancelled
/// a little later.
struct HeldStarts {
  ClusterSimulation sim;

  HeldStarts(uint64_t seed, store::JobKind kind, double hold_s, double cancel_after_s)
      : sim(options_with(seed)) {
    for (int i = 0; i < kServices; ++i)
      sim.submit(small_job(service(i), store::JobKind::service, 2), 3);
    sim.run_until(kCutAt);
    sim.cut_workers(kShardLeader, hold_s, kHold);
    for (int i = 0; i < kCancelledJobs; ++i) {
      sim.submit(small_job(cancelled_job(i), kind, 2), kCutAt);
      sim.cancel(cancelled_job(i), kCutAt + cancel_after_s);
    }
  }
};

void expect_services_run(const ClusterSimulation& sim) {
  for (int i = 0; i < kServices; ++i) EXPECT_EQ(sim.running(service(i)), 2u) << i;
}

// The starts of jobs that were cancelled a second later were held for longer than cancel_s and then
// carried out: the workers' heartbeats came through other controllers, so the leases went on, and
// no command reached a worker to raise its token.
TEST(CancelledStarts, AStartThatTheNetworkHoldsIsFencedThroughForwardedHeartbeats) {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    for (const auto kind : {store::JobKind::service, store::JobKind::array, store::JobKind::gang}) {
      HeldStarts scenario(seed, kind, kCancelS + 4, 1);
      ClusterSimulation& sim = scenario.sim;
      sim.run_until(kCutAt + kCancelS + 30);
      EXPECT_TRUE(sim.cancellation_confirmed(cancelled_job(0)));
      EXPECT_EQ(sim.task_starts(), 8u) << "a held start was carried out, seed " << seed;
      EXPECT_TRUE(sim.violations.empty()) << sim.violations.front() << ", seed " << seed;
      expect_services_run(sim);
    }
  }
}

uint64_t sum_of_counter(ClusterSimulation& sim, const char* name) {
  uint64_t sum = 0;
  for (int node = 0; node < 3; ++node)
    sum += sim.stats_of(node)["counters"].value(name, uint64_t{0});
  return sum;
}

// The state store's revision was above the tokens of the held starts before the store failed, so
// the shard leader fences them without it, and no worker loses its lease.
TEST(CancelledStarts, AHeldStartIsFencedWithoutTheStateStore) {
  uint64_t unanswered = 0;
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    HeldStarts scenario(seed, store::JobKind::service, kCancelS + 6, 0.6);
    ClusterSimulation& sim = scenario.sim;
    sim.run_until(kCutAt + 1);
    sim.state_outage(80);
    sim.run_until(kCutAt + kCancelS + 8);
    unanswered += sum_of_counter(sim, "starts_unanswered");
    EXPECT_GT(sum_of_counter(sim, "fencing_tokens_raised"), 0u) << "seed " << seed;
    EXPECT_TRUE(sim.violations.empty()) << sim.violations.front() << ", seed " << seed;
    sim.run_until(240);
    EXPECT_TRUE(sim.violations.empty()) << sim.violations.front() << ", seed " << seed;
    EXPECT_EQ(sim.task_starts(), 8u) << "a lease was lost or a held start ran, seed " << seed;
    expect_services_run(sim);
  }
  EXPECT_GT(unanswered, 0u) << "no start was in flight when the state store failed";
}

// An operator rewrites the machines' records, so the starts that the network holds carry the newest
// revision as their token; then the state store refuses the shard leader, and fails for all. No
// higher token can be had, and the workers that a start of a job that was cancelled meanwhile may
// still reach lose their leases in time instead.
TEST(CancelledStarts, WithoutAHigherTokenALeaseIsNotRenewedPastTheLimitOfAHeldStart) {
  constexpr double kRewrittenAfterS = 1;
  constexpr double kCancelledAfterS = 9;
  uint64_t withheld = 0;
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    HeldStarts scenario(seed, store::JobKind::service, kCancelS + 20, kCancelledAfterS);
    ClusterSimulation& sim = scenario.sim;
    sim.run_until(kCutAt + kRewrittenAfterS);
    for (int machine = 1; machine <= 9; ++machine) {
      const std::string key = "machine/n-00000" + std::to_string(machine);
      if (const Json* record = sim.stored_value(key)) sim.write_key(key, *record);
    }
    sim.run_until(kCutAt + kCancelledAfterS - 0.2);
    sim.refuse_state(kShardLeader, 100);
    sim.run_until(kCutAt + kCancelledAfterS + 1);
    sim.state_outage(80);
    sim.run_until(kCutAt + kCancelledAfterS + kCancelS + 8);
    withheld += sum_of_counter(sim, "renewals_withheld");
    EXPECT_TRUE(sim.violations.empty()) << sim.violations.front() << ", seed " << seed;
    sim.run_until(260);
    EXPECT_TRUE(sim.violations.empty()) << sim.violations.front() << ", seed " << seed;
    expect_services_run(sim);
  }
  EXPECT_GT(withheld, 0u) << "every start was fenced";
}

/// What fails after the cancellations, while the starts are held.
enum class SecondFault {
  none,
  leader_refused,  // by the state store
  state_outage,    // for all controllers
  leader_killed,   // another controller takes its shard over
  leader_killed_in_outage,
  zone_cut,   // with one controller inside, after the shard leader's link to the workers
  peers_cut,  // the shard leader loses the other controllers, so nobody forwards heartbeats
  leader_frozen,
  machine_deaf,  // commands and answers do not reach a machine
  kCount
};

struct HeldStartCase {
  uint64_t seed;
  store::JobKind kind;
  double hold_s;          // until the starts arrive
  double cancel_after_s;  // after their submission
  SecondFault fault;
  double fault_after_s;  // after the cut
  double fault_for_s;
};

std::ostream& operator<<(std::ostream& out, const HeldStartCase& c) {
  return out << "{seed " << c.seed << ", kind " << static_cast<int>(c.kind) << ", hold " << c.hold_s
             << ", cancel " << c.cancel_after_s << ", fault " << static_cast<int>(c.fault) << " at "
             << c.fault_after_s << " for " << c.fault_for_s << "}";
}

rc::Gen<HeldStartCase> held_start_case() {
  const auto tenths = [](int from, int to) {
    return rc::gen::map(rc::gen::inRange(from * 10, to * 10), [](int n) { return n / 10.0; });
  };
  return rc::gen::construct<HeldStartCase>(
      rc::gen::inRange<uint64_t>(1, 1000000),
      rc::gen::element(store::JobKind::service, store::JobKind::array, store::JobKind::gang),
      tenths(10, 90), tenths(0, 6),
      rc::gen::map(rc::gen::inRange(0, static_cast<int>(SecondFault::kCount)),
                   [](int n) { return static_cast<SecondFault>(n); }),
      tenths(0, 30), tenths(3, 60));
}

void inject_second_fault(ClusterSimulation& sim, const HeldStartCase& c) {
  const std::string leader = node_name(kShardLeader);
  switch (c.fault) {
    case SecondFault::leader_refused: return sim.refuse_state(kShardLeader, c.fault_for_s);
    case SecondFault::state_outage: return sim.state_outage(c.fault_for_s);
    case SecondFault::leader_killed: return sim.kill_node(kShardLeader, c.fault_for_s / 4);
    case SecondFault::leader_killed_in_outage:
      sim.state_outage(c.fault_for_s);
      return sim.at(sim.now() + 1, [&sim] { sim.kill_node(kShardLeader, 5); });
    case SecondFault::zone_cut: return sim.cut_zone("a", {kOther}, c.fault_for_s, !kHold);
    case SecondFault::peers_cut:
      for (const int peer : {0, kOther}) sim.cut(leader, node_name(peer), c.fault_for_s, kHold);
      return;
    case SecondFault::leader_frozen: return sim.freeze_node(kShardLeader, c.fault_for_s);
    case SecondFault::machine_deaf: return sim.cut_machine(c.seed, c.fault_for_s, kHold, true);
    case SecondFault::none:
    case SecondFault::kCount: return;
  }
}

// The generated form of the cases above: the times of hold and cancellation, the kind of job and a
// second fault are drawn.
RC_GTEST_PROP(CancelledStarts, NoHeldStartRunsACancelledTaskLate, ()) {
  const auto c = *held_start_case();
  HeldStarts scenario(c.seed, c.kind, c.hold_s, c.cancel_after_s);
  ClusterSimulation& sim = scenario.sim;
  sim.at(kCutAt + c.fault_after_s, [&sim, c] { inject_second_fault(sim, c); });
  sim.run_until(kCutAt + 260);
  for (const auto& violation : sim.violations) RC_LOG() << violation << "\n";
  RC_ASSERT(sim.violations.empty());
  for (int i = 0; i < kServices; ++i) RC_ASSERT(sim.running(service(i)) == 2u);
}

}  // namespace
}  // namespace rushtrestle::testing
