// Gangs: all tasks run at the same time or none does.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "simulation/generated_faults.h"

namespace rushtrestle::testing {
namespace {

store::JobSpec gang(const std::string& id, uint32_t tasks, double cpus, double seconds) {
  store::JobSpec s;
  s.id = id;
  s.job_class = "joint";
  s.team = "red";
  s.kind = store::JobKind::gang;
  s.rank = store::Rank::normal;
  s.tasks = tasks;
  s.per_task = {cpus, 0, 2};
  s.image = "img";
  s.image_gb = 1;
  s.estimate_s = seconds;
  s.one_zone = true;
  s.checkpoint_s = 5;
  s.save_s = 1;
  return s;
}

std::string first(const ClusterSimulation& w) {
  return w.violations.empty() ? "" : w.violations.front();
}

TEST(Gangs, RunWholeAndAreRentedForWhole) {
  ClusterSimulation w({});
  w.submit(gang("job-1", 4, 2, 10), 3);
  w.submit(gang("job-2", 8, 12, 10),
           3);  // more than any machine has, and than one zone has small ones
  auto apart = gang("job-3", 3, 4, 10);
  apart.one_zone = false;
  apart.checkpoint_s = apart.save_s = 0;
  w.submit(apart, 4);
  auto too_large = gang("job-4", 40, 4, 10);  // 160 CPUs of 144
  w.submit(too_large, 5);
  w.run_until(120);
  for (const char* id : {"job-1", "job-2", "job-3"})
    EXPECT_EQ(w.last_reported_status(id), "done") << id;
  EXPECT_FALSE(w.accepted("job-4"));
  EXPECT_EQ(w.starts_of("job-1"), 4u) << "all at once, under one attempt";
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

// A member's machine dies while the gang runs: the others end by themselves, and the next attempt
// begins, from the last checkpoint, when all the old ones are known to be gone.
TEST(Gangs, GoOnFromTheirCheckpointWhenAMemberIsLost) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    ClusterSimulation w(options);
    w.submit(gang("job-1", 4, 12, 30), 3);
    w.run_until(30);
    ASSERT_EQ(w.running("job-1"), 4u);
    w.kill_machine(seed % 4);
    w.run_until(150);
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// A machine that is cut off as all complete can't tell: one that is done means all are.
TEST(Gangs, AreDoneWhenOneMemberIs) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    ClusterSimulation w(options);
    w.submit(gang("job-1", 4, 12, 20), 3);
    while (w.now() < 60 && w.running("job-1") < 4) w.run_until(w.now() + 0.25);
    w.run_until(w.now() + 18.5);
    ASSERT_EQ(w.running("job-1"), 4u);
    w.cut_machine(seed % 4, 300, false, false);
    w.run_until(w.now() + 9);  // users ask every five seconds
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    w.run_until(w.now() + 60);
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// The zone that is best for its first task has no room for the second, and can't get any.
TEST(Gangs, GoToTheZoneThatTakesThemWhole) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 8, {"a", "b"}}};
    options.capacity = {{"small", 3}};
    options.boot_failures = false;
    ClusterSimulation w(options);
    for (const char* zone : {"a", "b"}) {
      auto filler = gang(std::string("job-") + zone, 1, zone[0] == 'a' ? 10 : 2, 300);
      filler.kind = store::JobKind::array;
      filler.checkpoint_s = filler.save_s = 0;
      filler.zone = zone;
      filler.tasks = zone[0] == 'a' ? 3 : 1;
      w.submit(filler, 2);
    }
    w.run_until(30);
    w.submit(gang("job-1", 3, 6, 10),
             30);  // zone a has 6 of 16 free thrice, b has room for two a machine
    w.submit(gang("job-2", 2, 14, 10), 31);
    w.run_until(110);
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    EXPECT_EQ(w.last_reported_status("job-2"), "done") << seed;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// The state service's limits fall without notice, in the middle of things: large arrays and gangs
// go on.
TEST(Gangs, AndLargeArraysGoOnWhenTheLimitsOfTheStateServiceFall) {
  for (const double falls_at : {12.0, 25.0, 33.0}) {
    ClusterSimulation::Options options;
    options.next_limits = std::make_pair(2.0, 4);
    ClusterSimulation w(options);
    auto large = gang("job-1", 300, 1, 4);
    large.kind = store::JobKind::array;
    large.one_zone = false;
    large.checkpoint_s = large.save_s = 0;
    w.submit(large, 3);
    for (int i = 2; i < 8; ++i) w.submit(gang("job-" + std::to_string(i), 12, 1, 8), 2 + 5 * i);
    w.at(falls_at, [&w] { w.lower_state_limits(); });
    w.at(falls_at + 1, [&w] { w.kill_node(1, 5); });
    w.run_until(240);
    for (int i = 1; i < 8; ++i)
      EXPECT_EQ(w.last_reported_status("job-" + std::to_string(i)), "done")
          << i << " falls at " << falls_at;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// A record written by the version before, up to the old limit, is too large to be written again
// until enough of its tasks have ended: their ends are noticed again after each refusal, within the
// budget.
TEST(Gangs, ARecordStoredUnderALargerLimitIsFinished) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.runtime_increase_per_task = 0.03;  // one task after the other
    ClusterSimulation w(options);
    auto large = gang("job-1", 60, 1, 25);
    large.kind = store::JobKind::array;
    large.one_zone = false;
    large.checkpoint_s = large.save_s = 0;
    w.submit(large, 3);
    w.submit(gang("job-2", 4, 1, 20), 20);
    while (w.now() < 40 && w.placed_tasks("job-1") < 60) w.run_until(w.now() + 0.25);
    ASSERT_EQ(w.placed_tasks("job-1"), 60u);
    w.lower_state_limits(1.2, 4);
    w.at(w.now() + 5, [&w] { w.kill_node(1, 0.3); });
    w.run_until(180);
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    EXPECT_EQ(w.last_reported_status("job-2"), "done") << seed;
    EXPECT_LE(w.counters().state_requests, 180u * 60);
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// A little room is left on many machines and a lot on two. A transaction takes conditions for 14
// machines; the best fit would take more.
TEST(Gangs, GoOnFewMachinesWhereATransactionTakesNoMoreConditions) {
  ClusterSimulation::Options options;
  options.next_limits = std::make_pair(4.0, 4);
  options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 8, {"a"}}};
  options.capacity = {{"small", 18}};
  options.teams = {{"red", {400, 16, 0}, {800, 40, 0}}, {"blue", {64, 16, 0}, {144, 40, 0}}};
  options.boot_failures = false;
  options.consolidate = false;
  ClusterSimulation w(options);
  auto filler = gang("job-1", 16, 14, 400);  // leaves 2 CPUs on each of 16 machines
  filler.kind = store::JobKind::service;
  filler.rank = store::Rank::production;
  filler.estimate_s = filler.checkpoint_s = filler.save_s = 0;
  w.submit(filler, 3);
  w.run_until(40);
  ASSERT_EQ(w.running("job-1"), 16u);
  w.submit(gang("job-2", 16, 2, 10), 41);
  w.run_until(100);
  EXPECT_EQ(w.last_reported_status("job-2"), "done");
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

// One machine in zone a has room for a member, and the cloud has no more there, but enough in zone
// b: the gang is rented for whole in b, though the room in a is better for its first task.
TEST(Gangs, AreRentedForInTheZoneThatCanTakeThemWhole) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 8, {"a", "b"}}};
    options.capacity = {{"small", 4}};
    options.boot_failures = false;
    ClusterSimulation w(options);
    for (const uint32_t tasks : {3, 1}) {
      auto filler = gang("job-a" + std::to_string(tasks), tasks, tasks == 3 ? 14 : 2, 400);
      filler.kind = store::JobKind::array;
      filler.checkpoint_s = filler.save_s = 0;
      filler.zone = "a";
      filler.job_class = "filler";
      filler.per_task.memory_gb = 40;  // one to a machine
      w.submit(filler, 2);
    }
    w.submit(gang("job-1", 3, 14, 10), 30);
    w.run_until(110);
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// Small jobs that take each piece of room as it comes free would keep a large gang waiting for
// ever. How long it waits is bound, and the small ones go on after it.
TEST(Gangs, ALargeOneIsNotStarvedByAStreamOfSmallJobs) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 8, {"a", "b"}}};
    options.capacity = {{"small", 2}};
    options.boot_failures = false;
    ClusterSimulation w(options);
    constexpr int kStream = 170;
    for (int i = 2; i < kStream; ++i) {  // 64 CPUs are full all the time
      auto j = gang("job-" + std::to_string(i), 1, 4, 17);
      j.kind = store::JobKind::array;
      j.checkpoint_s = j.save_s = 0;
      w.submit(j, 3 + 1.1 * i);
    }
    w.submit(gang("job-1", 2, 14, 10), 20);
    w.run_until(20 + 120 + 60);
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    w.run_until(330);
    for (int i = 2; i < kStream; ++i)
      EXPECT_EQ(w.last_reported_status("job-" + std::to_string(i)), "done")
          << i << " seed " << seed;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// Each limit falls at a generated moment, alone or with the others, amid restarts and lost
// machines.
RC_GTEST_PROP(Gangs, LimitsThatFallAtAnyMomentLoseNothing, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  const auto falls = *rc::gen::inRange(3, 120);
  const auto which = *rc::gen::inRange(1, 8);
  const auto schedule =
      *rc::gen::resize(3, rc::gen::container<std::vector<Fault>>(generated_fault()));
  ClusterSimulation::Options options;
  options.seed = seed;
  options.next_limits = std::make_pair(which & 1 ? 2.0 : 4.0, which & 2 ? 4 : 8);
  options.next_write_rps = which & 4 ? 12 : 0;
  ClusterSimulation w(options);
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
    w.submit(spec, 2 + static_cast<double>(rng() % 90));
  }
  w.at(falls, [&w, which] {
    w.lower_state_limits();
    if (which & 4) w.lower_write_rate();
  });
  for (const auto& t : schedule) w.at(t.at, [&w, t] { inject(w, t); });
  w.run_until(360);
  for (const auto& b : w.violations) RC_LOG() << b << "\n";
  RC_ASSERT(w.violations.empty());
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "job-" + std::to_string(i);
    RC_LOG() << id << " " << w.stored_value("job/" + id)->dump() << "\n";
    RC_ASSERT(w.cancelled_by_user(id) || w.last_reported_status(id) == "done" || w.running(id) > 0);
  }
}

// A large gang that does not fit stands before small ones of its class: they go on beside it.
TEST(Gangs, ALargeOneThatFindsNoRoomHoldsUpNoSmallOne) {
  ClusterSimulation::Options options;
  options.types = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 8, {"a", "b"}}};
  options.capacity = {{"small", 2}};
  options.boot_failures = false;
  ClusterSimulation w(options);
  w.submit(gang("job-1", 8, 8, 10), 3);  // 64 CPUs in one zone, of 32
  for (int i = 2; i < 6; ++i) w.submit(gang("job-" + std::to_string(i), 2, 8, 8), 4);
  w.run_until(70);
  for (int i = 2; i < 6; ++i)
    EXPECT_EQ(w.last_reported_status("job-" + std::to_string(i)), "done") << i;
  EXPECT_EQ(w.last_reported_status("job-1"), "open");
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

// A member lost before the start is replaced under the same attempt, well before the others give up
// waiting.
TEST(Gangs, TakeANewMemberForOneThatIsLostBeforeTheStart) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.gang_wait_s = 200;
    options.boot_failures = false;
    ClusterSimulation w(options);
    auto j = gang("job-1", 4, 12, 10);
    j.image_gb = 8;  // 16 s on a small machine
    w.submit(j, 3);
    while (w.now() < 60 && w.placed_tasks("job-1") < 4) w.run_until(w.now() + 0.5);
    w.run_until(w.now() + 3);
    w.kill_machine_of("job-1");
    w.run_until(w.now() + 75);
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// One of its machines has to be emptied: all members are told, so that what they did is saved.
TEST(Gangs, AreStoppedWholeAndInOrder) {
  int in_order = 0;
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    ClusterSimulation w(options);
    auto j = gang("job-1", 3, 12, 40);
    j.checkpoint_s = 1000;  // nothing is safe but by an orderly stop
    w.submit(j, 3);
    w.run_until(30);
    ASSERT_EQ(w.running("job-1"), 3u);
    w.reclaim_machine_of("job-1", 15);
    w.run_until(45);
    in_order += w.checkpointed_progress_s("job-1") > 5;
    w.run_until(140);
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
  EXPECT_EQ(in_order, 6);
}

// A member fails while the others still gather, and the controller that saw it ends: the next one
// must not take the attempt for one that lost a member, or it adds members that wait for
// gang_wait_s in vain.
TEST(Gangs, ANewOwnerAddsNobodyToAnAttemptThatIsOver) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.gang_wait_s = 300;
    options.boot_failures = false;
    ClusterSimulation w(options);
    auto j = gang("job-1", 4, 12, 10);
    j.image_gb = 8;  // 16 s on a small machine
    w.submit(j, 3);
    while (w.now() < 60 && w.placed_tasks("job-1") < 4) w.run_until(w.now() + 0.25);
    w.fail_tasks_on_machine_of("job-1", 30);
    while (w.now() < 90 && w.tasks_waiting_for_gang("job-1") == 0) w.run_until(w.now() + 0.05);
    w.run_until(w.now() + 0.4 + 0.2 * static_cast<double>(seed));
    w.kill_shard_holder_of("job-1", 8);
    w.run_until(w.now() + 90);
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    EXPECT_LE(w.starts_in_attempt("job-1", 1), 4u)
        << "a member joined an attempt that was over, seed " << seed;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// A machine dies at the very moment of the start, before any report told of it: the member is not
// replaced in an attempt that runs, and nobody is left waiting.
TEST(Gangs, AMemberLostAtTheMomentOfTheStartIsNotReplaced) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.gang_wait_s = 300;
    options.boot_failures = false;
    ClusterSimulation w(options);
    w.submit(gang("job-1", 4, 12, 20), 3);
    while (w.now() < 60 && w.running("job-1") < 4) w.run_until(w.now() + 0.01);
    w.kill_machine_of("job-1");
    w.run_until(w.now() + 100);
    EXPECT_EQ(w.starts_in_attempt("job-1", 1), 4u)
        << "a replacement in an attempt that ran, seed " << seed;
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// The others would notice by themselves only after gang_peer_s: once the loss is known they are
// stopped, and go on sooner.
TEST(Gangs, WhatALostMemberLeavesRunningIsStopped) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.gang_peer_s = 100;
    options.boot_failures = false;
    ClusterSimulation w(options);
    w.submit(gang("job-1", 4, 12, 20), 3);
    while (w.now() < 60 && w.running("job-1") < 4) w.run_until(w.now() + 0.25);
    w.run_until(w.now() + 4);
    w.kill_machine_of("job-1");
    w.run_until(w.now() + 60);
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// The same, and the other member's machine is cut off at that moment: nobody knows that the gang
// runs when the dead machine is given up.
TEST(Gangs, NobodyJoinsWhileAMemberIsNotHeard) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    ClusterSimulation::Options options;
    options.seed = seed;
    options.gang_wait_s = 300;
    options.boot_failures = false;
    ClusterSimulation w(options);
    w.submit(gang("job-1", 2, 12, 40), 3);
    while (w.now() < 60 && w.running("job-1") < 2) w.run_until(w.now() + 0.01);
    w.cut_machine_of("job-1", 1, 8);
    w.kill_machine_of("job-1");
    w.run_until(w.now() + 120);
    EXPECT_EQ(w.starts_in_attempt("job-1", 1), 2u)
        << "a replacement in an attempt that ran, seed " << seed;
    EXPECT_EQ(w.last_reported_status("job-1"), "done") << seed;
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

store::JobSpec random_gang(int number, std::mt19937_64& rng) {
  auto s = gang("job-" + std::to_string(number), 1 + static_cast<uint32_t>(rng() % 5),
                2 + static_cast<double>(rng() % 3) * 4, 5 + static_cast<double>(rng() % 25));
  s.team = rng() % 2 ? "red" : "blue";
  s.rank = static_cast<store::Rank>(rng() % 4);
  s.one_zone = rng() % 2;
  s.image_gb = 1 + static_cast<double>(rng() % 4);
  if (rng() % 3 == 0) s.checkpoint_s = s.save_s = 0;
  return s;
}

// Random gangs beside arrays and services, under random troubles of which some strike at a gang's
// steps: a machine of a gang that gathers dies, is taken with a notice or fails tasks, and the
// controller that looks after the gang ends.
RC_GTEST_PROP(Gangs, NoScheduleOfTroublesBreaksARule, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  const auto schedule =
      *rc::gen::resize(5, rc::gen::container<std::vector<Fault>>(generated_fault()));
  const auto strikes =
      *rc::gen::resize(8, rc::gen::container<std::vector<Fault>>(generated_fault()));
  ClusterSimulation::Options options;
  options.seed = seed;
  options.gang_wait_s = 20;
  ClusterSimulation w(options);
  std::mt19937_64 rng(seed);
  constexpr int kJobs = 20;
  for (int i = 0; i < kJobs; ++i) {
    const double at = 2 + static_cast<double>(rng() % 90);
    w.submit(i % 4 ? random_gang(i, rng) : random_job(i, rng), at);
    if (rng() % 6 == 0)
      w.cancel("job-" + std::to_string(i), at + 5 + static_cast<double>(rng() % 60));
  }
  for (const auto& t : schedule) w.at(t.at, [&w, t] { inject(w, t); });
  for (const auto& t : strikes) {
    w.at(t.at, [&w, t] {
      const std::string id = "job-" + std::to_string(t.target % kJobs);
      if (t.kind % 2) w.kill_shard_holder_of(id, t.variant ? 0.3 : 6);
      switch (t.kind % 4) {
        case 0: w.kill_machine_of(id); break;
        case 1: w.reclaim_machine_of(id, t.for_s / 3); break;
        case 2: w.fail_tasks_on_machine_of(id, t.for_s); break;
        default: break;
      }
    });
  }
  w.run_until(360);
  for (const auto& b : w.violations) RC_LOG() << b << "\n";
  RC_ASSERT(w.violations.empty());
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "job-" + std::to_string(i);
    RC_ASSERT(w.accepted(id));
    if (w.cancelled_by_user(id)) continue;
    RC_LOG() << id << " " << w.stored_value("job/" + id)->dump() << "\n";
    RC_ASSERT(w.last_reported_status(id) == "done" || w.running(id) > 0);
  }
}

}  // namespace
}  // namespace rushtrestle::testing
