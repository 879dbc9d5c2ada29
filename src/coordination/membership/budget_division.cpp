#include "coordination/membership/budget_division.h"

#include <algorithm>
#include <utility>

#include "coordination/membership/budget_share.h"

namespace rushtrestle::coordination {

BudgetDivision::BudgetDivision(StateStoreClient& state_store, const ControllerOrder& order,
                               const PeerDirectory& peers, const ShardAssignment& shards)
    : state_store_(state_store), order_(order), peers_(peers), shards_(shards) {}

void BudgetDivision::update() {
  std::vector<double> needs = needs_of_peers();
  const double own_need = std::max(least_need(), state_store_.need());
  state_store_.set_weight(fair_share(own_need, std::move(needs)));
}

std::vector<double> BudgetDivision::needs_of_peers() {
  std::vector<double> needs;
  for (const auto& peer : peers_.peers()) {
    if (peers_.fresh(peer)) {
      needs.push_back(std::max(least_need(), told_need(peer.state)));
    } else if (shards_.leads_a_shard(peer.settings.node)) {
      // We don't hear it, but it is alive behind refused connections and spends, too: with each
      // controller taking the whole budget for its own, all of them were refused for the rate.
      needs.push_back(std::max(even_share(), state_store_.need()));
    }
  }
  return needs;
}

// A version that does not tell its need takes by its backlog, and reckons with others that do the
// same.
double BudgetDivision::told_need(const PeerState& state) const {
  constexpr double kMostBacklog = 20;  // records; more count as that many
  return state.budget_need.value_or(even_share() * (1 + std::min(state.backlog, kMostBacklog)) / 2);
}

}  // namespace rushtrestle::coordination
