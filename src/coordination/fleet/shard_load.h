// What the jobs of one shard take and what they wait for, counted from the records in the state
// cache at one moment. Plain data that the planner of a shard starts from.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/capacity_plan.h"
#include "coordination/membership/membership.h"
#include "coordination/scheduling/arrival_forecast.h"

namespace rushtrestle::coordination {

/// What a plan is made from. All of it must outlive the plan.
struct PlanningInputs {
  Context& context;
  const store::StateCache& state_cache;
  const Membership& membership;
  const ArrivalForecast& arrival_forecast;
  const CloudOutlook& outlook;
};

/// Machines that a plan reckons without, by id.
using ExcludedMachines = std::set<std::string>;

struct ShardLoad {
  /// Arrays make room as their tasks end. Those of best-effort teams make it for best-effort teams.
  struct ArrayTurns {
    double running_tasks = 0;
    double backlog = 0;  // tasks planned so far
  };
  struct TaskCounts {
    int ordinary = 0;
    int spot = 0;
  };
  /// Jobs of teams with a guarantee, or of best-effort teams.
  struct Jobs {
    std::vector<const store::JobRecord*> waiting;  // by rank, then by age
    ArrayTurns arrays;
  };

  std::map<std::string, store::Resources> used;          // by machine
  std::set<std::string> pinned;                          // machines with work not to be preempted
  std::map<std::string, TaskCounts> placed_tasks;        // by class
  std::map<std::string, store::Resources> used_by_team;  // planned tasks included
  Jobs guaranteed;
  Jobs best_effort;
  double cpu_per_gpu = 0;  // most CPUs that a job takes beside each GPU
  /// A job of a team with a guarantee waits, and its rank may not be preempted.
  bool unpreemptible_waiting = false;
};

/// Tasks of an open job that are neither done nor placed.
double missing_tasks(const store::JobRecord& job);

/// The load of a shard as it would be without the excluded machines: tasks on them that can move
/// wait again, the others are not counted.
ShardLoad count_shard_load(const PlanningInputs& inputs, int shard,
                           const ExcludedMachines& excluded);

}  // namespace rushtrestle::coordination
