// Schedules consolidation: each round handles one shard and drains machines whose work fits on the
// other machines of the shard. Owns the order and the times of the rounds; the consolidator selects
// the machines. The cluster leader checks with each plan whether a round is due.
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

  /// Forgets for how long tasks have been seen running. Called when leadership begins.
  void reset() { consolidator_.reset(); }
  bool due() const { return context_.now >= next_round_; }
  /// Handles the next shard. Each shard has one round per sharing period, because a single pass
  /// over all shards would take too long. `planned` is the plan of all shards before any machine
  /// was reassigned. `cloud_view` returns the current knowledge of the cloud; it is called only if
  /// the shard has no unmet demand.
  void run(const CapacityPlan& planned, const std::function<CloudView()>& cloud_view);

 private:
  Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  const ArrivalForecast& arrival_forecast_;
  MachineReassignment& reassignment_;
  Consolidator consolidator_;
  int shard_ = 0;          // shard of the last round
  double next_round_ = 0;  // steady time in seconds
};

}  // namespace rushtrestle::coordination
