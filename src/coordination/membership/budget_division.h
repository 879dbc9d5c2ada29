// This controller's part of the state store's write budget, which follows the work: who needs more
// takes what others leave.
//
// All controllers spend one budget without a common ledger. Each reckons its own part from what it
// and its peers say that they need, with the same pure function (`fair_share`), so that the parts
// add up to the whole as far as all have heard the same. Owns no state; Membership calls `update`
// in each tick.
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

  /// Reckons this controller's part anew and sets it in the state store client.
  void update();

 private:
  // All as parts of the whole budget.
  double even_share() const { return 1.0 / static_cast<double>(order_.size()); }
  double least_need() const { return even_share() * Tunables::kIdleShare; }
  double told_need(const PeerState& state) const;
  std::vector<double> needs_of_peers();

  StateStoreClient& state_store_;
  const ControllerOrder& order_;
  const PeerDirectory& peers_;
  const ShardAssignment& shards_;
};

}  // namespace rushtrestle::coordination
