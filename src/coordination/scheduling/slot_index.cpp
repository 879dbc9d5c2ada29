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
  return {slot.type, slot.zone, slot.spot, slot.empty, slot.pinned, slot.free.gpus};
}

void SlotIndex::insert(Place place) {
  const Slot& slot = slots_[place];
  Group& group = groups_[key_of(slot)];
  group.by_cpus.emplace(slot.free.cpus, place);
  group.places.insert(place);
  if (slot.spot || slot.free.gpus <= 0) return;
  UsableGpuGroup& usable = by_usable_gpus_[usable_gpus(slot.free, cpu_per_gpu_)];
  usable.places.insert(place);
  ++usable.by_gpus[slot.free.gpus];
  headroom_assignment_.valid = false;
}

void SlotIndex::erase(Place place) {
  const Slot& slot = slots_[place];
  const auto group = groups_.find(key_of(slot));
  group->second.by_cpus.erase({slot.free.cpus, place});
  group->second.places.erase(place);
  if (group->second.places.empty()) groups_.erase(group);
  if (slot.spot || slot.free.gpus <= 0) return;
  const auto usable = by_usable_gpus_.find(usable_gpus(slot.free, cpu_per_gpu_));
  usable->second.places.erase(place);
  --usable->second.by_gpus[slot.free.gpus];
  if (usable->second.places.empty()) by_usable_gpus_.erase(usable);
  headroom_assignment_.valid = false;
}

SlotIndex::Place SlotIndex::add(const Slot& slot) {
  const Place place = slots_.size();
  slots_.push_back(slot);
  insert(place);
  changes_.push_back({place, true});
  return place;
}

void SlotIndex::take(Place place, const Resources& room) {
  Slot& slot = slots_[place];
  changes_.push_back({place, false, slot.free, slot.empty});
  erase(place);
  slot.free.add(room, -1);
  slot.empty = false;
  insert(place);
}

void SlotIndex::undo_to(size_t changes) {
  while (changes_.size() > changes) {
    const Change& last = changes_.back();
    erase(last.place);
    if (last.added) {
      slots_.pop_back();
    } else {
      slots_[last.place].free = last.free_before;
      slots_[last.place].empty = last.empty_before;
      insert(last.place);
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
  auto place = group->second.places.begin();
  // If each slot of the group has room for at least one chunk, the slots that keep as many GPUs
  // free as they can are counted without a visit to each.
  if (usable >= chunk_gpus && left >= usable) {
    const double gpus_per_slot = std::floor(usable / chunk_gpus) * chunk_gpus;
    const auto full_slots = std::min(group->second.places.size(),
                                     static_cast<size_t>((left - usable) / gpus_per_slot) + 1);
    headroom_assignment_.end = *group->second.places.find_by_order(full_slots - 1) + 1;
    left -= gpus_per_slot * static_cast<double>(full_slots);
    place = group->second.places.find_by_order(full_slots);
  }
  while (left > 0) {
    for (; left > 0 && place != group->second.places.end(); ++place) {
      ++visits_;
      const auto kept_gpus = headroom_gpus_on(slots_[*place], left, headroom, cpu_per_gpu_);
      if (!kept_gpus) continue;
      headroom_assignment_.partial[*place] = *kept_gpus;
      left -= *kept_gpus;
    }
    if (left <= 0 || ++group == by_usable_gpus_.cend()) return;
    place = group->second.places.begin();
  }
}

double SlotIndex::headroom_on(Place place) const {
  const Slot& slot = slots_[place];
  if (const auto partial = headroom_assignment_.partial.find(place);
      partial != headroom_assignment_.partial.end())
    return partial->second;
  const double usable = usable_gpus(slot.free, cpu_per_gpu_);
  const bool full =
      usable > headroom_assignment_.last_usable ||
      (usable == headroom_assignment_.last_usable && place < headroom_assignment_.end);
  return full ? headroom_gpus_on(slot, usable, headroom_assignment_.headroom, cpu_per_gpu_)
                    .value_or(0)
              : 0;
}

bool SlotIndex::keeps_headroom(Place place, const JobSpec& spec) const {
  const double kept_gpus = headroom_on(place);
  if (kept_gpus <= 0) return true;
  Resources after = slots_[place].free;
  after.add(spec.per_task, -1);
  return usable_gpus(after, cpu_per_gpu_) + Resources::kSlack >= kept_gpus;
}

std::optional<SlotIndex::Place> SlotIndex::best_with_gpus(const Group& group, const JobSpec& spec,
                                                          bool headroom_applies) const {
  const double most_cpus = group.by_cpus.rbegin()->first;
  if (most_cpus + Resources::kSlack < spec.per_task.cpus) return std::nullopt;
  for (const Place place : group.places) {
    ++visits_;
    if (spec.per_task.fits(slots_[place].free) &&
        (!headroom_applies || keeps_headroom(place, spec)))
      return place;
  }
  return std::nullopt;
}

std::optional<SlotIndex::Place> SlotIndex::best_without_gpus(const Group& group,
                                                             const JobSpec& spec, double min_cpus,
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

std::optional<SlotIndex::Place> SlotIndex::select_slot(const JobSpec& spec,
                                                       const ZoneCounts& placed, const Fit& fit) {
  const bool headroom_applies = fit.reserve.gpus > 0 && (spec.per_task.gpus == 0 || spec.spot);
  if (headroom_applies) assign_headroom(fit.reserve);
  std::optional<Place> best;
  double best_score = 0;
  for (const auto& [key, group] : groups_) {
    ++visits_;
    const auto& [type, zone, spot, empty, pinned, gpus] = key;
    if (spec.per_task.gpus > gpus + Resources::kSlack || !kind_allowed(spec, spot) ||
        (fit.spot_only && !spot) || (fit.idle_room_only && !spot && !pinned) ||
        !type_allowed(spec, type->name) || !zone_allowed(spec, *zone, placed))
      continue;
    const bool keeps_gpus = !fit.strand_gpus && spec.per_task.gpus == 0 && type->size.gpus > 0;
    const double min_cpus = spec.per_task.cpus + (keeps_gpus ? gpus * cpu_per_gpu_ : 0);
    const bool by_gpus = type->size.gpus > 0 && spec.per_task.gpus > 0;
    const auto place = by_gpus ? best_with_gpus(group, spec, headroom_applies)
                               : best_without_gpus(group, spec, min_cpus, headroom_applies);
    if (!place) continue;
    const double score = placement_score(spec, slots_[*place]);
    if (best && (score > best_score || (score == best_score && *place > *best))) continue;
    best = place;
    best_score = score;
  }
  return best;
}

}  // namespace rushtrestle::coordination
