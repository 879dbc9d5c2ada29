// Selects machines for tasks on a snapshot of the machines' free resources (a list of slots). Shard
// leaders use it to place tasks, the cluster leader to plan capacity. Changing a snapshot changes
// nothing else.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/records.h"

namespace rushtrestle::coordination {

/// Tracks which images each machine has cached, as far as the placements seen tell: the most
/// recently used images, up to the size of the machine's cache.
class ImageCaches {
 public:
  // Image names are long, and a search compares the image for every machine.
  using ImageId = uint32_t;
  struct Cached {
    ImageId image;
    double gb;
  };
  using Cache = std::vector<Cached>;  // Starts with the least recently used image.

  /// Records that a task on the machine uses the image, and evicts the least recently used images
  /// that no longer fit into `cache_gb`.
  void record_use(const std::string& machine, const std::string& image, double gb, double cache_gb);
  bool has(const std::string& machine, const std::string& image) const;
  /// Returns null if no image is known to be on the machine. The pointer is valid until `forget` is
  /// called for the machine.
  const Cache* cache_of(const std::string& machine) const;
  std::optional<ImageId> id(const std::string& image) const;
  void forget(const std::string& machine) { machines_.erase(machine); }

 private:
  std::unordered_map<std::string, ImageId> ids_;
  std::unordered_map<std::string, Cache> machines_;
};

/// A machine with its free resources, as a placement search sees it.
struct Slot {
  std::string machine;
  const store::MachineType* type = nullptr;
  const std::string* zone = nullptr;
  bool spot = false;
  store::Resources free;
  bool empty = true;                 // No task is placed on the machine.
  bool has_non_preemptible = false;  // The machine holds work that may not be preempted.
  const ImageCaches::Cache* images = nullptr;
  double headroom_gpus = 0;  // GPUs kept free for the headroom; set by `select_slot`.
};

/// Returns the type's own copy of the zone's name, so that slots of one type and zone share a
/// pointer and `select_slot` checks each pointer once. Returns `&zone` if the type doesn't list the
/// zone.
const std::string* shared_zone(const store::MachineType& type, const std::string& zone);

/// Number of tasks of one job in each zone, including those already placed on machines.
using ZoneCounts = std::map<std::string, uint32_t>;

/// GPU capacity on on-demand machines that is kept free for work that can't use spot machines.
struct CapacityHeadroom {
  double gpus = 0;           // GPUs to keep free in total.
  double gpus_per_task = 1;  // The GPUs are kept free in chunks of this size.
};

/// Adds waiting or expected tasks to the headroom, if they need GPUs and can't use spot machines.
void add_to_headroom(CapacityHeadroom& headroom, const store::JobSpec& spec, double tasks);

/// Constraints of one placement search beside those in the job's description.
struct PlacementConstraints {
  /// CPUs that tasks with GPUs take for each GPU; as many are kept free for each free GPU.
  double cpu_per_gpu = 0;
  const ImageCaches* images = nullptr;
  const std::set<std::string>* avoid = nullptr;  // Machines on which tasks of this job failed.
  const std::set<std::string>* reserved_for_others = nullptr;  // Machines kept for another job.
  /// Tasks without GPUs may take the CPUs that free GPUs need.
  bool may_strand_gpus = false;
  /// Restricts jobs without GPUs and jobs that may use spot machines.
  CapacityHeadroom headroom = {};
  /// Set for jobs that can wait, so that they leave on-demand machines to jobs that need them.
  bool spot_only = false;
  /// Allows only spot machines and machines that hold work that may not be preempted.
  bool best_effort_capacity_only = false;
  /// Seconds after its submission by which the job should run by its objective; 0: it has no such
  /// objective, or has missed it.
  double start_within_s = 0;
};

bool type_allowed(const store::JobSpec& spec, const std::string& type);
/// Returns whether one more task of the job may go to this zone, given those already placed.
bool zone_allowed(const store::JobSpec& spec, const std::string& zone, const ZoneCounts& placed);
/// Returns whether the job may use spot machines (`spot`) or on-demand machines; the latter always.
bool spot_allowed(const store::JobSpec& spec, bool spot);

/// Returns a key of the resources that a task takes and of where it may run. Tasks with the same
/// key fit on the same machines.
std::string placement_shape(const store::JobSpec& spec);
/// Returns what the placed tasks add to the `placement_shape` key, for jobs that are bound to one
/// zone or spread over zones.
std::string zones_shape(const ZoneCounts& placed);

/// Returns the seconds after its submission by which a job should be done: its deadline, its
/// class's tightest objective or, with neither, three times its estimated run time.
double due_after_s(const store::JobSpec& spec, const store::Settings& settings);

/// Returns the seconds after its submission by which a job's tasks should run, by the tightest
/// objective; 0: no objective limits it.
double start_within_s(const store::JobSpec& spec, const store::Settings& settings);

/// Returns whether a job that may use spot machines can still wait for one. It can until half of
/// its slack is over: the time that its deadline (or its class's objective) leaves beside its run.
/// `wall` is the time of day in seconds.
bool can_wait_for_spot(const store::JobRecord& r, const store::Settings& settings, double wall);

/// Returns how many of the free GPUs can be used by tasks that take `cpu_per_gpu` CPUs for each.
double usable_gpus(const store::Resources& free, double cpu_per_gpu);

/// Returns how many GPUs the slot keeps free for a headroom of which `left` GPUs are not assigned
/// to slots yet; none: it is a spot machine or has no room for one chunk.
std::optional<double> headroom_gpus_on(const Slot& slot, double left,
                                       const CapacityHeadroom& headroom, double cpu_per_gpu);

/// Returns the cost of placing a task on a slot where it fits, without that of image fetches; the
/// lowest cost is best. Jobs that may use spot machines leave the other machines free. Next, the
/// fullest machine is preferred, so that the emptiest can be scaled in.
double placement_score(const store::JobSpec& spec, const Slot& slot);

/// Returns the best slot for one more task of the job, or null if it fits nowhere.
Slot* select_slot(const store::JobSpec& spec, const ZoneCounts& placed, std::vector<Slot>& slots,
                  const PlacementConstraints& constraints);

/// Places `tasks` tasks on as few machines as possible. Returns the machine and the resources for
/// each task, or an empty list if the tasks don't all fit. Ignores the rule to spread over zones.
std::vector<std::pair<std::string, store::Resources>> bin_pack(const store::JobSpec& spec,
                                                               uint32_t tasks,
                                                               const std::vector<Slot>& slots,
                                                               const std::set<std::string>& avoid);

/// Returns how many tasks of the job fit on an empty machine of this type.
int capacity_for(const store::JobSpec& spec, const store::MachineType& type);

}  // namespace rushtrestle::coordination
