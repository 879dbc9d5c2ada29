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
  held_ = {};
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
  UsableGroup& usable = by_usable_gpus_[usable_gpus(slot.free, cpu_per_gpu_)];
  usable.places.insert(place);
  ++usable.by_gpus[slot.free.gpus];
  held_.known = false;
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
  held_.known = false;
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
    const ChangeMade& last = changes_.back();
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

// As `select_slot` over a list holds back: on the slots with most usable GPUs, so that the headroom
// exists or comes to exist as work ends.
// Slots with as many usable GPUs hold as much, so they are counted and not looked at, but for the
// last ones.
void SlotIndex::hold_back(const CapacityHeadroom& reserve) {
  const bool same =
      held_.reserve.gpus == reserve.gpus && held_.reserve.gpus_per_task == reserve.gpus_per_task;
  if (held_.known && same) return;
  held_ = {true, reserve, -1, 0, {}};
  const double piece = std::max(1.0, reserve.gpus_per_task);
  double left = reserve.gpus;
  for (auto group = by_usable_gpus_.cbegin(); left > 0 && group != by_usable_gpus_.cend();
       ++group) {
    ++looked_at_;
    const double usable = group->first;
    const double each = std::max(piece, std::floor(usable / piece) * piece);
    size_t count = 0;
    for (const auto& [gpus, slots] : group->second.by_gpus)
      if (gpus + Resources::kSlack >= piece) count += slots;
    const double all = each * static_cast<double>(count);
    if (left < all + usable) return hold_last(reserve, left, group);
    left -= all;
  }
}

void SlotIndex::hold_last(const CapacityHeadroom& reserve, double left,
                          std::map<double, UsableGroup, std::greater<>>::const_iterator group) {
  const double usable = held_.last_usable = group->first;
  const double piece = std::max(1.0, reserve.gpus_per_task);
  auto place = group->second.places.begin();
  // Those that hold as much as they can are counted, where each slot of the group is a place for
  // one piece.
  if (usable >= piece && left >= usable) {
    const double each = std::floor(usable / piece) * piece;
    const auto whole =
        std::min(group->second.places.size(), static_cast<size_t>((left - usable) / each) + 1);
    held_.end = *group->second.places.find_by_order(whole - 1) + 1;
    left -= each * static_cast<double>(whole);
    place = group->second.places.find_by_order(whole);
  }
  while (left > 0) {
    for (; left > 0 && place != group->second.places.end(); ++place) {
      ++looked_at_;
      const auto held = held_gpus(slots_[*place], left, reserve, cpu_per_gpu_);
      if (!held) continue;
      held_.partly[*place] = *held;
      left -= *held;
    }
    if (left <= 0 || ++group == by_usable_gpus_.cend()) return;
    place = group->second.places.begin();
  }
}

double SlotIndex::held_on(Place place) const {
  const Slot& slot = slots_[place];
  if (const auto partly = held_.partly.find(place); partly != held_.partly.end())
    return partly->second;
  const double usable = usable_gpus(slot.free, cpu_per_gpu_);
  const bool whole =
      usable > held_.last_usable || (usable == held_.last_usable && place < held_.end);
  return whole ? held_gpus(slot, usable, held_.reserve, cpu_per_gpu_).value_or(0) : 0;
}

bool SlotIndex::keeps_headroom(Place place, const JobSpec& spec) const {
  const double held = held_on(place);
  if (held <= 0) return true;
  Resources after = slots_[place].free;
  after.add(spec.per_task, -1);
  return usable_gpus(after, cpu_per_gpu_) + Resources::kSlack >= held;
}

std::optional<SlotIndex::Place> SlotIndex::best_with_gpus(const Group& group, const JobSpec& spec,
                                                          bool bound) const {
  const double most_cpus = group.by_cpus.rbegin()->first;
  if (most_cpus + Resources::kSlack < spec.per_task.cpus) return std::nullopt;
  for (const Place place : group.places) {
    ++looked_at_;
    if (spec.per_task.fits(slots_[place].free) && (!bound || keeps_headroom(place, spec)))
      return place;
  }
  return std::nullopt;
}

std::optional<SlotIndex::Place> SlotIndex::best_without_gpus(const Group& group,
                                                             const JobSpec& spec, double least_cpus,
                                                             bool bound) const {
  const double from = least_cpus - 2 * Resources::kSlack;  // what fits exactly is looked at below
  for (auto it = group.by_cpus.lower_bound({from, 0}); it != group.by_cpus.end(); ++it) {
    ++looked_at_;
    const Slot& slot = slots_[it->second];
    if (slot.free.cpus + Resources::kSlack < least_cpus || !spec.per_task.fits(slot.free)) continue;
    if (!bound || keeps_headroom(it->second, spec)) return it->second;
  }
  return std::nullopt;
}

std::optional<SlotIndex::Place> SlotIndex::select_slot(const JobSpec& spec,
                                                       const ZoneCounts& placed, const Fit& fit) {
  const bool bound = fit.reserve.gpus > 0 && (spec.per_task.gpus == 0 || spec.spot);
  if (bound) hold_back(fit.reserve);
  std::optional<Place> best;
  double best_score = 0;
  for (const auto& [key, group] : groups_) {
    ++looked_at_;
    const auto& [type, zone, spot, empty, pinned, gpus] = key;
    if (spec.per_task.gpus > gpus + Resources::kSlack || !kind_allowed(spec, spot) ||
        (fit.spot_only && !spot) || (fit.idle_room_only && !spot && !pinned) ||
        !type_allowed(spec, type->name) || !zone_allowed(spec, *zone, placed))
      continue;
    const bool keeps_gpus = !fit.strand_gpus && spec.per_task.gpus == 0 && type->size.gpus > 0;
    const double least_cpus = spec.per_task.cpus + (keeps_gpus ? gpus * cpu_per_gpu_ : 0);
    const bool by_gpus = type->size.gpus > 0 && spec.per_task.gpus > 0;
    const auto place = by_gpus ? best_with_gpus(group, spec, bound)
                               : best_without_gpus(group, spec, least_cpus, bound);
    if (!place) continue;
    const double score = placement_score(spec, slots_[*place]);
    if (best && (score > best_score || (score == best_score && *place > *best))) continue;
    best = place;
    best_score = score;
  }
  return best;
}

}  // namespace rushtrestle::coordination
