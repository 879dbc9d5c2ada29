// Tests of gang jobs: either all tasks of a gang run at the same time or none does.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "simulation/generated_faults.h"
#include "simulation/scenario.h"

namespace rushtrestle::testing {
namespace {

store::JobSpec gang_spec(const std::string& id, uint32_t tasks, double cpus, double seconds) {
  store::JobSpec spec = array_job(id, tasks, {cpus, 0, 2}, seconds);
  spec.job_class = "joint";
  spec.kind = store::JobKind::gang;
  spec.one_zone = true;
  spec.checkpoint_s = 5;
  spec.save_s = 1;
  return spec;
}

TEST(Gangs, StartAllTasksAtOnceAndAreProvisionedAsAWhole) {
  ClusterSimulation sim({});
  sim.submit(gang_spec("job-1", 4, 2, 10), 3);
  // job-2 needs more CPUs than any machine has, and more small machines than a zone has.
  sim.submit(gang_spec("job-2", 8, 12, 10), 3);
  auto multi_zone = gang_spec("job-3", 3, 4, 10);
  multi_zone.one_zone = false;
  multi_zone.checkpoint_s = multi_zone.save_s = 0;
  sim.submit(multi_zone, 4);
  auto too_large = gang_spec("job-4", 40, 4, 10);  // 160 CPUs; the team's quota is 144
  sim.submit(too_large, 5);
  sim.run_until(120);
  for (const char* id : {"job-1", "job-2", "job-3"})
    EXPECT_EQ(sim.last_reported_status(id), "done") << id;
  EXPECT_FALSE(sim.accepted("job-4"));
  EXPECT_EQ(sim.starts_of("job-1"), 4u) << "all tasks start at once, in one attempt";
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// A member's machine dies while the gang runs. The other members end by themselves, and the next
// attempt starts from the last checkpoint once all old members are known to be gone.
TEST(Gangs, RestartFromTheCheckpointWhenAMemberIsLost) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    ClusterSimulation sim(options);
    sim.submit(gang_spec("job-1", 4, 12, 30), 3);
    sim.run_until(30);
    ASSERT_EQ(sim.running("job-1"), 4u);
    sim.kill_machine(seed % 4);
    sim.run_until(150);
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// A machine that is cut off while all members complete can't report its member's end. One member
// that is done means that all are, so the gang must be reported as done.
TEST(Gangs, AreDoneWhenOneMemberIsDone) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    ClusterSimulation sim(options);
    sim.submit(gang_spec("job-1", 4, 12, 20), 3);
    while (sim.now() < 60 && sim.running("job-1") < 4) sim.run_until(sim.now() + 0.25);
    sim.run_until(sim.now() + 18.5);
    ASSERT_EQ(sim.running("job-1"), 4u);
    sim.cut_machine(seed % 4, 300, false, false);
    sim.run_until(sim.now() + 9);  // users query the status every 5 s
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    sim.run_until(sim.now() + 60);
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// The zone that is best for the gang's first task has no room for the second, and the cloud has no
// more machines for that zone. The gang must be placed in the zone that fits all members.
TEST(Gangs, ArePlacedInTheZoneThatFitsAllMembers) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 8, {"a", "b"}}};
    options.capacity = {{"small", 3}};
    options.boot_failures = false;
    ClusterSimulation sim(options);
    for (const char* zone : {"a", "b"}) {
      auto filler = gang_spec(std::string("job-") + zone, 1, zone[0] == 'a' ? 10 : 2, 300);
      filler.kind = store::JobKind::array;
      filler.checkpoint_s = filler.save_s = 0;
      filler.zone = zone;
      filler.tasks = zone[0] == 'a' ? 3 : 1;
      sim.submit(filler, 2);
    }
    sim.run_until(30);
    // Zone a has 6 of 16 CPUs free on 3 machines; a machine in zone b has room for two members.
    sim.submit(gang_spec("job-1", 3, 6, 10), 30);
    sim.submit(gang_spec("job-2", 2, 14, 10), 31);
    sim.run_until(110);
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    EXPECT_EQ(sim.last_reported_status("job-2"), "done") << seed;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// The state store lowers its limits without notice while jobs run. Large arrays and gangs must
// still finish.
TEST(Gangs, AndLargeArraysFinishWhenTheStateStoreLowersItsLimits) {
  for (const double lowered_at : {12.0, 25.0, 33.0}) {
    ClusterSimulation::Options options;
    options.next_limits = std::make_pair(2.0, 4);
    ClusterSimulation sim(options);
    auto large = gang_spec("job-1", 300, 1, 4);
    large.kind = store::JobKind::array;
    large.one_zone = false;
    large.checkpoint_s = large.save_s = 0;
    sim.submit(large, 3);
    for (int i = 2; i < 8; ++i)
      sim.submit(gang_spec("job-" + std::to_string(i), 12, 1, 8), 2 + 5 * i);
    sim.at(lowered_at, [&sim] { sim.lower_state_limits(); });
    sim.at(lowered_at + 1, [&sim] { sim.kill_node(1, 5); });
    sim.run_until(240);
    for (int i = 1; i < 8; ++i)
      EXPECT_EQ(sim.last_reported_status("job-" + std::to_string(i)), "done")
          << i << " limits lowered at " << lowered_at;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// A record that the previous version wrote, up to the old limit, can't be written again until
// enough of its tasks have ended. After each refused write the ends of the tasks must be detected
// again, within the request budget.
TEST(Gangs, AJobWhoseRecordExceedsTheLoweredLimitIsFinished) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.runtime_increase_per_task = 0.03;  // the tasks end one after the other
    ClusterSimulation sim(options);
    auto large = gang_spec("job-1", 60, 1, 25);
    large.kind = store::JobKind::array;
    large.one_zone = false;
    large.checkpoint_s = large.save_s = 0;
    sim.submit(large, 3);
    sim.submit(gang_spec("job-2", 4, 1, 20), 20);
    while (sim.now() < 40 && sim.placed_tasks("job-1") < 60) sim.run_until(sim.now() + 0.25);
    ASSERT_EQ(sim.placed_tasks("job-1"), 60u);
    sim.lower_state_limits(1.2, 4);
    sim.at(sim.now() + 5, [&sim] { sim.kill_node(1, 0.3); });
    sim.run_until(180);
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    EXPECT_EQ(sim.last_reported_status("job-2"), "done") << seed;
    EXPECT_LE(sim.counters().state_requests, 180u * 60);
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// Many machines have little free capacity and two have a lot. A transaction has conditions for 14
// machines at most, and a best-fit placement would use more.
TEST(Gangs, UseFewMachinesWhenTransactionConditionsAreLimited) {
  ClusterSimulation::Options options;
  options.next_limits = std::make_pair(4.0, 4);
  options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 8, {"a"}}};
  options.capacity = {{"small", 18}};
  options.teams = {{"red", {400, 16, 0}, {800, 40, 0}}, {"blue", {64, 16, 0}, {144, 40, 0}}};
  options.boot_failures = false;
  options.consolidate = false;
  ClusterSimulation sim(options);
  auto filler = gang_spec("job-1", 16, 14, 400);  // leaves 2 CPUs on each of 16 machines
  filler.kind = store::JobKind::service;
  filler.rank = store::Rank::production;
  filler.estimate_s = filler.checkpoint_s = filler.save_s = 0;
  sim.submit(filler, 3);
  sim.run_until(40);
  ASSERT_EQ(sim.running("job-1"), 16u);
  sim.submit(gang_spec("job-2", 16, 2, 10), 41);
  sim.run_until(100);
  EXPECT_EQ(sim.last_reported_status("job-2"), "done");
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// One machine in zone a has room for a member. The cloud has no more machines in zone a, but enough
// in zone b: machines for the whole gang must be provisioned in b, although the free capacity in a
// is better for its first task.
TEST(Gangs, AreProvisionedInTheZoneThatFitsAllMembers) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 8, {"a", "b"}}};
    options.capacity = {{"small", 4}};
    options.boot_failures = false;
    ClusterSimulation sim(options);
    for (const uint32_t tasks : {3, 1}) {
      auto filler = gang_spec("job-a" + std::to_string(tasks), tasks, tasks == 3 ? 14 : 2, 400);
      filler.kind = store::JobKind::array;
      filler.checkpoint_s = filler.save_s = 0;
      filler.zone = "a";
      filler.job_class = "filler";
      filler.per_task.memory_gb = 40;  // one task per machine
      sim.submit(filler, 2);
    }
    sim.submit(gang_spec("job-1", 3, 14, 10), 30);
    sim.run_until(110);
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// Small jobs that take capacity as soon as it is free would keep a large gang waiting forever. The
// gang's waiting time must be bounded, and the small jobs must finish after it.
TEST(Gangs, ALargeOneIsNotStarvedByAStreamOfSmallJobs) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 8, {"a", "b"}}};
    options.capacity = {{"small", 2}};
    options.boot_failures = false;
    ClusterSimulation sim(options);
    constexpr int kSmallJobsEnd = 170;
    for (int i = 2; i < kSmallJobsEnd; ++i) {  // all 64 CPUs are in use all the time
      auto job = gang_spec("job-" + std::to_string(i), 1, 4, 17);
      job.kind = store::JobKind::array;
      job.checkpoint_s = job.save_s = 0;
      sim.submit(job, 3 + 1.1 * i);
    }
    sim.submit(gang_spec("job-1", 2, 14, 10), 20);
    sim.run_until(20 + 120 + 60);
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    sim.run_until(330);
    for (int i = 2; i < kSmallJobsEnd; ++i)
      EXPECT_EQ(sim.last_reported_status("job-" + std::to_string(i)), "done")
          << i << " seed " << seed;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// Each limit of the state store is lowered at a generated moment, alone or with the others, while
// controllers restart and machines are lost.
RC_GTEST_PROP(Gangs, LoweringLimitsAtAnyMomentLosesNoJob, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  const auto lowered_at = *rc::gen::inRange(3, 120);
  const auto lowered_limits = *rc::gen::inRange(1, 8);
  const auto fault_schedule =
      *rc::gen::resize(3, rc::gen::container<std::vector<Fault>>(generated_fault()));
  ClusterSimulation::Options options;
  options.seed = seed;
  options.next_limits = std::make_pair(lowered_limits & 1 ? 2.0 : 4.0, lowered_limits & 2 ? 4 : 8);
  options.next_write_rps = lowered_limits & 4 ? 12 : 0;
  ClusterSimulation sim(options);
  std::mt19937_64 rng(seed);
  constexpr int kJobs = 14;
  for (int i = 0; i < kJobs; ++i) {
    auto spec = random_job(i, rng);
    if (i % 5 == 0) {
      spec.kind = store::JobKind::array;
      spec.tasks = 40 + static_cast<uint32_t>(rng() % 200);
      spec.per_task = {1, 0, 1};
      spec.one_zone = false;
      spec.estimate_s = 3;
    }
    sim.submit(spec, 2 + static_cast<double>(rng() % 90));
  }
  sim.at(lowered_at, [&sim, lowered_limits] {
    sim.lower_state_limits();
    if (lowered_limits & 4) sim.lower_write_rate();
  });
  for (const auto& fault : fault_schedule) sim.at(fault.at, [&sim, fault] { inject(sim, fault); });
  sim.run_until(360);
  for (const auto& violation : sim.violations) RC_LOG() << violation << "\n";
  RC_ASSERT(sim.violations.empty());
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "job-" + std::to_string(i);
    RC_LOG() << id << " " << sim.stored_value("job/" + id)->dump() << "\n";
    RC_ASSERT(sim.cancelled_by_user(id) || sim.last_reported_status(id) == "done" ||
              sim.running(id) > 0);
  }
}

// A large gang that does not fit is queued before small gangs of its class. It must not block them.
TEST(Gangs, ALargeOneThatDoesNotFitDoesNotBlockSmallOnes) {
  ClusterSimulation::Options options;
  options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 8, {"a", "b"}}};
  options.capacity = {{"small", 2}};
  options.boot_failures = false;
  ClusterSimulation sim(options);
  sim.submit(gang_spec("job-1", 8, 8, 10), 3);  // 64 CPUs; a zone has 32
  for (int i = 2; i < 6; ++i) sim.submit(gang_spec("job-" + std::to_string(i), 2, 8, 8), 4);
  sim.run_until(70);
  for (int i = 2; i < 6; ++i)
    EXPECT_EQ(sim.last_reported_status("job-" + std::to_string(i)), "done") << i;
  EXPECT_EQ(sim.last_reported_status("job-1"), "open");
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// A member that is lost before the start must be replaced under the same attempt, well before the
// other members stop waiting (gang_wait_s).
TEST(Gangs, ReplaceAMemberThatIsLostBeforeTheStart) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.gang_wait_s = 200;
    options.boot_failures = false;
    ClusterSimulation sim(options);
    auto job = gang_spec("job-1", 4, 12, 10);
    job.image_gb = 8;  // the download takes 16 s on a small machine
    sim.submit(job, 3);
    while (sim.now() < 60 && sim.placed_tasks("job-1") < 4) sim.run_until(sim.now() + 0.5);
    sim.run_until(sim.now() + 3);
    sim.kill_machine_of("job-1");
    sim.run_until(sim.now() + 75);
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// One machine of the gang is reclaimed with a notice of 15 s. All members must get stop commands in
// time, so that the gang's progress is saved.
TEST(Gangs, SaveTheirProgressWhenAMachineIsReclaimed) {
  int saved = 0;
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    ClusterSimulation sim(options);
    auto job = gang_spec("job-1", 3, 12, 40);
    job.checkpoint_s = 1000;  // progress is saved only by a graceful stop
    sim.submit(job, 3);
    sim.run_until(30);
    ASSERT_EQ(sim.running("job-1"), 3u);
    sim.reclaim_machine_of("job-1", 15);
    sim.run_until(45);
    saved += sim.checkpointed_progress_s("job-1") > 5;
    sim.run_until(140);
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
  EXPECT_EQ(saved, 6);
}

// A member fails while the other members are still gathering, and the controller that detected the
// failure is killed. The next shard leader must not treat the attempt as one that lost a member, or
// it adds members that wait for gang_wait_s in vain.
TEST(Gangs, ANewShardHolderAddsNoMemberToAnAttemptThatIsOver) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.gang_wait_s = 300;
    options.boot_failures = false;
    ClusterSimulation sim(options);
    auto job = gang_spec("job-1", 4, 12, 10);
    job.image_gb = 8;  // the download takes 16 s on a small machine
    sim.submit(job, 3);
    while (sim.now() < 60 && sim.placed_tasks("job-1") < 4) sim.run_until(sim.now() + 0.25);
    sim.fail_tasks_on_machine_of("job-1", 30);
    while (sim.now() < 90 && sim.tasks_waiting_for_gang("job-1") == 0)
      sim.run_until(sim.now() + 0.05);
    sim.run_until(sim.now() + 0.4 + 0.2 * static_cast<double>(seed));
    sim.kill_shard_holder_of("job-1", 8);
    sim.run_until(sim.now() + 90);
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    EXPECT_LE(sim.starts_in_attempt("job-1", 1), 4u)
        << "a member was added to an attempt that was over, seed " << seed;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// A machine dies at the moment of the start, before any report of the start. The member must not be
// replaced in an attempt that already runs, and no member may be left waiting.
TEST(Gangs, AMemberLostAtTheMomentOfTheStartIsNotReplaced) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.gang_wait_s = 300;
    options.boot_failures = false;
    ClusterSimulation sim(options);
    sim.submit(gang_spec("job-1", 4, 12, 20), 3);
    while (sim.now() < 60 && sim.running("job-1") < 4) sim.run_until(sim.now() + 0.01);
    sim.kill_machine_of("job-1");
    sim.run_until(sim.now() + 100);
    EXPECT_EQ(sim.starts_in_attempt("job-1", 1), 4u)
        << "a member was replaced in an attempt that ran, seed " << seed;
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// The other members would detect the loss by themselves only after gang_peer_s. Once the controller
// knows of the loss, it must stop them, so that the next attempt starts sooner.
TEST(Gangs, TheOtherMembersAreStoppedWhenOneIsLost) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.gang_peer_s = 100;
    options.boot_failures = false;
    ClusterSimulation sim(options);
    sim.submit(gang_spec("job-1", 4, 12, 20), 3);
    while (sim.now() < 60 && sim.running("job-1") < 4) sim.run_until(sim.now() + 0.25);
    sim.run_until(sim.now() + 4);
    sim.kill_machine_of("job-1");
    sim.run_until(sim.now() + 60);
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// One member's machine dies at the moment of the start, and the other member's machine is cut off
// from the network at the same time. No controller knows that the gang runs when the dead machine
// is given up. The lost member must not be replaced in that attempt.
TEST(Gangs, NoMemberIsAddedWhileAnotherIsUnreachable) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.gang_wait_s = 300;
    options.boot_failures = false;
    ClusterSimulation sim(options);
    sim.submit(gang_spec("job-1", 2, 12, 40), 3);
    while (sim.now() < 60 && sim.running("job-1") < 2) sim.run_until(sim.now() + 0.01);
    sim.cut_machine_of("job-1", 1, 8);
    sim.kill_machine_of("job-1");
    sim.run_until(sim.now() + 120);
    EXPECT_EQ(sim.starts_in_attempt("job-1", 1), 2u)
        << "a member was replaced in an attempt that ran, seed " << seed;
    EXPECT_EQ(sim.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

store::JobSpec random_gang(int number, std::mt19937_64& rng) {
  auto spec =
      gang_spec("job-" + std::to_string(number), 1 + static_cast<uint32_t>(rng() % 5),
                2 + static_cast<double>(rng() % 3) * 4, 5 + static_cast<double>(rng() % 25));
  spec.team = rng() % 2 ? "red" : "blue";
  spec.rank = static_cast<store::Rank>(rng() % 4);
  spec.one_zone = rng() % 2;
  spec.image_gb = 1 + static_cast<double>(rng() % 4);
  if (rng() % 3 == 0) spec.checkpoint_s = spec.save_s = 0;
  return spec;
}

// Random gangs run beside arrays and services under random faults. Some faults target a gang's
// transitions: a machine of a gathering gang dies, is reclaimed with a notice or fails tasks, and
// the controller that holds the gang's shard is killed.
RC_GTEST_PROP(Gangs, NoFaultScheduleViolatesAnInvariant, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  const auto fault_schedule =
      *rc::gen::resize(5, rc::gen::container<std::vector<Fault>>(generated_fault()));
  const auto targeted_faults =
      *rc::gen::resize(8, rc::gen::container<std::vector<Fault>>(generated_fault()));
  ClusterSimulation::Options options;
  options.seed = seed;
  options.gang_wait_s = 20;
  ClusterSimulation sim(options);
  std::mt19937_64 rng(seed);
  constexpr int kJobs = 20;
  for (int i = 0; i < kJobs; ++i) {
    const double at = 2 + static_cast<double>(rng() % 90);
    sim.submit(i % 4 ? random_gang(i, rng) : random_job(i, rng), at);
    if (rng() % 6 == 0)
      sim.cancel("job-" + std::to_string(i), at + 5 + static_cast<double>(rng() % 60));
  }
  for (const auto& fault : fault_schedule) sim.at(fault.at, [&sim, fault] { inject(sim, fault); });
  for (const auto& fault : targeted_faults) {
    sim.at(fault.at, [&sim, fault] {
      const std::string id = "job-" + std::to_string(fault.target % kJobs);
      if (fault.kind % 2) sim.kill_shard_holder_of(id, fault.variant ? 0.3 : 6);
      switch (fault.kind % 4) {
        case 0: sim.kill_machine_of(id); break;
        case 1: sim.reclaim_machine_of(id, fault.for_s / 3); break;
        case 2: sim.fail_tasks_on_machine_of(id, fault.for_s); break;
        default: break;
      }
    });
  }
  sim.run_until(360);
  for (const auto& violation : sim.violations) RC_LOG() << violation << "\n";
  RC_ASSERT(sim.violations.empty());
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "job-" + std::to_string(i);
    RC_ASSERT(sim.accepted(id));
    if (sim.cancelled_by_user(id)) continue;
    RC_LOG() << id << " " << sim.stored_value("job/" + id)->dump() << "\n";
    RC_ASSERT(sim.last_reported_status(id) == "done" || sim.running(id) > 0);
  }
}

}  // namespace
}  // namespace rushtrestle::testing
