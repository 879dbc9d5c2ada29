// Where a task fits: one picture of the machines, used by shard leaders to place tasks and by the
// cluster leader to plan capacity. Changing a picture changes nothing else.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/records.h"

namespace rushtrestle::coordination {

/// Which images a machine has, as far as the placements seen tell: the most recently used ones.
class ImageCaches {
 public:
  using ImageId = uint32_t;  // names are long, and compared for every machine
  struct Cached {
    ImageId image;
    double gb;
  };
  using Cache = std::vector<Cached>;  // least recently used first

  void used(const std::string& machine, const std::string& image, double gb, double cache_gb);
  bool has(const std::string& machine, const std::string& image) const;
  /// Null: nothing is known to be there. Valid until the machine is forgotten.
  const Cache* of(const std::string& machine) const;
  std::optional<ImageId> id(const std::string& image) const;
  void forget(const std::string& machine) { machines_.erase(machine); }

 private:
  std::unordered_map<std::string, ImageId> ids_;
  std::unordered_map<std::string, Cache> machines_;
};

struct Slot {
  std::string machine;
  const store::MachineType* type = nullptr;
  const std::string* zone = nullptr;
  bool spot = false;
  store::Resources free;
  bool empty = true;    // nothing placed on it
  bool pinned = false;  // holds work that may not be preempted
  const ImageCaches::Cache* images = nullptr;
  double held_gpus = 0;  // kept back for the headroom; set by `select_slot`
};

/// The type's own copy of the zone's name, so that slots of one zone share a pointer and
/// `select_slot` compares few.
const std::string* shared_zone(const store::MachineType& type, const std::string& zone);

/// Tasks of one job by zone, those on machines included.
using ZoneCounts = std::map<std::string, uint32_t>;

/// Room with GPUs on ordinary machines that is kept for work that can run nowhere else.
struct CapacityHeadroom {
  double gpus = 0;           // to be kept
  double gpus_per_task = 1;  // in pieces of this size
};

/// Adds tasks that wait or are expected, if they need GPUs and can't use spot machines.
void keep_headroom_for(CapacityHeadroom& reserve, const store::JobSpec& spec, double tasks);

struct Fit {
  double cpu_per_gpu = 0;  // what tasks with GPUs take; kept free beside free GPUs
  const ImageCaches* images = nullptr;
  const std::set<std::string>* avoid = nullptr;  // machines that failed this job
  const std::set<std::string>* held = nullptr;   // machines kept for another job
  bool strand_gpus = false;                      // CPUs that free GPUs need may be taken
  CapacityHeadroom reserve = {};  // binds work without GPUs and work that may use spot machines
  bool spot_only = false;  // work that can wait leaves ordinary machines to work that needs them
  bool idle_room_only = false;  // on spot machines and beside work that lasts
  double start_within_s = 0;    // by when it should run by its objective; 0: none, or too late
};

bool type_allowed(const store::JobSpec& spec, const std::string& type);
/// May one more task of the job go to this zone, given those placed?
bool zone_allowed(const store::JobSpec& spec, const std::string& zone, const ZoneCounts& placed);
bool kind_allowed(const store::JobSpec& spec, bool spot);

/// The same text for tasks that fit, or don't fit, alike: what they take and where they may run.
std::string placement_shape(const store::JobSpec& spec);
/// What placed tasks add to that, for jobs that are bound to one zone or spread over zones.
std::string zones_shape(const ZoneCounts& placed);

/// Seconds after its submission by which a job should be over: its deadline, its class's objective,
/// or, with neither, three times its run.
double due_after_s(const store::JobSpec& spec, const store::Settings& settings);

/// Seconds after its submission by which a job's tasks should run, by the objectives; 0: none says
/// so.
double start_within_s(const store::JobSpec& spec, const store::Settings& settings);

/// May work that can run on spot machines still wait for one? It may, while half of the time
/// that its deadline (or its class's objective) leaves beside its run is not over.
bool can_wait_for_spot(const store::JobRecord& r, const store::Settings& settings, double wall);

/// GPUs of a slot that tasks with the usual CPUs beside them can take.
double usable_gpus(const store::Resources& free, double cpu_per_gpu);

/// Of a headroom of which `left` GPUs are not held yet, how many this slot holds; none: it has no
/// room for one piece.
std::optional<double> held_gpus(const Slot& slot, double left, const CapacityHeadroom& reserve,
                                double cpu_per_gpu);

/// How badly a slot suits a task that fits there, images apart: work that may use spot machines
/// leaves the others free; after that the fullest machine, so that the emptiest can be scaled in.
/// The lowest is best.
double placement_score(const store::JobSpec& spec, const Slot& slot);

/// The best slot for one more task, or null.
Slot* select_slot(const store::JobSpec& spec, const ZoneCounts& placed, std::vector<Slot>& slots,
                  const Fit& fit);

/// Room for `tasks` tasks on as few machines as can be: machine and room, an entry a task. Empty:
/// they don't all fit. For jobs that are not bound to spread over zones.
std::vector<std::pair<std::string, store::Resources>> bin_pack(const store::JobSpec& spec,
                                                               uint32_t tasks,
                                                               const std::vector<Slot>& slots,
                                                               const std::set<std::string>& avoid);

/// How many tasks of this shape an empty machine takes.
int capacity_for(const store::JobSpec& spec, const store::MachineType& type);

}  // namespace rushtrestle::coordination
