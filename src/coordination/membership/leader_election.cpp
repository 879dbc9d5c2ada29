#include "coordination/membership/leader_election.h"

namespace rushtrestle::coordination {

LeaderElection::LeaderElection(Context& context, const store::StateCache& state_cache,
                               const StateStoreClient& state_store, const ControllerOrder& order,
                               LeaseClaims& claims)
    : context_(context),
      state_cache_(state_cache),
      state_store_(state_store),
      order_(order),
      claims_(claims) {}

void LeaderElection::claim_if_vacant() {
  claims_.claim_if_vacant(store::leader_key, order_.home_of_leader(),
                          order_.distance_from_leader_home());
}

void LeaderElection::on_lease_holder_changed() {
  const auto own_revision = claims_.own_mod_revision(store::leader_key);
  if (own_revision.has_value() != mod_revision_.has_value())
    context_.info(own_revision ? "cluster_leadership_acquired" : "cluster_leadership_lost");
  mod_revision_ = own_revision;
}

}  // namespace rushtrestle::coordination
