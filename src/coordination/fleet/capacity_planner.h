// Computes which machines a shard lacks for its waiting and forecast work, and which of its
// machines are unused. Planning has no side effects; the cluster leader's modules act on the plan.
// Used by the cluster leader, and by consolidation to plan a shard as if some of its machines were
// gone.
#pragma once
#include <set>
#include <string>

#include "coordination/fleet/capacity_plan.h"
#include "coordination/fleet/shard_load.h"

namespace rushtrestle::coordination {

class CapacityPlanner {
 public:
  /// The arguments must outlive this object.
  CapacityPlanner(Context& context, const store::StateCache& state_cache,
                  const Membership& membership, const ArrivalForecast& arrival_forecast,
                  const CloudView& cloud_view)
      : inputs_{context, state_cache, membership, arrival_forecast, cloud_view} {}

  /// Plans the shard and appends the result to `plan`.
  void plan_shard(int shard, CapacityPlan& plan);
  /// Returns the plan of the shard as if `machines` (ids) did not exist.
  CapacityPlan plan_without(int shard, const std::set<std::string>& machines);
  /// Makes `plan_shard` log the placed and waiting tasks of each shard, one line per shard.
  void enable_logging() { logging_ = true; }

 private:
  PlanningInputs inputs_;
  bool logging_ = false;
};

}  // namespace rushtrestle::coordination
