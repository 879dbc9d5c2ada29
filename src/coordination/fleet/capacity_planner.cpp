#include "coordination/fleet/capacity_planner.h"

#include "coordination/fleet/shard_planner.h"

namespace rushtrestle::coordination {

void CapacityPlanner::plan_shard(int shard, CapacityPlan& plan) {
  const std::set<std::string> no_exclusions;
  ShardPlanner planner(inputs_, shard, no_exclusions, plan);
  if (logging_) planner.log_load();
  planner.run();
}

CapacityPlan CapacityPlanner::plan_without(int shard, const std::set<std::string>& machines) {
  CapacityPlan plan;
  ShardPlanner(inputs_, shard, machines, plan).run();
  return plan;
}

}  // namespace rushtrestle::coordination
