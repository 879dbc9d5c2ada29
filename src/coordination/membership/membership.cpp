#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

Membership::Membership(Context& context, store::StateCache& state_cache,
                       StateStoreClient& state_store)
    : context_(context),
      state_store_(state_store),
      order_(context.settings),
      peers_(context, state_store, peer_events()),
      cancellations_(context, state_cache, state_store, peers_),
      claims_(context, state_cache, state_store, peers_),
      shards_(context, state_cache, order_, peers_, claims_, shard_events()),
      leader_(context, state_cache, state_store, order_, claims_),
      budget_(state_store, order_, peers_, shards_) {}

PeerDirectory::Events Membership::peer_events() {
  return {.own_state_for =
              [this](const std::string& peer) {
                PeerState own = own_state();
                own.known_cancellations = cancellations_.position(peer);
                return own;
              },
          .on_peer_answered =
              [this](const PeerState& answer, double query_sent_at) {
                cancellations_.apply_offer(answer, query_sent_at);
              }};
}

ShardAssignment::Events Membership::shard_events() {
  return {.on_shard_acquired = [this](int shard) { on_shard_acquired(shard); },
          .on_shard_lost = [this](int shard) { on_shard_lost(shard); }};
}

void Membership::tick() {
  cancellations_.date_new_cancellations();
  peers_.send_due_queries();
  budget_.update();
  shards_.complete_acquisitions();
  if (!state_store_.synced() || !state_store_.lease_valid()) return;
  shards_.claim_vacant_shards();
  leader_.claim_if_vacant();
  shards_.release_to_home_controllers();
}

double Membership::next_due() const {
  if (claims_.any_vacant()) return context_.now;  // claim the key as soon as its turn comes
  return peers_.next_due();
}

void Membership::on_lease_holder_changed(const std::string& key) {
  if (key == store::leader_key) {
    leader_.on_lease_holder_changed();
  } else {
    shards_.on_lease_holder_changed(key);
  }
}

void Membership::on_lease_lost() {
  leader_.on_lease_lost();
  shards_.on_lease_lost();
}

}  // namespace rushtrestle::coordination
