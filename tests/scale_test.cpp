// Larger fleets in the cluster simulation: the tests check that all jobs are served and how the
// work done grows with the size of the fleet. All times are simulated.
#include <gtest/gtest.h>

#include "simulation/scenario.h"

namespace rushtrestle::testing {
namespace {

std::vector<store::TeamSettings> make_teams(int count) {
  std::vector<store::TeamSettings> teams;
  teams.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i)
    teams.push_back({"team-" + std::to_string(i), {200, 40, 0}, {1000, 200, 0}});
  return teams;
}

store::JobSpec service_spec(int index, int team_count, uint32_t tasks) {
  store::JobSpec spec = service_job("job-" + std::to_string(index), tasks, {2, 0, 4});
  spec.team = "team-" + std::to_string(index % team_count);
  spec.image = "img-" + std::to_string(index % 5);
  spec.spread = true;
  return spec;
}

// Guards against provisioning requests that wait in a queue: each shard sent one request for a few
// machines, behind requests for a machine type that the cloud had already refused. At two cloud
// calls per second, the fleet came up minutes late.
TEST(Scale, AFleetOfManyShardsComesUpWithFewCloudCalls) {
  ClusterSimulation::Options options;
  options.nodes = 5;
  options.teams = make_teams(15);
  options.cloud_rps = 2;
  options.boot_failures = false;
  options.types = {{"tiny", {4, 0, 16}, 50, 1, 0.2, 0.1, 8, {"a", "b"}},
                   {"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}},
                   {"large", {64, 0, 512}, 50, 1, 5, 1.8, 8, {"a", "b"}}};
  options.capacity = {{"tiny", 8}, {"mid", 3}, {"large", 24}};
  ClusterSimulation sim(options);
  constexpr int kJobs = 240;
  for (int i = 0; i < kJobs; ++i) sim.submit(service_spec(i, 15, 4), 3 + 0.02 * i);
  sim.run_until(50);
  for (int i = 0; i < kJobs; ++i) EXPECT_EQ(sim.running("job-" + std::to_string(i)), 4u) << i;
  EXPECT_LE(sim.counters().cloud_calls, 50u);
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// One controller, more controllers than teams, and many teams on few controllers: each team is
// served, also after all controllers have crashed.
TEST(Scale, AnyNumberOfControllersServesAnyNumberOfTeams) {
  for (const auto& [nodes, team_count] : {std::pair{1, 3}, {7, 2}, {2, 12}}) {
    ClusterSimulation::Options options;
    options.nodes = nodes;
    options.teams = make_teams(team_count);
    options.boot_failures = false;
    options.consolidate = false;
    ClusterSimulation sim(options);
    for (int i = 0; i < team_count; ++i) sim.submit(service_spec(i, team_count, 2), 3);
    sim.run_until(60);
    for (int i = 0; i < team_count; ++i)
      EXPECT_EQ(sim.running("job-" + std::to_string(i)), 2u) << nodes << " nodes, team " << i;
    for (int n = 0; n < nodes; ++n) sim.kill_node(n, 5);
    for (int i = 0; i < team_count; ++i) sim.submit(service_spec(100 + i, team_count, 2), 70);
    sim.run_until(130);
    for (int i = 0; i < team_count; ++i) {
      EXPECT_EQ(sim.starts_of("job-" + std::to_string(i)), 2u) << nodes << " nodes, team " << i;
      EXPECT_EQ(sim.running("job-" + std::to_string(100 + i)), 2u) << nodes << " nodes, team " << i;
    }
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  }
}

// Writes, state requests and messages grow no faster than the fleet. If they grew with the product
// of jobs and machines, they would stop the fleet at some size, whatever the hardware.
TEST(Scale, WorkGrowsNoFasterThanTheFleet) {
  const auto run_fleet = [](int jobs) {
    ClusterSimulation::Options options;
    options.nodes = 5;
    options.teams = make_teams(10);
    options.boot_failures = false;
    options.types = {{"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}}};
    options.capacity = {{"mid", 60}};
    ClusterSimulation sim(options);
    for (int i = 0; i < jobs; ++i) sim.submit(service_spec(i, 10, 4), 3 + 40.0 * i / jobs);
    sim.run_until(100);
    for (int i = 0; i < jobs; ++i)
      EXPECT_EQ(sim.running("job-" + std::to_string(i)), 4u) << i << " of " << jobs;
    EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
    return sim.counters();
  };
  constexpr int kJobs = 60, kFactor = 4;
  const auto few = run_fleet(kJobs), many = run_fleet(kJobs * kFactor);
  EXPECT_LE(many.writes, few.writes * kFactor * 12 / 10);
  EXPECT_LE(many.worker_messages, few.worker_messages * kFactor * 12 / 10);
  EXPECT_LE(many.cloud_calls, few.cloud_calls * kFactor);
  // Lease renewals and proofs that the cache is current cost the same at any fleet size, so the
  // requests grow less than in proportion.
  EXPECT_LE(many.state_requests, few.state_requests * kFactor);
}

// Guards against peer messages that grow with the fleet: each message named every machine that the
// sender had heard from. Writing and reading these names cost as much CPU time as the workers'
// reports.
TEST(Scale, MessagesBetweenControllersDoNotGrowWithTheFleet) {
  ClusterSimulation::Options options;
  options.nodes = 5;
  options.teams = make_teams(5);
  options.boot_failures = false;
  options.consolidate = false;
  options.types = {{"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}}};
  options.capacity = {{"mid", 60}};
  ClusterSimulation sim(options);
  for (int i = 0; i < 240; ++i) sim.submit(service_spec(i, 5, 4), 3);
  sim.run_until(60);
  ASSERT_GE(sim.machines_up(), 55u);
  const ClusterSimulation::Counters before = sim.counters();
  sim.run_until(90);
  // Each pair of controllers exchanges one message per period. Formerly it was one in each
  // direction.
  const size_t messages = sim.counters().peer_messages - before.peer_messages;
  constexpr double kPairs = 10;
  const double periods = 30 / (sim.settings().heartbeat_interval_s / 2);
  EXPECT_GE(static_cast<double>(messages), 0.8 * kPairs * periods);
  EXPECT_LE(static_cast<double>(messages), 1.4 * kPairs * periods);
  // A few machines are being released or move to another shard. A fifth of the fleet would be 11.
  EXPECT_LE(sim.counters().machine_contacts_sent - before.machine_contacts_sent, 2 * messages);
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// Guards against ticks that are too frequent: a tick every eightieth of report_s, 40 per second
// here, made up two in five batches of a busy controller, and a batch costs as much as a message.
TEST(Scale, AnIdleControllerProcessesFewBatches) {
  ClusterSimulation::Options options;
  options.nodes = 5;
  options.teams = make_teams(5);
  ClusterSimulation sim(options);
  sim.run_until(30);
  const size_t before = sim.counters().batches_processed;
  constexpr double kSeconds = 30;
  sim.run_until(30 + kSeconds);
  // With each of four peers, a controller exchanges one message and its answer per second. Lease
  // renewals, a watch, health checks and plans come on top.
  constexpr double kMostPerSecond = 25;
  EXPECT_LE(static_cast<double>(sim.counters().batches_processed - before),
            kMostPerSecond * kSeconds * options.nodes);
}

// Guards against a forecast that takes the initial queue for arrivals: all jobs that waited at the
// start counted as arrivals of three boot times. Headroom for a third of them was provisioned in
// addition, and kept for three boot times.
TEST(Scale, JobsQueuedAtTheStartAreNotForecastAgain) {
  ClusterSimulation::Options options;
  options.teams = make_teams(2);
  options.boot_failures = false;
  options.consolidate = false;
  options.state_rps = 250;
  options.state_write_rps = 80;
  options.types = {{"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 20, {"a", "b"}}};
  options.capacity = {{"mid", 60}};
  ClusterSimulation sim(options);
  constexpr int kJobs = 120;  // 960 CPUs, 30 machines
  for (int i = 0; i < kJobs; ++i) sim.submit(service_spec(i, 2, 4), 3);
  sim.run_until(55);
  for (int i = 0; i < kJobs; ++i) EXPECT_EQ(sim.running("job-" + std::to_string(i)), 4u) << i;
  EXPECT_LE(sim.machines_up(), 33u);
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// Guards against double writes: each job of a dead machine was written once without the lost task
// and once with its new placement. When dozens of machines died at once, the second half of these
// writes waited seconds for the write budget.
TEST(Scale, AJobOfADeadMachineIsWrittenOnceWithItsNewPlacement) {
  ClusterSimulation::Options options;
  options.teams = make_teams(2);
  options.boot_failures = false;
  options.consolidate = false;
  options.types = {{"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}}};
  options.capacity = {{"mid", 10}};
  ClusterSimulation sim(options);
  constexpr int kJobs = 60;
  for (int i = 0; i < kJobs; ++i) {
    auto spec = service_spec(2 * i, 2, 1);  // Even numbers: all jobs belong to one team.
    spec.spread = false;
    sim.submit(spec, 3);
    if (i % 2) sim.cancel(spec.id, 40);  // This leaves room for the tasks of the dead machine.
  }
  sim.run_until(55);
  sim.kill_machine(0);
  size_t lost = 0;
  for (int i = 0; i < kJobs; i += 2) lost += sim.running("job-" + std::to_string(2 * i)) == 0;
  ASSERT_GE(lost, 4u);
  const size_t before = sim.counters().writes;
  sim.run_until(75);
  for (int i = 0; i < kJobs; i += 2)
    EXPECT_EQ(sim.running("job-" + std::to_string(2 * i)), 1u) << i;
  // Each lost task is written when it is placed and when it is reported running. The records of the
  // dead machine and of provisioned and released machines come on top.
  constexpr size_t kMachines = 4;
  EXPECT_LE(sim.counters().writes - before, 2 * lost + kMachines);
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// Guards against an overrun of the state store's request budget: when connections between
// controllers were refused, each controller used the whole budget, and the state store refused a
// third of the requests.
TEST(Scale, DisconnectedControllersStillShareTheStateBudget) {
  ClusterSimulation::Options options;
  options.nodes = 5;
  options.teams = make_teams(5);
  options.boot_failures = false;
  ClusterSimulation sim(options);
  for (int i = 0; i < 600; ++i) {
    auto spec = service_spec(i, 5, 1);
    spec.per_task = {0.1, 0, 0.1};
    spec.spread = false;
    sim.submit(spec, 3 + 0.09 * i);
  }
  sim.run_until(25);
  for (int a = 0; a < 5; ++a)
    for (int b = a + 1; b < 5; ++b)
      sim.cut("node-" + std::to_string(a), "node-" + std::to_string(b), 40, false);
  sim.run_until(30);
  const size_t before = sim.counters().state_requests;
  sim.run_until(60);
  EXPECT_LE(sim.counters().state_requests - before,
            static_cast<size_t>(30 * sim.settings().state_rps));
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// Guards against slow provisioning: each plan sent only one request for fifty machines, however
// many calls the cloud accepts. There is a plan every two seconds here.
TEST(Scale, ManyMachinesOfOneTypeAreProvisionedAtOnce) {
  ClusterSimulation::Options options;
  options.teams = make_teams(3);
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
  ClusterSimulation sim(options);
  for (size_t i = 0; i < kMachines; ++i) {
    auto spec = service_spec(static_cast<int>(i), 3, 1);
    spec.per_task.cpus = 8;
    sim.submit(spec, 3);
  }
  sim.run_until(20);
  EXPECT_GE(sim.machines_up(), kMachines * 9 / 10);
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// Guards against a lost zone that takes all sockets: a command to each of its machines held a
// socket until the timeout. Lease renewals found no socket and the lease expired, and machines
// whose command got no socket were given up as if they did not answer.
TEST(Scale, ALostZoneLeavesSocketsForTheStateService) {
  ClusterSimulation::Options options;
  options.nodes = 2;
  options.teams = make_teams(2);
  options.boot_failures = false;
  options.consolidate = false;
  options.state_rps = 400;
  options.state_write_rps = 200;
  options.cloud_rps = 20;
  options.max_connections = 60;  // 18 of them are for the controller's own calls.
  options.types = {{"mid", {8, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}}};
  options.capacity = {{"mid", 120}};
  ClusterSimulation sim(options);
  constexpr int kJobs = 120;
  for (int i = 0; i < kJobs; ++i) sim.submit(service_spec(i, 2, 4), 3);
  sim.run_until(50);
  ASSERT_GE(sim.machines_up(), 100u);
  const auto before = sim.counters();
  sim.kill_zone("a");
  sim.run_until(110);
  EXPECT_EQ(sim.counters().calls_without_socket, before.calls_without_socket);
  EXPECT_LE(sim.counters().max_commands_in_flight,
            static_cast<size_t>(options.max_connections * 0.2));
  for (int i = 0; i < kJobs; ++i)
    EXPECT_GE(sim.running("job-" + std::to_string(i)), 2u)
        << i;  // Half of the tasks are in zone b.
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

// A fleet of the size that operators run comes up, loses a zone, loses all its controllers and
// changes its leader. It breaks no rule in this time, and its work stays in proportion to its size.
TEST(Scale, FourThousandMachinesThroughALostZoneARestartAndAChangeOfLeader) {
  ClusterSimulation::Options options;
  options.nodes = 10;
  options.teams = make_teams(40);
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
  ClusterSimulation sim(options);
  constexpr int kJobs = 2000;
  constexpr size_t kTasks = 8;
  for (int i = 0; i < kJobs; ++i) sim.submit(service_spec(i, 40, kTasks), 3 + 0.005 * i);
  const auto tasks_running = [&] {
    size_t running = 0;
    for (int i = 0; i < kJobs; ++i) running += sim.running("job-" + std::to_string(i));
    return running;
  };
  sim.run_until(80);
  EXPECT_GE(sim.machines_up(), 4000u);
  EXPECT_EQ(tasks_running(), kJobs * kTasks);
  sim.kill_zone("a");
  // When many machines fall silent at once, they are kept for two and a half leases, then given up
  // a few at a time.
  sim.run_until(230);
  EXPECT_EQ(tasks_running(), kJobs * kTasks);
  for (int n = 0; n < options.nodes; ++n) sim.kill_node(n, 5);
  sim.run_until(250);
  const auto* leader = sim.stored_value("leader");
  ASSERT_NE(leader, nullptr);
  const auto name = leader->at("node").get<std::string>();
  sim.kill_node(name.back() - '0', 10);
  sim.run_until(280);
  EXPECT_EQ(tasks_running(), kJobs * kTasks);
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
  // Each machine is provisioned, gets its address, and is deleted or offered. Each job is accepted,
  // placed, marked, and placed again in the other zone. The bounds leave margin above a measured
  // run with 768,617 batches, 31,606 puts of 7.2 million bytes and 357 cloud calls.
  EXPECT_LE(sim.counters().batches_processed, 1000000u);
  EXPECT_LE(sim.counters().writes, 40000u);
  EXPECT_LE(sim.counters().bytes_written, 10000000u);
  EXPECT_LE(sim.counters().cloud_calls, 600u);
}

// Guards against consolidation that never starts: the last start of a job counted for all its
// replicas, and a single array job kept a machine from being drained. With a few hundred jobs no
// machine ever counted as settled, and the fleet stayed at its largest size.
TEST(Scale, MachinesAreDrainedWhileJobsKeepStarting) {
  ClusterSimulation::Options options;
  options.nodes = 2;
  options.teams = make_teams(2);
  options.boot_failures = false;
  options.types = {{"mid", {32, 0, 128}, 50, 1, 1.8, 0.7, 8, {"a", "b"}}};
  options.capacity = {{"mid", 30}};
  ClusterSimulation sim(options);
  // Many services that end soon and a few that stay are spread over all machines.
  for (int i = 0; i < 80; ++i) {
    sim.submit(service_spec(i, 2, 4), 3 + 0.1 * i);
    if (i % 5 != 0) sim.cancel("job-" + std::to_string(i), 60);
  }
  // Array jobs start throughout the run.
  for (int i = 0; i < 30; ++i) {
    auto spec = service_spec(1000 + i, 2, 2);
    spec.kind = store::JobKind::array;
    spec.rank = store::Rank::normal;
    spec.estimate_s = 8;
    spec.spread = false;
    sim.submit(spec, 70 + 5.0 * i);
  }
  sim.run_until(55);
  const size_t before = sim.machines_up();
  sim.run_until(215);
  EXPECT_GE(before, 20u);
  EXPECT_LE(sim.machines_up(), 10u);
  for (int i = 0; i < 80; i += 5) EXPECT_EQ(sim.running("job-" + std::to_string(i)), 4u) << i;
  EXPECT_TRUE(sim.violations.empty()) << first_violation(sim);
}

}  // namespace
}  // namespace rushtrestle::testing
