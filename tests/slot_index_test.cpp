// Compares the index of a plan's machines with the linear search over all of them.
#include "coordination/scheduling/slot_index.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rushtrestle::testing {
namespace {

using namespace coordination;

const std::vector<store::MachineType>& types() {
  static const std::vector<store::MachineType> all = {
      {"small", {16, 0, 64}, 50, 1, 1, 0.4, 8, {"a", "b"}},
      {"large", {32, 0, 128}, 50, 1, 2, 0.8, 8, {"a", "b"}},
      {"gpu", {48, 8, 384}, 300, 4, 20, 7, 10, {"a", "b"}}};
  return all;
}

Slot any_slot() {
  const auto& type = types()[*rc::gen::inRange<size_t>(0, types().size())];
  Slot slot{"", &type, &type.zones[*rc::gen::inRange<size_t>(0, 2)], *rc::gen::arbitrary<bool>(),
            type.size};
  slot.empty = *rc::gen::arbitrary<bool>();
  if (slot.empty) return slot;
  slot.has_non_preemptible = *rc::gen::arbitrary<bool>();
  slot.free.cpus -= *rc::gen::inRange(0, static_cast<int>(type.size.cpus) + 1);
  slot.free.gpus -= *rc::gen::inRange(0, static_cast<int>(type.size.gpus) + 1);
  return slot;
}

store::JobSpec any_spec() {
  store::JobSpec spec;
  spec.per_task = {static_cast<double>(*rc::gen::inRange(1, 9)),
                   static_cast<double>(*rc::gen::element(0, 0, 1, 2, 4)),
                   static_cast<double>(*rc::gen::inRange(1, 40))};
  spec.tasks = *rc::gen::inRange<uint32_t>(1, 9);
  spec.spot = *rc::gen::arbitrary<bool>();
  spec.spread = *rc::gen::arbitrary<bool>();
  spec.one_zone = !spec.spread && *rc::gen::arbitrary<bool>();
  if (*rc::gen::inRange(0, 4) == 0) spec.types = {"gpu"};
  if (*rc::gen::inRange(0, 6) == 0) spec.zone = "b";
  return spec;
}

PlacementConstraints any_constraints(double cpu_per_gpu) {
  PlacementConstraints constraints;
  constraints.cpu_per_gpu = cpu_per_gpu;
  constraints.may_strand_gpus = *rc::gen::arbitrary<bool>();
  constraints.spot_only = *rc::gen::inRange(0, 4) == 0;
  constraints.headroom = {static_cast<double>(*rc::gen::element(0, 3, 8, 20, 200)),
                          static_cast<double>(*rc::gen::element(1, 2, 4))};
  return constraints;
}

ptrdiff_t place_by_linear_search(const store::JobSpec& spec, const ZoneCounts& zones,
                                 std::vector<Slot>& slots,
                                 const PlacementConstraints& constraints) {
  const Slot* slot = select_slot(spec, zones, slots, constraints);
  return slot ? slot - slots.data() : -1;
}

RC_GTEST_PROP(SlotIndex, GivesThePlaceThatASearchOverAllSlotsGives, ()) {
  const double cpu_per_gpu = *rc::gen::element(0.0, 4.0, 5.0);
  SlotIndex index;
  index.reset(cpu_per_gpu);
  std::vector<Slot> slots;
  const auto add = [&] {
    slots.push_back(any_slot());
    index.add(slots.back());
  };
  const int machines = *rc::gen::inRange(0, 25);
  for (int i = 0; i < machines; ++i) add();
  const int jobs = *rc::gen::inRange(1, 12);
  for (int job = 0; job < jobs; ++job) {
    const auto spec = any_spec();
    const auto constraints = any_constraints(cpu_per_gpu);
    ZoneCounts zones;
    const size_t changes_before = index.changes();
    const auto slots_before = slots;
    for (uint32_t task = 0; task < spec.tasks; ++task) {
      const ptrdiff_t expected = place_by_linear_search(spec, zones, slots, constraints);
      const auto found = index.select_slot(spec, zones, constraints);
      RC_ASSERT((found ? static_cast<ptrdiff_t>(*found) : -1) == expected);
      if (!found) break;
      Slot& slot = slots[*found];
      slot.free.add(spec.per_task, -1);
      slot.empty = false;
      index.place_task(*found, spec.per_task);
      ++zones[*slot.zone];
    }
    if (*rc::gen::inRange(0, 3) == 0) {
      index.undo_to(changes_before);
      slots = slots_before;
    }
    if (*rc::gen::inRange(0, 3) == 0) add();
  }
}

// The slot has two free GPUs and 9 free CPUs. The headroom keeps both GPUs and the 8 CPUs that
// their task takes for work that can't use spot machines, so a task without GPUs can take one CPU
// only.
TEST(SlotIndex, TheReserveKeepsWorkWithoutGpusAway) {
  const auto& gpu = types()[2];
  Slot slot{"", &gpu, &gpu.zones[0], false, {9, 2, 100}};
  SlotIndex index;
  index.reset(4);
  index.add(slot);
  PlacementConstraints constraints;
  constraints.cpu_per_gpu = 4;
  constraints.may_strand_gpus = true;
  constraints.headroom = {2, 2};
  store::JobSpec spec;
  spec.per_task = {2, 0, 1};
  EXPECT_FALSE(index.select_slot(spec, {}, constraints));
  spec.per_task.cpus = 1;
  EXPECT_TRUE(index.select_slot(spec, {}, constraints));
  constraints.headroom.gpus = 0;
  spec.per_task.cpus = 2;
  EXPECT_TRUE(index.select_slot(spec, {}, constraints));
}

// Returns how many groups and slots the index visits while it places eight tasks per machine, of
// four shapes in turn; no task fits any more once the machines are full.
uint64_t visits_to_fill(size_t machines, double headroom_gpus) {
  SlotIndex index;
  index.reset(4);
  for (size_t i = 0; i < machines; ++i) {
    const auto& type = types()[i % types().size()];
    index.add({"", &type, &type.zones[i % 2], false, type.size});
  }
  const std::vector<store::Resources> shapes = {{2, 0, 5}, {4, 1, 25}, {8, 2, 50}, {3, 0, 10}};
  for (size_t task = 0; task < 8 * machines; ++task) {
    store::JobSpec spec;
    spec.per_task = shapes[task % shapes.size()];
    PlacementConstraints constraints;
    constraints.cpu_per_gpu = 4;
    constraints.headroom.gpus = headroom_gpus;
    if (const auto slot_number = index.select_slot(spec, {}, constraints))
      index.place_task(*slot_number, spec.per_task);
  }
  return index.visits();
}

// Guards against a search over all machines for each task, which took the leader of a cluster of
// 4,000 machines more than its share of a core.
TEST(SlotIndex, TheWorkOfAPlanGrowsWithItsTasks) {
  constexpr size_t kFew = 500;
  constexpr uint64_t kGrowth = 8;
  EXPECT_LE(visits_to_fill(kFew * kGrowth, 0), visits_to_fill(kFew, 0) * kGrowth * 3 / 2);
  // The headroom is constant, grows with the fleet, or exceeds the fleet's capacity.
  EXPECT_LE(visits_to_fill(kFew * kGrowth, 20), visits_to_fill(kFew, 20) * kGrowth * 3 / 2);
  EXPECT_LE(visits_to_fill(kFew * kGrowth, kFew * kGrowth),
            visits_to_fill(kFew, kFew) * kGrowth * 3 / 2);
  EXPECT_LE(visits_to_fill(kFew * kGrowth, 1e6), visits_to_fill(kFew, 1e6) * kGrowth * 3 / 2);
}

}  // namespace
}  // namespace rushtrestle::testing
