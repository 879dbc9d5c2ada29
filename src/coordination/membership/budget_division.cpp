#include "coordination/membership/budget_division.h"

#include <algorithm>
#include <utility>

#include "coordination/membership/budget_share.h"

namespace rushtrestle::coordination {

BudgetDivision::BudgetDivision(StateStoreClient& state_store, const ControllerOrder& order,
                               const PeerDirectory& peers, const ShardAssignment& shards)
    : state_store_(state_store), order_(order), peers_(peers), shards_(shards) {}

void BudgetDivision::update() {
  std::vector<double> needs = peer_needs();
  const double own_need = std::max(min_need(), state_store_.needed_budget_share());
  state_store_.set_budget_share(fair_share(own_need, std::move(needs)));
}

std::vector<double> BudgetDivision::peer_needs() {
  std::vector<double> needs;
  for (const auto& peer : peers_.peers()) {
    if (peers_.alive(peer)) {
      needs.push_back(std::max(min_need(), reported_need(peer.state)));
    } else if (shards_.leads_a_shard(peer.settings.node)) {
      // A peer that is not heard but still leads a shard runs behind refused connections and spends
      // budget, too. When each controller took the whole budget for itself, the state store refused
      // requests of all of them for exceeding the rate limit.
      needs.push_back(std::max(even_share(), state_store_.needed_budget_share()));
    }
  }
  return needs;
}

// A version that does not report its need computes its share from the backlogs, and assumes that
// the other controllers do the same.
double BudgetDivision::reported_need(const PeerState& state) const {
  constexpr double kMaxBacklog = 20;  // records; a larger backlog counts as this many
  return state.budget_need.value_or(even_share() * (1 + std::min(state.backlog, kMaxBacklog)) / 2);
}

}  // namespace rushtrestle::coordination
