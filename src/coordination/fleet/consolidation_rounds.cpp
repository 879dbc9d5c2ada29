#include "coordination/fleet/consolidation_rounds.h"

#include <algorithm>

#include "coordination/fleet/capacity_planner.h"

namespace rushtrestle::coordination {

void ConsolidationRounds::run(const CapacityPlan& planned,
                              const std::function<CloudView()>& cloud_view) {
  next_round_ = context_.now + context_.operators.share_period_s / membership_.shard_count();
  shard_ = (shard_ + 1) % membership_.shard_count();
  consolidator_.sample_attempts();
  if (std::any_of(planned.unmet.begin(), planned.unmet.end(),
                  [&](const UnmetDemand& demand) { return demand.shard == shard_; }))
    return;
  const CloudView known = cloud_view();
  CapacityPlanner planner(context_, state_cache_, membership_, arrival_forecast_, known);
  for (const auto& id : consolidator_.select_machines_to_drain(shard_, planned, planner)) {
    context_.counters["machines_consolidated"]++;
    context_.info("machine_release_requested machine=" + id + " reason=consolidation");
    reassignment_.request_release(id, DrainMode::drain);
  }
}

}  // namespace rushtrestle::coordination
