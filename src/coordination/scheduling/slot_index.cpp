#include "coordination/scheduling/slot_index.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

using store::JobSpec;
using store::Resources;

void SlotIndex::reset(double cpu_per_gpu) {
  cpu_per_gpu_ = cpu_per_gpu;
  slots_.clear();
  groups_.clear();
  by_usable_gpus_.clear();
  changes_.clear();
  headroom_assignment_ = {};
}

SlotIndex::GroupKey SlotIndex::key_of(const Slot& slot) {
  return {slot.type, slot.zone, slot.spot, slot.empty, slot.has_non_preemptible, slot.free.gpus};
}

void SlotIndex::insert(SlotNumber slot_number) {
  const Slot& slot = slots_[slot_number];
  Group& group = groups_[key_of(slot)];
  group.by_cpus.emplace(slot.free.cpus, slot_number);
  group.slot_numbers.insert(slot_number);
  if (slot.spot || slot.free.gpus <= 0) return;
  UsableGpuGroup& usable = by_usable_gpus_[usable_gpus(slot.free, cpu_per_gpu_)];
  usable.slot_numbers.insert(slot_number);
  ++usable.by_gpus[slot.free.gpus];
  headroom_assignment_.valid = false;
}

void SlotIndex::erase(SlotNumber slot_number) {
  const Slot& slot = slots_[slot_number];
  const auto group = groups_.find(key_of(slot));
  group->second.by_cpus.erase({slot.free.cpus, slot_number});
  group->second.slot_numbers.erase(slot_number);
  if (group->second.slot_numbers.empty()) groups_.erase(group);
  if (slot.spot || slot.free.gpus <= 0) return;
  const auto usable = by_usable_gpus_.find(usable_gpus(slot.free, cpu_per_gpu_));
  usable->second.slot_numbers.erase(slot_number);
  --usable->second.by_gpus[slot.free.gpus];
  if (usable->second.slot_numbers.empty()) by_usable_gpus_.erase(usable);
  headroom_assignment_.valid = false;
}

SlotIndex::SlotNumber SlotIndex::add(const Slot& slot) {
  const SlotNumber slot_number = slots_.size();
  slots_.push_back(slot);
  insert(slot_number);
  changes_.push_back({slot_number, true});
  return slot_number;
}

void SlotIndex::place_task(SlotNumber slot_number, const Resources& room) {
  Slot& slot = slots_[slot_number];
  changes_.push_back({slot_number, false, slot.free, slot.empty});
  erase(slot_number);
  slot.free.add(room, -1);
  slot.empty = false;
  insert(slot_number);
}

void SlotIndex::undo_to(size_t changes) {
  while (changes_.size() > changes) {
    const Change& last = changes_.back();
    erase(last.slot_number);
    if (last.added) {
      slots_.pop_back();
    } else {
      slots_[last.slot_number].free = last.free_before;
      slots_[last.slot_number].empty = last.empty_before;
      insert(last.slot_number);
    }
    changes_.pop_back();
  }
}

// Assigns the headroom to the same slots as the function `select_slot` does: those with the most
// usable GPUs, so that the headroom exists or comes to exist as work ends. Slots with equally many
// usable GPUs keep equally many free, so they are counted without a visit to each, except the last
// ones.
void SlotIndex::assign_headroom(const CapacityHeadroom& headroom) {
  const bool same = headroom_assignment_.headroom.gpus == headroom.gpus &&
                    headroom_assignment_.headroom.gpus_per_task == headroom.gpus_per_task;
  if (headroom_assignment_.valid && same) return;
  headroom_assignment_ = {true, headroom, -1, 0, {}};
  const double chunk_gpus = std::max(1.0, headroom.gpus_per_task);
  double left = headroom.gpus;
  for (auto group = by_usable_gpus_.cbegin(); left > 0 && group != by_usable_gpus_.cend();
       ++group) {
    ++visits_;
    const double usable = group->first;
    const double gpus_per_slot = std::max(chunk_gpus, std::floor(usable / chunk_gpus) * chunk_gpus);
    size_t count = 0;
    for (const auto& [gpus, slots] : group->second.by_gpus)
      if (gpus + Resources::kSlack >= chunk_gpus) count += slots;
    const double group_gpus = gpus_per_slot * static_cast<double>(count);
    if (left < group_gpus + usable) return assign_last_headroom(headroom, left, group);
    left -= group_gpus;
  }
}

void SlotIndex::assign_last_headroom(
    const CapacityHeadroom& headroom, double left,
    std::map<double, UsableGpuGroup, std::greater<>>::const_iterator group) {
  const double usable = headroom_assignment_.last_usable = group->first;
  const double chunk_gpus = std::max(1.0, headroom.gpus_per_task);
  auto slot_number = group->second.slot_numbers.begin();
  // If each slot of the group has room for at least one chunk, the slots that keep as many GPUs
  // free as they can are counted without a visit to each.
  if (usable >= chunk_gpus && left >= usable) {
    const double gpus_per_slot = std::floor(usable / chunk_gpus) * chunk_gpus;
    const auto full_slots = std::min(group->second.slot_numbers.size(),
                                     static_cast<size_t>((left - usable) / gpus_per_slot) + 1);
    headroom_assignment_.end = *group->second.slot_numbers.find_by_order(full_slots - 1) + 1;
    left -= gpus_per_slot * static_cast<double>(full_slots);
    slot_number = group->second.slot_numbers.find_by_order(full_slots);
  }
  while (left > 0) {
    for (; left > 0 && slot_number != group->second.slot_numbers.end(); ++slot_number) {
      ++visits_;
      const auto kept_gpus = headroom_gpus_on(slots_[*slot_number], left, headroom, cpu_per_gpu_);
      if (!kept_gpus) continue;
      headroom_assignment_.partial[*slot_number] = *kept_gpus;
      left -= *kept_gpus;
    }
    if (left <= 0 || ++group == by_usable_gpus_.cend()) return;
    slot_number = group->second.slot_numbers.begin();
  }
}

double SlotIndex::headroom_on(SlotNumber slot_number) const {
  const Slot& slot = slots_[slot_number];
  if (const auto partial = headroom_assignment_.partial.find(slot_number);
      partial != headroom_assignment_.partial.end())
    return partial->second;
  const double usable = usable_gpus(slot.free, cpu_per_gpu_);
  const bool full =
      usable > headroom_assignment_.last_usable ||
      (usable == headroom_assignment_.last_usable && slot_number < headroom_assignment_.end);
  return full ? headroom_gpus_on(slot, usable, headroom_assignment_.headroom, cpu_per_gpu_)
                    .value_or(0)
              : 0;
}

bool SlotIndex::keeps_headroom(SlotNumber slot_number, const JobSpec& spec) const {
  const double kept_gpus = headroom_on(slot_number);
  if (kept_gpus <= 0) return true;
  Resources after = slots_[slot_number].free;
  after.add(spec.per_task, -1);
  return usable_gpus(after, cpu_per_gpu_) + Resources::kSlack >= kept_gpus;
}

std::optional<SlotIndex::SlotNumber> SlotIndex::best_with_gpus(const Group& group,
                                                               const JobSpec& spec,
                                                               bool headroom_applies) const {
  const double most_cpus = group.by_cpus.rbegin()->first;
  if (most_cpus + Resources::kSlack < spec.per_task.cpus) return std::nullopt;
  for (const SlotNumber slot_number : group.slot_numbers) {
    ++visits_;
    if (spec.per_task.fits(slots_[slot_number].free) &&
        (!headroom_applies || keeps_headroom(slot_number, spec)))
      return slot_number;
  }
  return std::nullopt;
}

std::optional<SlotIndex::SlotNumber> SlotIndex::best_without_gpus(const Group& group,
                                                                  const JobSpec& spec,
                                                                  double min_cpus,
                                                                  bool headroom_applies) const {
  const double from = min_cpus - 2 * Resources::kSlack;  // The loop checks exact fits.
  for (auto it = group.by_cpus.lower_bound({from, 0}); it != group.by_cpus.end(); ++it) {
    ++visits_;
    const Slot& slot = slots_[it->second];
    if (slot.free.cpus + Resources::kSlack < min_cpus || !spec.per_task.fits(slot.free)) continue;
    if (!headroom_applies || keeps_headroom(it->second, spec)) return it->second;
  }
  return std::nullopt;
}

std::optional<SlotIndex::SlotNumber> SlotIndex::select_slot(
    const JobSpec& spec, const ZoneCounts& placed, const PlacementConstraints& constraints) {
  const bool headroom_applies =
      constraints.headroom.gpus > 0 && (spec.per_task.gpus == 0 || spec.spot);
  if (headroom_applies) assign_headroom(constraints.headroom);
  std::optional<SlotNumber> best;
  double best_score = 0;
  for (const auto& [key, group] : groups_) {
    ++visits_;
    const auto& [type, zone, spot, empty, has_non_preemptible, gpus] = key;
    if (spec.per_task.gpus > gpus + Resources::kSlack || !spot_allowed(spec, spot) ||
        (constraints.spot_only && !spot) ||
        (constraints.best_effort_capacity_only && !spot && !has_non_preemptible) ||
        !type_allowed(spec, type->name) || !zone_allowed(spec, *zone, placed))
      continue;
    const bool keeps_gpus =
        !constraints.may_strand_gpus && spec.per_task.gpus == 0 && type->size.gpus > 0;
    const double min_cpus = spec.per_task.cpus + (keeps_gpus ? gpus * cpu_per_gpu_ : 0);
    const bool by_gpus = type->size.gpus > 0 && spec.per_task.gpus > 0;
    const auto slot_number = by_gpus ? best_with_gpus(group, spec, headroom_applies)
                                     : best_without_gpus(group, spec, min_cpus, headroom_applies);
    if (!slot_number) continue;
    const double score = placement_score(spec, slots_[*slot_number]);
    if (best && (score > best_score || (score == best_score && *slot_number > *best))) continue;
    best = slot_number;
    best_score = score;
  }
  return best;
}

}  // namespace rushtrestle::coordination
