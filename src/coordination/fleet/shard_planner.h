// The plan of one shard: gives room to each waiting and expected task, on the machines of the shard
// or on ones to be provisioned, and notes what is lacking, unused and unmet. Owns the state of the
// shard while it is planned; an object plans one shard once. Used by the capacity planner.
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
  /// Reckons without the `excluded` machines. The arguments must outlive this object.
  ShardPlanner(const PlanningInputs& inputs, int shard, const ExcludedMachines& excluded,
               CapacityPlan& plan);

  /// Adds the plan of the shard to the plan.
  void run();
  /// One log line: what is placed and what waits.
  void log_load() const;

 private:
  /// How one task may be given room.
  struct TaskRequest {
    const store::JobSpec& spec;
    bool urgent = false;  // waits; else expected
    bool spot_only = false;
    bool may_provision = true;
    bool may_provision_gpus = true;  // machines with GPUs for work without
    bool idle_room_only = false;
  };
  /// Which types are looked at for work without GPUs.
  enum class TypesForCpuWork { without_gpus, with_gpus };
  /// A task for which there was neither room nor anything to provision.
  struct Failure {
    size_t slots_tried = 0;  // the first ones; they have lost room since, if anything
  };

  std::vector<ArrivalForecast::Forecast> forecasts() const;
  void hold_headroom(const std::vector<ArrivalForecast::Forecast>& forecasts);
  void plan_waiting(const std::vector<const store::JobRecord*>& jobs);
  void plan_expected(std::vector<ArrivalForecast::Forecast> forecasts);
  void plan_job(const store::JobRecord& job);
  TaskRequest request_for(const store::JobRecord& job, uint32_t need);
  bool exceeds_array_turns(const store::JobRecord& job, uint32_t need,
                           ShardLoad::ArrayTurns& arrays) const;

  bool place_task(const TaskRequest& request, ZoneCounts& zones);
  bool place_first_task(const TaskRequest& request, ZoneCounts& zones);
  bool place_all(const TaskRequest& request, ZoneCounts zones, uint32_t tasks);
  void place_gang(const TaskRequest& request, const ZoneCounts& zones, uint32_t tasks);
  Fit fit_for(const TaskRequest& request) const;
  std::optional<ShardCapacity::Place> find_place(const TaskRequest& request,
                                                 const ZoneCounts& zones);
  std::optional<ShardCapacity::Place> provision_slot(const TaskRequest& request,
                                                     const ZoneCounts& zones,
                                                     TypesForCpuWork types);
  std::optional<MachineKind> cheapest_kind(const TaskRequest& request, const ZoneCounts& zones,
                                           TypesForCpuWork types) const;
  void note_shortage(const TaskRequest& request, const MachineKind& kind);
  void note_unmet(const TaskRequest& request, const ZoneCounts& zones);
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
  std::map<std::string, Failure> failures_;  // by shape
};

}  // namespace rushtrestle::coordination
