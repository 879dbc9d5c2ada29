#include "coordination/scheduling/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rushtrestle::coordination {
namespace {

const store::MachineType cpu_type{"cpu", {16, 0, 64}, 50, 0.5, 1, 0.4, 30, {"a", "b"}};
const store::MachineType gpu_type{"gpu", {48, 8, 384}, 600, 4, 26, 9, 35, {"a", "b"}};
const std::string zone_a = "a";
const std::string zone_b = "b";

store::JobSpec task(double cpus, double gpus) {
  store::JobSpec s;
  s.id = "job-1";
  s.per_task = {cpus, gpus, 4};
  s.image = "i";
  s.image_gb = 8;
  return s;
}

Slot slot(const std::string& id, const store::MachineType& t, const std::string& zone,
          bool spot = false) {
  return {id, &t, &zone, spot, t.size, true};
}

TEST(Placement, ACachedImageBeatsAFullerMachine) {
  ImageCaches images;
  images.record_use("m2", "i", 8, 50);
  std::vector<Slot> slots{slot("m1", cpu_type, zone_a), slot("m2", cpu_type, zone_a)};
  slots[0].free.cpus = 4;
  slots[1].images = images.cache_of("m2");
  EXPECT_EQ(select_slot(task(2, 0), {}, slots, {0, &images, nullptr})->machine, "m2");
}

// Guards against a task going to a fuller machine without its image, where a fetch of half a second
// makes it miss its objective to start within one second.
TEST(Placement, AFetchThatMakesAStartLateOutweighsPacking) {
  ImageCaches images;
  images.record_use("m2", "i", 2, 50);
  std::vector<Slot> slots{slot("m1", gpu_type, zone_a), slot("m2", gpu_type, zone_a)};
  slots[0].empty = false;
  slots[0].has_non_preemptible = true;
  slots[0].free.cpus = 40;
  slots[1].images = images.cache_of("m2");
  auto t = task(2, 0);
  t.image_gb = 2.4;  // The fetch takes 0.6 s.
  PlacementConstraints constraints;
  constraints.images = &images;
  EXPECT_EQ(select_slot(t, {}, slots, constraints)->machine, "m1");
  constraints.start_within_s = 1;
  EXPECT_EQ(select_slot(t, {}, slots, constraints)->machine, "m2");
}

TEST(Placement, TheTightestObjectiveSaysWhenATaskShouldRun) {
  store::Settings settings;
  settings.objectives = {
      {"wait", "chat", 18, 0.9}, {"up", "chat", 1, 0.9}, {"guarantee", "", 5, 0.9}};
  auto t = task(1, 0);
  t.job_class = "chat";
  EXPECT_DOUBLE_EQ(start_within_s(t, settings), 5);
  settings.objectives.pop_back();
  EXPECT_DOUBLE_EQ(start_within_s(t, settings), 18);
  t.job_class = "batch";
  EXPECT_DOUBLE_EQ(start_within_s(t, settings), 0);
}

TEST(Placement, CachesKeepTheMostRecentlyUsed) {
  ImageCaches images;
  images.record_use("m", "x", 20, 50);
  images.record_use("m", "y", 20, 50);
  images.record_use("m", "x", 20, 50);
  images.record_use("m", "z", 20, 50);
  EXPECT_TRUE(images.has("m", "x") && images.has("m", "z"));
  EXPECT_FALSE(images.has("m", "y"));
}

TEST(Placement, CpusBesideFreeGpusStayTheirs) {
  std::vector<Slot> slots{slot("g", gpu_type, zone_a)};
  const PlacementConstraints constraints{4, nullptr, nullptr};
  int placed = 0;
  while (Slot* s = select_slot(task(2, 0), {}, slots, constraints)) {
    s->free.add(task(2, 0).per_task, -1);
    ++placed;
  }
  EXPECT_EQ(placed, 8);  // 48 - 8 GPUs x 4 = 16 CPUs
  EXPECT_NE(select_slot(task(4, 1), {}, slots, constraints), nullptr);
}

TEST(Placement, SpotAndAvoidedMachinesAreLeftAlone) {
  std::vector<Slot> slots{slot("s", cpu_type, zone_a, true), slot("m", cpu_type, zone_a)};
  auto t = task(2, 0);
  EXPECT_EQ(select_slot(t, {}, slots, {})->machine, "m");
  t.spot = true;
  EXPECT_EQ(select_slot(t, {}, slots, {})->machine, "s");
  const std::set<std::string> avoid{"s", "m"};
  EXPECT_EQ(select_slot(t, {}, slots, {0, nullptr, &avoid}), nullptr);
}

// Checks the scatter and oneZone rules of zones as they are defined: at the start of each task.
RC_GTEST_PROP(Placement, NoSequenceBreaksZoneRules, ()) {
  auto t = task(1, 0);
  t.tasks = *rc::gen::inRange<uint32_t>(1, 12);
  t.spread = *rc::gen::arbitrary<bool>();
  t.one_zone = !t.spread && *rc::gen::arbitrary<bool>();
  std::vector<Slot> slots;
  const int n = *rc::gen::inRange(1, 6);
  for (int i = 0; i < n; ++i) {
    slots.push_back(
        slot("m" + std::to_string(i), cpu_type, *rc::gen::arbitrary<bool>() ? zone_a : zone_b));
    slots.back().free.cpus = *rc::gen::inRange(0, 16);
  }
  ZoneCounts zones;
  for (uint32_t i = 0; i < t.tasks; ++i) {
    Slot* s = select_slot(t, zones, slots, {});
    if (!s) break;
    s->free.add(t.per_task, -1);
    RC_ASSERT(s->free.cpus >= -1e-9);
    zones[*s->zone]++;
    if (t.spread) RC_ASSERT(zones[*s->zone] <= (t.tasks + 1) / 2);
    if (t.one_zone) RC_ASSERT(zones[zone_a] == 0 || zones[zone_b] == 0);
  }
}

TEST(Placement, PackTakesAsFewMachinesAsCanBe) {
  std::vector<Slot> slots;
  slots.reserve(6);
  for (int i = 0; i < 6; ++i)
    slots.push_back(slot("m" + std::to_string(i), cpu_type, i < 4 ? zone_a : zone_b));
  slots[1].free.cpus = 3;
  const auto machines = [](const auto& room) {
    std::set<std::string> out;
    for (const auto& [machine, resources] : room) out.insert(machine);
    return out;
  };
  auto job = task(2, 0);  // 8 tasks fit on an empty machine of 16 CPUs, 1 on m1.
  EXPECT_EQ(machines(bin_pack(job, 16, slots, {})).size(), 2u);
  EXPECT_EQ(bin_pack(job, 16, slots, {}).size(), 16u);
  EXPECT_EQ(machines(bin_pack(job, 9, slots, {"m0", "m2", "m3", "m4"})),
            (std::set<std::string>{"m5", "m1"}));
  job.zone = zone_b;
  EXPECT_EQ(machines(bin_pack(job, 10, slots, {})), (std::set<std::string>{"m4", "m5"}));
  EXPECT_TRUE(bin_pack(job, 17, slots, {}).empty()) << "two machines take 16";
}

}  // namespace
}  // namespace rushtrestle::coordination
