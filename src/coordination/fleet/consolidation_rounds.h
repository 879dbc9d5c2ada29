// Consolidation, one shard at a time: empties machines whose work fits on the others of their
// shard. Owns whose turn it is and when; the consolidator chooses the machines. Run by the cluster
// leader with each plan.
#pragma once
#include <functional>

#include "coordination/fleet/consolidator.h"
#include "coordination/fleet/machine_reassignment.h"
#include "coordination/scheduling/arrival_forecast.h"

namespace rushtrestle::coordination {

class ConsolidationRounds {
 public:
  /// The arguments must outlive this object.
  ConsolidationRounds(Context& context, const store::StateCache& state_cache,
                      const Membership& membership, const ImageCaches& images,
                      const ArrivalForecast& arrival_forecast, MachineReassignment& reassignment)
      : context_(context),
        state_cache_(state_cache),
        membership_(membership),
        arrival_forecast_(arrival_forecast),
        reassignment_(reassignment),
        consolidator_(context, state_cache, membership, images) {}

  /// At the start of a leadership: how long tasks have run is observed anew.
  void reset() { consolidator_.reset(); }
  bool due() const { return context_.now >= next_round_; }
  /// One shard a plan, each once a sharing period: all at once would be a long pass. `planned`: the
  /// plan of all shards before any machine was reassigned; `outlook` tells what is known of the
  /// cloud now, and is asked only if the shard is looked at.
  void run(const CapacityPlan& planned, const std::function<CloudOutlook()>& outlook);

 private:
  Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  const ArrivalForecast& arrival_forecast_;
  MachineReassignment& reassignment_;
  Consolidator consolidator_;
  int shard_ = 0;  // whose turn it was last
  double next_round_ = 0;
};

}  // namespace rushtrestle::coordination
