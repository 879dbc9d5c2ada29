// Reclaims machines for teams within their guaranteed share. If no machine is free and none can be
// provisioned, a shard with a team beyond its guarantee gives up machines that hold only
// preemptible work. Invariant: no shard falls below the guarantees of its teams. This is an
// exception to the rule that only free machines move between shards; docs/design.md gives the
// reason and figures. Run by the cluster leader with each plan.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/capacity_plan.h"
#include "coordination/fleet/machine_reassignment.h"
#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

class FairShareReclaim {
 public:
  /// The arguments must outlive this object.
  FairShareReclaim(Context& context, const store::StateCache& state_cache,
                   const Membership& membership, MachineReassignment& reassignment)
      : context_(context),
        state_cache_(state_cache),
        membership_(membership),
        reassignment_(reassignment) {}

  /// Requests machines of other shards for the unmet demand of a plan, if the operators' settings
  /// allow it.
  void reclaim(const std::vector<UnmetDemand>& unmet);

 private:
  /// What other shards can give up for teams within their guarantees.
  struct ReclaimableCapacity {
    struct Load {
      int tasks = 0;
      bool has_non_preemptible = false;  // holds work that must not be preempted
    };
    std::map<std::string, Load> loads;  // by machine
    std::map<int, double> capacity;     // CPUs by shard
    std::map<int, double> guaranteed;   // CPUs by shard
    std::set<int> over_guarantee;       // shards with a team beyond its guarantee
    std::set<std::string> reclaimed;    // machines requested in this call
  };

  ReclaimableCapacity reclaimable_capacity() const;
  std::map<int, int> incoming_machines() const;
  const store::MachineRecord* machine_to_reclaim(const UnmetDemand& demand,
                                                 ReclaimableCapacity& reclaimable) const;
  bool may_be_reclaimed(const store::MachineRecord& machine, const UnmetDemand& demand,
                        ReclaimableCapacity& reclaimable) const;

  Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  MachineReassignment& reassignment_;
};

}  // namespace rushtrestle::coordination
