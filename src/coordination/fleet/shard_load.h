// The resources that the jobs of one shard use and the jobs that wait, counted from the records in
// the state cache at one moment. Plain data from which the shard planner starts.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/capacity_plan.h"
#include "coordination/membership/membership.h"
#include "coordination/scheduling/arrival_forecast.h"

namespace rushtrestle::coordination {

/// The inputs of a plan. The referenced objects must outlive the planner.
struct PlanningInputs {
  Context& context;
  const store::StateCache& state_cache;
  const Membership& membership;
  const ArrivalForecast& arrival_forecast;
  const CloudView& cloud_view;
};

/// Ids of machines that a plan treats as absent.
using ExcludedMachines = std::set<std::string>;

struct ShardLoad {
  /// Running array tasks, which free capacity as they end, and the waiting array tasks that can use
  /// it. Capacity freed by best-effort teams is counted for best-effort teams only.
  struct ArrayQueue {
    double running_tasks = 0;
    double backlog = 0;  // waiting tasks planned so far
  };
  struct TaskCounts {
    int on_demand = 0;
    int spot = 0;
  };
  /// The jobs of all teams with a guarantee, or of all best-effort teams.
  struct Jobs {
    std::vector<const store::JobRecord*> waiting;  // by rank, then by age
    ArrayQueue arrays;
  };

  std::map<std::string, store::Resources> used;  // by machine
  /// Machines with work that must not be preempted.
  std::set<std::string> machines_with_non_preemptible;
  std::map<std::string, TaskCounts> placed_tasks;        // by class
  std::map<std::string, store::Resources> used_by_team;  // includes tasks placed by the plan
  Jobs guaranteed;
  Jobs best_effort;
  double cpu_per_gpu = 0;  // highest ratio of CPUs to GPUs among the jobs' tasks
  /// Whether a job waits whose team has a guarantee and whose rank must not be preempted.
  bool unpreemptible_waiting = false;
};

/// Returns the number of tasks of an open job that are neither done nor placed.
double missing_tasks(const store::JobRecord& job);

/// Counts the load of a shard as if the excluded machines did not exist. Tasks on them that can
/// move count as waiting; their other tasks are not counted.
ShardLoad count_shard_load(const PlanningInputs& inputs, int shard,
                           const ExcludedMachines& excluded);

}  // namespace rushtrestle::coordination
