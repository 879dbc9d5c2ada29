// Where a task fits: one picture of machines, used by owners to place and by the
// leader to plan. Changing a picture changes nothing else.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "store/records.h"

namespace rushtrestle::coordination {

/// Which images a machine has, as far as the placements seen tell: the most recently used ones.
class ImageCaches {
 public:
  void used(const std::string& machine, const std::string& image, double gb, double cache_gb);
  bool has(const std::string& machine, const std::string& image) const;
  void forget(const std::string& machine) { machines_.erase(machine); }

 private:
  struct Cached {
    std::string image;
    double gb;
  };
  std::map<std::string, std::vector<Cached>> machines_;  // least recently used first
};

struct Slot {
  std::string machine;
  const store::MachineType* type = nullptr;
  const std::string* zone = nullptr;
  bool spot = false;
  store::Resources free;
  bool empty = true;    // nothing placed on it
  bool pinned = false;  // holds work that may not be preempted
};

/// Tasks of one job by zone, those on machines included.
using ZoneCounts = std::map<std::string, uint32_t>;

/// Room with GPUs on ordinary machines that is kept for work that can run nowhere else.
struct Reserve {
  double gpus = 0;           // to be kept
  double gpus_per_task = 1;  // in pieces of this size
};

/// Adds tasks that are waited for, if they need GPUs and can't use spot machines.
void keep_for(Reserve& reserve, const store::JobSpec& spec, double tasks);

struct Fit {
  double cpu_per_gpu = 0;  // what tasks with GPUs take; kept free beside free GPUs
  const ImageCaches* images = nullptr;
  const std::set<std::string>* avoid = nullptr;  // machines that failed this job
  bool strand_gpus = false;                      // may CPU work take what free GPUs need?
  Reserve reserve = {};                          // binds work without GPUs and work that may use spot machines
  bool spot_only = false;                        // work that can wait leaves ordinary machines to work that needs them
  double start_within_s = 0;                     // when it should run by its objective; 0: no matter, or too late
};

bool type_allowed(const store::JobSpec& spec, const std::string& type);
/// May one more task of the job go to this zone, given those placed?
bool zone_allowed(const store::JobSpec& spec, const std::string& zone, const ZoneCounts& placed);
bool kind_allowed(const store::JobSpec& spec, bool spot);

/// Seconds after its submission by which a job should be over: its deadline, its class's objective, or,
/// with neither, three times its run.
double due_after_s(const store::JobSpec& spec, const store::Settings& settings);

/// Seconds after its submission by which a job's tasks should run, by the objectives; 0: none says so.
double start_within_s(const store::JobSpec& spec, const store::Settings& settings);

/// May work that can run on spot machines still wait for one? It may, while half of the time
/// that its deadline (or its class's objective) leaves beside its run is not over.
bool can_wait_for_spot(const store::JobRecord& r, const store::Settings& settings, double wall);

/// The best slot for one more task, or null.
Slot* pick(const store::JobSpec& spec, const ZoneCounts& placed, std::vector<Slot>& slots, const Fit& fit);

/// How many tasks of this shape an empty machine takes.
int capacity_for(const store::JobSpec& spec, const store::MachineType& type);

}  // namespace rushtrestle::coordination
