// Works out which machines the waiting and expected work of a shard lacks and which of its machines
// nothing needs. Planning changes nothing: the cluster leader's modules act on the result. Used by
// the cluster leader, and by consolidation to try what a shard would be without some machines.
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
                  const CloudOutlook& outlook)
      : inputs_{context, state_cache, membership, arrival_forecast, outlook} {}

  /// Adds the plan of a shard to `plan`.
  void plan_shard(int shard, CapacityPlan& plan);
  /// The plan of a shard as it would be without some of its machines.
  CapacityPlan plan_without(int shard, const std::set<std::string>& machines);
  /// From now on `plan_shard` writes one log line a shard: what is placed and what waits.
  void enable_logging() { logging_ = true; }

 private:
  PlanningInputs inputs_;
  bool logging_ = false;
};

}  // namespace rushtrestle::coordination
