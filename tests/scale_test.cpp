// Larger fleets in the world of stand-ins: what is served, and how the work done grows with
// the size. No clock but the world's own.
#include <gtest/gtest.h>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {
namespace {

std::vector<store::TeamSettings> teams(int n) {
  std::vector<store::TeamSettings> out;
  out.reserve(static_cast<size_t>(n));
  for (int i = 0; i < n; ++i)
    out.push_back({"team-" + std::to_string(i), {200, 40, 0}, {1000, 200, 0}});
  return out;
}

store::JobSpec service(int i, int of_teams, uint32_t tasks) {
  store::JobSpec s;
  s.id = "job-" + std::to_string(i);
  s.job_class = "gateway";
  s.team = "team-" + std::to_string(i % of_teams);
  s.kind = store::JobKind::service;
  s.rank = store::Rank::production;
  s.tasks = tasks;
  s.per_task = {2, 0, 4};
  s.image = "img-" + std::to_string(i % 5);
  s.image_gb = 1;
  s.spread = true;
  return s;
}

std::string first(const ClusterSimulation& w) {
  return w.violations.empty() ? "" : w.violations.front();
}

// Rentals waited in a queue, one request a part and a few machines, behind others for a type that
// the cloud had refused long since; at two calls a second the fleet came up minutes late.
TEST(Scale, AFleetOfManyPartsComesUpWithFewCallsToTheCloud) {
  ClusterSimulation::Options options;
  options.nodes = 5;
  options.teams = teams(15);
  options.cloud_rps = 2;
  options.boot_failures = false;
  options.types = {{"tiny", {4, 0, 16}, 50, 1, 0.2, 0.1, 8, {"a", "b"}},
                   {"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}},
                   {"large", {64, 0, 512}, 50, 1, 5, 1.8, 8, {"a", "b"}}};
  options.capacity = {{"tiny", 8}, {"mid", 3}, {"large", 24}};
  ClusterSimulation w(options);
  constexpr int kJobs = 240;
  for (int i = 0; i < kJobs; ++i) w.submit(service(i, 15, 4), 3 + 0.02 * i);
  w.run_until(50);
  for (int i = 0; i < kJobs; ++i) EXPECT_EQ(w.running("job-" + std::to_string(i)), 4u) << i;
  EXPECT_LE(w.counters().cloud_calls, 50u);
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

// One controller, more of them than teams, many teams on few: each team is served, also after each
// crash.
TEST(Scale, AnyNumberOfControllersServesAnyNumberOfTeams) {
  for (const auto& [nodes, of_teams] : {std::pair{1, 3}, {7, 2}, {2, 12}}) {
    ClusterSimulation::Options options;
    options.nodes = nodes;
    options.teams = teams(of_teams);
    options.boot_failures = false;
    options.consolidate = false;
    ClusterSimulation w(options);
    for (int i = 0; i < of_teams; ++i) w.submit(service(i, of_teams, 2), 3);
    w.run_until(60);
    for (int i = 0; i < of_teams; ++i)
      EXPECT_EQ(w.running("job-" + std::to_string(i)), 2u) << nodes << " nodes, team " << i;
    for (int n = 0; n < nodes; ++n) w.kill_node(n, 5);
    for (int i = 0; i < of_teams; ++i) w.submit(service(100 + i, of_teams, 2), 70);
    w.run_until(130);
    for (int i = 0; i < of_teams; ++i) {
      EXPECT_EQ(w.starts_of("job-" + std::to_string(i)), 2u) << nodes << " nodes, team " << i;
      EXPECT_EQ(w.running("job-" + std::to_string(100 + i)), 2u) << nodes << " nodes, team " << i;
    }
    EXPECT_TRUE(w.violations.empty()) << first(w);
  }
}

// What is written, asked and sent grows with the size and no faster: with jobs times machines it
// would at some size stop the fleet, whatever the machines.
TEST(Scale, WorkGrowsNoFasterThanTheFleet) {
  const auto play = [](int jobs) {
    ClusterSimulation::Options options;
    options.nodes = 5;
    options.teams = teams(10);
    options.boot_failures = false;
    options.types = {{"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}}};
    options.capacity = {{"mid", 60}};
    ClusterSimulation w(options);
    for (int i = 0; i < jobs; ++i) w.submit(service(i, 10, 4), 3 + 40.0 * i / jobs);
    w.run_until(100);
    for (int i = 0; i < jobs; ++i)
      EXPECT_EQ(w.running("job-" + std::to_string(i)), 4u) << i << " of " << jobs;
    EXPECT_TRUE(w.violations.empty()) << first(w);
    return w.counters();
  };
  constexpr int kJobs = 60, kTimes = 4;
  const auto few = play(kJobs), many = play(kJobs * kTimes);
  EXPECT_LE(many.writes, few.writes * kTimes * 12 / 10);
  EXPECT_LE(many.worker_messages, few.worker_messages * kTimes * 12 / 10);
  EXPECT_LE(many.cloud_calls, few.cloud_calls * kTimes);
  // Proofs and renewals are there at any size: less than in proportion.
  EXPECT_LE(many.state_requests, few.state_requests * kTimes);
}

// Each message between controllers named every machine that the sender heard: writing and reading
// these names cost as much processor time as the workers' reports, and grew with the fleet.
TEST(Scale, MessagesBetweenControllersDoNotGrowWithTheFleet) {
  ClusterSimulation::Options options;
  options.nodes = 5;
  options.teams = teams(5);
  options.boot_failures = false;
  options.consolidate = false;
  options.types = {{"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}}};
  options.capacity = {{"mid", 60}};
  ClusterSimulation w(options);
  for (int i = 0; i < 240; ++i) w.submit(service(i, 5, 4), 3);
  w.run_until(60);
  ASSERT_GE(w.machines_up(), 55u);
  const ClusterSimulation::Counters before = w.counters();
  w.run_until(90);
  // One in each period between any two of them, where it was one each way.
  const size_t messages = w.counters().peer_messages - before.peer_messages;
  constexpr double kPairs = 10;
  const double periods = 30 / (w.settings().heartbeat_interval_s / 2);
  EXPECT_GE(static_cast<double>(messages), 0.8 * kPairs * periods);
  EXPECT_LE(static_cast<double>(messages), 1.4 * kPairs * periods);
  // Some are just given back or change parts; a fifth of the fleet would be 11.
  EXPECT_LE(w.counters().machine_contacts_sent - before.machine_contacts_sent, 2 * messages);
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

// A tick every eightieth of report_s, forty a second here, was two turns in five of a busy
// controller, and a turn costs as much as a message.
TEST(Scale, AControllerWithNothingToDoWakesSeldom) {
  ClusterSimulation::Options options;
  options.nodes = 5;
  options.teams = teams(5);
  ClusterSimulation w(options);
  w.run_until(30);
  const size_t before = w.counters().batches_processed;
  constexpr double kSeconds = 30;
  w.run_until(30 + kSeconds);
  // Messages with four peers, one a second each way, and their answers; renewals, a watch, health
  // and plans.
  constexpr double kMostPerSecond = 25;
  EXPECT_LE(static_cast<double>(w.counters().batches_processed - before),
            kMostPerSecond * kSeconds * options.nodes);
}

// All that stood in line at the start counted as arrivals of three boot times: spare room for a
// third of it again was rented, and kept for as long.
TEST(Scale, WhatStoodInLineAtTheStartIsNotExpectedAgain) {
  ClusterSimulation::Options options;
  options.teams = teams(2);
  options.boot_failures = false;
  options.consolidate = false;
  options.state_rps = 250;
  options.state_write_rps = 80;
  options.types = {{"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 20, {"a", "b"}}};
  options.capacity = {{"mid", 60}};
  ClusterSimulation w(options);
  constexpr int kJobs = 120;  // 960 CPUs, 30 machines
  for (int i = 0; i < kJobs; ++i) w.submit(service(i, 2, 4), 3);
  w.run_until(55);
  for (int i = 0; i < kJobs; ++i) EXPECT_EQ(w.running("job-" + std::to_string(i)), 4u) << i;
  EXPECT_LE(w.machines_up(), 33u);
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

// Each job of a dead machine was written twice, without the lost task and with its new place: when
// dozens of machines died at once, the second half of these writes waited seconds for the budget.
TEST(Scale, AJobOfADeadMachineIsWrittenOnceToItsNextPlace) {
  ClusterSimulation::Options options;
  options.teams = teams(2);
  options.boot_failures = false;
  options.consolidate = false;
  options.types = {{"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}}};
  options.capacity = {{"mid", 10}};
  ClusterSimulation w(options);
  constexpr int kJobs = 60;
  for (int i = 0; i < kJobs; ++i) {
    auto s = service(2 * i, 2, 1);  // all of one team
    s.spread = false;
    w.submit(s, 3);
    if (i % 2) w.cancel(s.id, 40);  // leaves room
  }
  w.run_until(55);
  w.kill_machine(0);
  size_t lost = 0;
  for (int i = 0; i < kJobs; i += 2) lost += w.running("job-" + std::to_string(2 * i)) == 0;
  ASSERT_GE(lost, 4u);
  const size_t before = w.counters().writes;
  w.run_until(75);
  for (int i = 0; i < kJobs; i += 2) EXPECT_EQ(w.running("job-" + std::to_string(2 * i)), 1u) << i;
  // Placed, reported running; and the records of the machine itself and of what is rented and given
  // back.
  constexpr size_t kMachines = 4;
  EXPECT_LE(w.counters().writes - before, 2 * lost + kMachines);
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

// Connections between controllers refused: each took the whole budget of the state service for its
// own, and the service refused a third of what was asked.
TEST(Scale, ControllersThatDontHearEachOtherShareTheBudgetAllTheSame) {
  ClusterSimulation::Options options;
  options.nodes = 5;
  options.teams = teams(5);
  options.boot_failures = false;
  ClusterSimulation w(options);
  for (int i = 0; i < 600; ++i) {
    auto s = service(i, 5, 1);
    s.per_task = {0.1, 0, 0.1};
    s.spread = false;
    w.submit(s, 3 + 0.09 * i);
  }
  w.run_until(25);
  for (int a = 0; a < 5; ++a)
    for (int b = a + 1; b < 5; ++b)
      w.cut("node-" + std::to_string(a), "node-" + std::to_string(b), 40, false);
  w.run_until(30);
  const size_t before = w.counters().state_requests;
  w.run_until(60);
  EXPECT_LE(w.counters().state_requests - before, static_cast<size_t>(30 * w.settings().state_rps));
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

// One request of fifty machines left in each plan, whatever the cloud takes: a plan every two
// seconds here.
TEST(Scale, ManyMachinesOfOneKindAreRentedAtOnce) {
  ClusterSimulation::Options options;
  options.teams = teams(3);
  for (auto& team : options.teams) team.quota.cpus = team.guarantee.cpus = 10000;
  options.boot_failures = false;
  options.heartbeat_interval_s = 8;
  options.lease_s = 40;
  options.cancel_s = 100;
  options.state_rps = options.state_write_rps = 3000;
  options.cloud_rps = 20;
  options.types = {{"mid", {8, 0, 128}, 50, 1, 1.8, 0.7, 4, {"a"}}};
  constexpr size_t kMachines = 600;
  options.capacity = {{"mid", kMachines}};
  ClusterSimulation w(options);
  for (size_t i = 0; i < kMachines; ++i) {
    auto s = service(static_cast<int>(i), 3, 1);
    s.per_task.cpus = 8;
    w.submit(s, 3);
  }
  w.run_until(20);
  EXPECT_GE(w.machines_up(), kMachines * 9 / 10);
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

// A command to each machine of a lost zone took every socket for as long as a time-out: the
// renewals of the lease found none, the lease lapsed, and machines for whose command there was no
// socket were given up as if they did not answer.
TEST(Scale, ALostZoneLeavesSocketsForTheStateService) {
  ClusterSimulation::Options options;
  options.nodes = 2;
  options.teams = teams(2);
  options.boot_failures = false;
  options.consolidate = false;
  options.state_rps = 400;
  options.state_write_rps = 200;
  options.cloud_rps = 20;
  options.max_connections = 60;  // of which 18 are for own calls
  options.types = {{"mid", {8, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}}};
  options.capacity = {{"mid", 120}};
  ClusterSimulation w(options);
  constexpr int kJobs = 120;
  for (int i = 0; i < kJobs; ++i) w.submit(service(i, 2, 4), 3);
  w.run_until(50);
  ASSERT_GE(w.machines_up(), 100u);
  const auto before = w.counters();
  w.kill_zone("a");
  w.run_until(110);
  EXPECT_EQ(w.counters().calls_without_socket, before.calls_without_socket);
  EXPECT_LE(w.counters().max_commands_in_flight,
            static_cast<size_t>(options.max_connections * 0.2));
  for (int i = 0; i < kJobs; ++i)
    EXPECT_GE(w.running("job-" + std::to_string(i)), 2u) << i;  // the half that is in zone b
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

// The size that operators run: it comes up, loses a zone, loses all its controllers, changes its
// leader, and keeps the rules all the while, with work in proportion to the fleet.
TEST(Scale, FourThousandMachinesThroughALostZoneARestartAndAChangeOfLeader) {
  ClusterSimulation::Options options;
  options.nodes = 10;
  options.teams = teams(40);
  for (auto& team : options.teams) team.guarantee.cpus = team.quota.cpus = 1000;
  options.boot_failures = false;
  options.consolidate = false;
  options.heartbeat_interval_s = 5;
  options.lease_s = 26.5;
  options.cancel_s = 51.5;
  options.state_rps = 2000;
  options.state_write_rps = 1000;
  options.cloud_rps = 20;
  options.state_page_entries = 500;
  options.max_connections = 5000;
  options.step_s = 1;
  options.types = {{"mid", {8, 0, 128}, 50, 1, 1.8, 0.7, 10, {"a", "b"}}};
  options.capacity = {{"mid", 2050}};
  ClusterSimulation w(options);
  constexpr int kJobs = 2000;
  constexpr size_t kTasks = 8;
  for (int i = 0; i < kJobs; ++i) w.submit(service(i, 40, kTasks), 3 + 0.005 * i);
  const auto tasks_running = [&] {
    size_t n = 0;
    for (int i = 0; i < kJobs; ++i) n += w.running("job-" + std::to_string(i));
    return n;
  };
  w.run_until(80);
  EXPECT_GE(w.machines_up(), 4000u);
  EXPECT_EQ(tasks_running(), kJobs * kTasks);
  w.kill_zone("a");
  // Mass silence is doubted for two and a half leases, then machines are given up a few at a time.
  w.run_until(230);
  EXPECT_EQ(tasks_running(), kJobs * kTasks);
  for (int n = 0; n < options.nodes; ++n) w.kill_node(n, 5);
  w.run_until(250);
  const auto* leader = w.stored_value("leader");
  ASSERT_NE(leader, nullptr);
  const auto name = leader->at("node").get<std::string>();
  w.kill_node(name.back() - '0', 10);
  w.run_until(280);
  EXPECT_EQ(tasks_running(), kJobs * kTasks);
  EXPECT_TRUE(w.violations.empty()) << first(w);
  // Each machine is rented, gets its address and goes or is offered; each job is accepted, placed,
  // marked, and placed anew in the other zone: 768,617 turns, 31,606 puts of 7.2 million bytes and
  // 357 calls when this was written.
  EXPECT_LE(w.counters().batches_processed, 1000000u);
  EXPECT_LE(w.counters().writes, 40000u);
  EXPECT_LE(w.counters().bytes_written, 10000000u);
  EXPECT_LE(w.counters().cloud_calls, 600u);
}

// A job's last start stood for all its replicas, and one array kept a machine from being emptied:
// at a few hundred jobs nothing was ever settled, and the fleet stayed at its largest.
TEST(Scale, MachinesAreEmptiedThoughJobsStartAllTheTime) {
  ClusterSimulation::Options options;
  options.nodes = 2;
  options.teams = teams(2);
  options.boot_failures = false;
  options.types = {{"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}}};
  options.capacity = {{"mid", 30}};
  ClusterSimulation w(options);
  // Many services that soon end, and few that stay, dealt over all machines.
  for (int i = 0; i < 80; ++i) {
    w.submit(service(i, 2, 4), 3 + 0.1 * i);
    if (i % 5 != 0) w.cancel("job-" + std::to_string(i), 60);
  }
  // All the while something starts.
  for (int i = 0; i < 30; ++i) {
    auto s = service(1000 + i, 2, 2);
    s.kind = store::JobKind::array;
    s.rank = store::Rank::normal;
    s.estimate_s = 8;
    s.spread = false;
    w.submit(s, 70 + 5.0 * i);
  }
  w.run_until(55);
  const size_t before = w.machines_up();
  w.run_until(215);
  EXPECT_GE(before, 20u);
  EXPECT_LE(w.machines_up(), 10u);
  for (int i = 0; i < 80; i += 5) EXPECT_EQ(w.running("job-" + std::to_string(i)), 4u) << i;
  EXPECT_TRUE(w.violations.empty()) << first(w);
}

}  // namespace
}  // namespace rushtrestle::testing
