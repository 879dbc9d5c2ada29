// Plans the capacity of one shard: assigns each waiting and forecast task to a machine of the shard
// or to one to be provisioned, and records shortages, unused machines and unmet demand. Owns the
// state of the shard during planning; an object plans one shard once. Used by the capacity planner.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/fleet/shard_capacity.h"
#include "coordination/fleet/shard_load.h"

namespace rushtrestle::coordination {

class ShardPlanner {
 public:
  /// Plans as if the `excluded` machines did not exist. The arguments must outlive this object.
  ShardPlanner(const PlanningInputs& inputs, int shard, const ExcludedMachines& excluded,
               CapacityPlan& plan);

  /// Appends the shard's plan to the plan passed to the constructor.
  void run();
  /// Logs one line with the free capacity and the placed and waiting tasks of the shard.
  void log_load() const;

 private:
  /// A task to place and the rules for placing it.
  struct TaskRequest {
    const store::JobSpec& spec;
    bool urgent = false;     // true for waiting work, false for forecast work
    bool spot_only = false;  // only spot machines may be provisioned
    bool may_provision = true;
    bool may_provision_gpus = true;  // work without GPUs may get a new machine with GPUs
    /// Allows only spot machines and machines with non-preemptible work.
    bool best_effort_capacity_only = false;
  };
  /// Which machine types are considered for work without GPUs.
  enum class TypesForCpuWork { without_gpus, with_gpus };
  /// The last failure to place a task of some shape on a slot or a new machine.
  struct Failure {
    // Number of slots at that time. These slots can only have lost free capacity since. 0: none.
    size_t slots_tried = 0;
  };

  std::vector<ArrivalForecast::Forecast> forecasts() const;
  void reserve_headroom(const std::vector<ArrivalForecast::Forecast>& forecasts);
  void plan_waiting(const std::vector<const store::JobRecord*>& jobs);
  void plan_forecast(std::vector<ArrivalForecast::Forecast> forecasts);
  void plan_job(const store::JobRecord& job);
  TaskRequest request_for(const store::JobRecord& job, uint32_t need);
  bool exceeds_array_throughput(const store::JobRecord& job, uint32_t need,
                                ShardLoad::ArrayQueue& arrays) const;

  bool place_task(const TaskRequest& request, ZoneCounts& zones);
  bool place_first_task(const TaskRequest& request, ZoneCounts& zones);
  bool place_all_or_none(const TaskRequest& request, ZoneCounts zones, uint32_t tasks);
  void place_gang(const TaskRequest& request, const ZoneCounts& zones, uint32_t tasks);
  PlacementConstraints constraints_for(const TaskRequest& request) const;
  std::optional<ShardCapacity::SlotNumber> find_place(const TaskRequest& request,
                                                      const ZoneCounts& zones);
  std::optional<ShardCapacity::SlotNumber> provision_slot(const TaskRequest& request,
                                                          const ZoneCounts& zones,
                                                          TypesForCpuWork types);
  std::optional<MachineKind> cheapest_kind(const TaskRequest& request, const ZoneCounts& zones,
                                           TypesForCpuWork types) const;
  void add_shortage(const TaskRequest& request, const MachineKind& kind);
  void add_unmet_demand(const TaskRequest& request, const ZoneCounts& zones);
  bool within_quota(const store::JobSpec& spec);
  const store::TeamSettings& team_settings(const std::string& team) const;
  std::string failure_key(const TaskRequest& request, const ZoneCounts& zones) const;

  const PlanningInputs& inputs_;
  const int shard_;
  const ExcludedMachines& excluded_;
  CapacityPlan& plan_;
  ShardLoad load_;
  ShardCapacity capacity_;
  CapacityHeadroom headroom_;
  std::map<std::string, Failure> failures_;  // by `failure_key`
};

}  // namespace rushtrestle::coordination
