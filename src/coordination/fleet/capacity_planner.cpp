#include "coordination/fleet/capacity_planner.h"

#include "coordination/fleet/shard_planner.h"

namespace rushtrestle::coordination {

void CapacityPlanner::plan_shard(int shard, CapacityPlan& plan) {
  const std::set<std::string> without_none;
  ShardPlanner planner(inputs_, shard, without_none, plan);
  if (logging_) planner.log_load();
  planner.run();
}

CapacityPlan CapacityPlanner::plan_without(int shard, const std::set<std::string>& machines) {
  CapacityPlan plan;
  ShardPlanner(inputs_, shard, machines, plan).run();
  return plan;
}

}  // namespace rushtrestle::coordination
