// Reclaims machines for teams within their guaranteed share: where nothing is free and nothing can
// be provisioned, a shard whose teams run beyond their guarantees gives up machines that hold only
// work that may be preempted. Invariant: no shard falls below the guarantees of its teams. An
// exception to the design, which moves free machines only; cause and figures: docs/design.md. Run
// by the cluster leader with each plan.
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

  /// Asks for machines for the demand that a plan could not meet, if the operators allow it.
  void reclaim(const std::vector<UnmetDemand>& unmet);

 private:
  /// What shards could give to teams within their guarantees.
  struct ReclaimableCapacity {
    struct Load {
      int tasks = 0;
      bool pinned = false;  // holds work that may not be preempted
    };
    std::map<std::string, Load> loads;  // by machine
    std::map<int, double> capacity;     // CPUs by shard
    std::map<int, double> guaranteed;   // CPUs by shard
    std::set<int> borrowers;            // shards with a team beyond its guarantee
    std::set<std::string> reclaimed;    // machines, in this round
  };

  ReclaimableCapacity reclaimable_capacity() const;
  std::map<int, int> machines_on_their_way() const;
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
