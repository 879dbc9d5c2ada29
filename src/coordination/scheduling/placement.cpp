#include "coordination/scheduling/placement.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

using store::JobSpec;

namespace {
constexpr double kUnlimitedTasks = 1e9;  // Tasks on a machine if a task takes no resources.
}  // namespace

void ImageCaches::record_use(const std::string& machine, const std::string& image, double gb,
                             double cache_gb) {
  auto& cache = machines_[machine];
  const ImageId id = ids_.emplace(image, static_cast<ImageId>(ids_.size())).first->second;
  const auto it = std::find_if(cache.begin(), cache.end(),
                               [&](const Cached& cached) { return cached.image == id; });
  if (it != cache.end()) {
    std::rotate(it, it + 1, cache.end());
    return;
  }
  double total = gb;
  for (const auto& cached : cache) total += cached.gb;
  while (!cache.empty() && total > cache_gb) {
    total -= cache.front().gb;
    cache.erase(cache.begin());
  }
  cache.push_back({id, gb});
}

const ImageCaches::Cache* ImageCaches::cache_of(const std::string& machine) const {
  const auto it = machines_.find(machine);
  return it == machines_.end() ? nullptr : &it->second;
}

std::optional<ImageCaches::ImageId> ImageCaches::id(const std::string& image) const {
  const auto it = ids_.find(image);
  return it == ids_.end() ? std::nullopt : std::optional(it->second);
}

namespace {
bool holds(const ImageCaches::Cache* cache, std::optional<ImageCaches::ImageId> image) {
  return cache && image && std::any_of(cache->begin(), cache->end(), [&](const auto& cached) {
           return cached.image == *image;
         });
}
}  // namespace

bool ImageCaches::has(const std::string& machine, const std::string& image) const {
  return holds(cache_of(machine), id(image));
}

void add_to_headroom(CapacityHeadroom& headroom, const JobSpec& spec, double tasks) {
  if (spec.per_task.gpus <= 0 || spec.spot) return;
  headroom.gpus += spec.per_task.gpus * tasks;
  headroom.gpus_per_task = std::max(headroom.gpus_per_task, spec.per_task.gpus);
}

bool type_allowed(const JobSpec& spec, const std::string& type) {
  return !spec.types ||
         std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

bool zone_allowed(const JobSpec& spec, const std::string& zone, const ZoneCounts& placed) {
  if (spec.zone && *spec.zone != zone) return false;
  if (spec.one_zone)
    for (const auto& [other_zone, tasks] : placed)
      if (tasks > 0 && other_zone != zone) return false;
  if (spec.spread) {
    const auto it = placed.find(zone);
    if ((it == placed.end() ? 0 : it->second) + 1 > (spec.tasks + 1) / 2) return false;
  }
  return true;
}

bool spot_allowed(const JobSpec& spec, bool spot) { return !spot || spec.spot; }

std::string placement_shape(const JobSpec& spec) {
  std::string shape = std::to_string(spec.per_task.cpus) + "|" +
                      std::to_string(spec.per_task.gpus) + "|" +
                      std::to_string(spec.per_task.memory_gb) + "|" + (spec.spot ? "s" : "") +
                      (spec.spread ? "h" + std::to_string((spec.tasks + 1) / 2) : "") +
                      (spec.one_zone ? "z" : "") + spec.zone.value_or("");
  if (spec.types)
    for (const auto& type : *spec.types) shape += "|" + type;
  return shape;
}

std::string zones_shape(const ZoneCounts& placed) {
  std::string shape;
  for (const auto& [zone, tasks] : placed) shape += "|" + zone + std::to_string(tasks);
  return shape;
}

int capacity_for(const JobSpec& spec, const store::MachineType& type) {
  double tasks = kUnlimitedTasks;
  const auto limit = [&](double size, double per_task) {
    if (per_task > 0)
      tasks = std::min(tasks, std::floor(size / per_task + store::Resources::kSlack));
  };
  limit(type.size.cpus, spec.per_task.cpus);
  limit(type.size.gpus, spec.per_task.gpus);
  limit(type.size.memory_gb, spec.per_task.memory_gb);
  return static_cast<int>(tasks);
}

double due_after_s(const JobSpec& spec, const store::Settings& settings) {
  if (spec.deadline_s) return *spec.deadline_s;
  double due = 0;
  for (const auto& objective : settings.objectives)
    if (objective.job_class == spec.job_class && objective.within_s > 0 && objective.kind != "wait")
      due = due > 0 ? std::min(due, objective.within_s) : objective.within_s;
  return due > 0 ? due : 3 * spec.estimate_s;
}

double start_within_s(const JobSpec& spec, const store::Settings& settings) {
  double within = 0;
  for (const auto& objective : settings.objectives)
    if (objective.within_s > 0 &&
        ((objective.kind == "wait" && objective.job_class == spec.job_class) ||
         objective.kind == "guarantee"))
      within = within > 0 ? std::min(within, objective.within_s) : objective.within_s;
  return within;
}

bool can_wait_for_spot(const store::JobRecord& record, const store::Settings& settings,
                       double wall) {
  if (!record.spec.spot) return false;
  // Users' estimates of run times are often wrong by half.
  const double longest_run_s = 1.5 * record.spec.estimate_s;
  return wall < record.submitted + (due_after_s(record.spec, settings) - longest_run_s) / 2;
}

double usable_gpus(const store::Resources& free, double cpu_per_gpu) {
  return cpu_per_gpu > 0 ? std::min(free.gpus, free.cpus / cpu_per_gpu) : free.gpus;
}

std::optional<double> headroom_gpus_on(const Slot& slot, double left,
                                       const CapacityHeadroom& headroom, double cpu_per_gpu) {
  const double chunk_gpus = std::max(1.0, headroom.gpus_per_task);
  if (slot.spot || slot.free.gpus + store::Resources::kSlack < chunk_gpus) return std::nullopt;
  return std::max(
      chunk_gpus,
      std::floor(std::min(left, usable_gpus(slot.free, cpu_per_gpu)) / chunk_gpus) * chunk_gpus);
}

double placement_score(const JobSpec& spec, const Slot& slot) {
  const auto& size = slot.type->size;
  double score = spec.spot && !slot.spot ? 30 : 0;
  const double free_share = size.gpus > 0 && spec.per_task.gpus > 0 ? slot.free.gpus / size.gpus
                            : size.cpus > 0                         ? slot.free.cpus / size.cpus
                                                                    : 0;
  score += 3 * free_share;
  if (slot.empty) score += 3;
  // Short work stays apart from work that may not be preempted, so that whole machines can be
  // reassigned.
  if (spec.spot && !slot.spot && slot.has_non_preemptible) score += 10;
  if (!spec.spot && !slot.has_non_preemptible) score += 2;
  return score;
}

namespace {
/// Sets the GPUs that each slot keeps free, so that the headroom exists or, where there is too
/// little room, comes to exist as work ends. The headroom is assigned to the few machines with the
/// most usable GPUs: spread over all machines it would never have room for a large task.
void assign_headroom(std::vector<Slot>& slots, const PlacementConstraints& constraints) {
  std::vector<std::pair<double, Slot*>> candidates;
  for (auto& slot : slots) {
    slot.headroom_gpus = 0;
    if (headroom_gpus_on(slot, 0, constraints.headroom, constraints.cpu_per_gpu))
      candidates.emplace_back(usable_gpus(slot.free, constraints.cpu_per_gpu), &slot);
  }
  // The headroom takes few of many machines, so a heap is cheaper than sorting all of them.
  // Machines with equally many usable GPUs are taken in the order of the slots.
  const auto lower_priority = [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second > b.second;
  };
  std::make_heap(candidates.begin(), candidates.end(), lower_priority);
  double left = constraints.headroom.gpus;
  for (auto end = candidates.end(); left > 0 && end != candidates.begin(); --end) {
    std::pop_heap(candidates.begin(), end, lower_priority);
    Slot* slot = (end - 1)->second;
    slot->headroom_gpus =
        headroom_gpus_on(*slot, left, constraints.headroom, constraints.cpu_per_gpu).value_or(0);
    left -= slot->headroom_gpus;
  }
}

/// Remembers, for one call of `select_slot`, whether each type or zone is allowed: there are few
/// types and zones, but many machines.
class AllowedCache {
 public:
  template <class Check>
  bool operator()(const void* key, Check check) {
    for (const auto& [known_key, allowed] : known_)
      if (known_key == key) return allowed;
    known_.emplace_back(key, check());
    return known_.back().second;
  }

 private:
  std::vector<std::pair<const void*, bool>> known_;
};

// Returns whether a task without GPUs would take CPUs that the slot's free GPUs need: without them,
// no task could use these GPUs.
bool strands_gpus(const JobSpec& spec, const Slot& slot, double cpu_per_gpu) {
  return spec.per_task.gpus == 0 && slot.type->size.gpus > 0 &&
         slot.free.cpus - spec.per_task.cpus + store::Resources::kSlack <
             slot.free.gpus * cpu_per_gpu;
}

// Returns whether the slot still has the GPUs that it keeps free for the headroom, and the CPUs for
// them, once the task is placed there.
bool keeps_headroom(const JobSpec& spec, const Slot& slot, double cpu_per_gpu) {
  if (slot.headroom_gpus <= 0) return true;
  store::Resources after = slot.free;
  after.add(spec.per_task, -1);
  return usable_gpus(after, cpu_per_gpu) + store::Resources::kSlack >= slot.headroom_gpus;
}

// Returns the score of a slot whose machine has to fetch the image first. The fetch time in seconds
// is added to the score, as fetches dominate the time to start.
double add_fetch_cost(double score, const JobSpec& spec, const Slot& slot, double start_within_s) {
  constexpr double kMinFetchRate = 0.01;  // GB/s
  constexpr double kLateStartPenalty = 20;
  const double fetch_s = spec.image_gb / std::max(kMinFetchRate, slot.type->fetch_gb_per_s);
  score += fetch_s;
  // The other half of the time goes into accepting the job and writing its record: a fetch that
  // takes longer than half makes the start late, which no better packing is worth.
  if (start_within_s > 0 && fetch_s > start_within_s / 2) score += kLateStartPenalty;
  return score;
}
}  // namespace

const std::string* shared_zone(const store::MachineType& type, const std::string& zone) {
  const auto it = std::find(type.zones.begin(), type.zones.end(), zone);
  return it == type.zones.end() ? &zone : &*it;
}

Slot* select_slot(const JobSpec& spec, const ZoneCounts& placed, std::vector<Slot>& slots,
                  const PlacementConstraints& constraints) {
  const bool headroom_applies =
      constraints.headroom.gpus > 0 && (spec.per_task.gpus == 0 || spec.spot);
  if (headroom_applies) assign_headroom(slots, constraints);
  AllowedCache types, zones;
  const auto image = constraints.images ? constraints.images->id(spec.image) : std::nullopt;
  Slot* best = nullptr;
  double best_score = 0;
  for (auto& slot : slots) {
    if (!spec.per_task.fits(slot.free) || !spot_allowed(spec, slot.spot) ||
        (constraints.spot_only && !slot.spot) ||
        (constraints.best_effort_capacity_only && !slot.spot && !slot.has_non_preemptible) ||
        !types(slot.type, [&] { return type_allowed(spec, slot.type->name); }) ||
        !zones(slot.zone, [&] { return zone_allowed(spec, *slot.zone, placed); }))
      continue;
    if (constraints.avoid && !constraints.avoid->empty() && constraints.avoid->count(slot.machine))
      continue;
    if (constraints.reserved_for_others && constraints.reserved_for_others->count(slot.machine))
      continue;
    if (!constraints.may_strand_gpus && strands_gpus(spec, slot, constraints.cpu_per_gpu)) continue;
    if (headroom_applies && !keeps_headroom(spec, slot, constraints.cpu_per_gpu)) continue;
    double score = placement_score(spec, slot);
    if (constraints.images && !holds(slot.images, image))
      score = add_fetch_cost(score, spec, slot, constraints.start_within_s);
    if (!best || score < best_score) {
      best = &slot;
      best_score = score;
    }
  }
  return best;
}

std::vector<std::pair<std::string, store::Resources>> bin_pack(const JobSpec& spec, uint32_t tasks,
                                                               const std::vector<Slot>& slots,
                                                               const std::set<std::string>& avoid) {
  std::vector<std::pair<uint32_t, const Slot*>> capacities;  // Tasks that fit on each slot.
  for (const auto& slot : slots) {
    const bool allowed = spot_allowed(spec, slot.spot) && type_allowed(spec, slot.type->name) &&
                         (!spec.zone || *spec.zone == *slot.zone) && !avoid.count(slot.machine);
    if (!allowed) continue;
    uint32_t capacity = 0;
    for (auto free = slot.free; capacity < tasks && spec.per_task.fits(free);
         free.add(spec.per_task, -1))
      ++capacity;
    if (capacity > 0) capacities.emplace_back(capacity, &slot);
  }
  std::stable_sort(capacities.begin(), capacities.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<std::pair<std::string, store::Resources>> room;
  for (const auto& [capacity, slot] : capacities)
    for (uint32_t i = 0; i < capacity && room.size() < tasks; ++i)
      room.emplace_back(slot->machine, spec.per_task);
  if (room.size() < tasks) room.clear();
  return room;
}

}  // namespace rushtrestle::coordination
