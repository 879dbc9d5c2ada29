// Computes this controller's share of the state store's write budget by need: a controller that
// needs more than an even share gets what the others leave unused.
//
// All controllers spend one budget without central accounting. Each computes its own share from its
// own need and the needs that its peers report, with the same pure function (`fair_share`), so that
// the shares add up to the whole budget as far as all controllers have received the same reports.
// BudgetDivision owns no state; Membership calls `update` in each tick.
#pragma once
#include <vector>

#include "coordination/membership/controller_order.h"
#include "coordination/membership/peer_directory.h"
#include "coordination/membership/shard_assignment.h"
#include "coordination/state/state_store_client.h"

namespace rushtrestle::coordination {

class BudgetDivision {
 public:
  BudgetDivision(StateStoreClient& state_store, const ControllerOrder& order,
                 const PeerDirectory& peers, const ShardAssignment& shards);

  /// Recomputes this controller's share and sets it in the state store client.
  void update();

 private:
  // The needs and shares below are fractions of the whole budget.
  double even_share() const { return 1.0 / static_cast<double>(order_.size()); }
  double min_need() const { return even_share() * Tunables::kIdleBudgetShare; }
  double reported_need(const PeerState& state) const;
  std::vector<double> peer_needs();

  StateStoreClient& state_store_;
  const ControllerOrder& order_;
  const PeerDirectory& peers_;
  const ShardAssignment& shards_;
};

}  // namespace rushtrestle::coordination
