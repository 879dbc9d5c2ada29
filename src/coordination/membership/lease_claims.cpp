#include "coordination/membership/lease_claims.h"

#include <utility>

namespace rushtrestle::coordination {

LeaseClaims::LeaseClaims(const Context& context, const store::StateCache& state_cache,
                         StateStoreClient& state_store, const PeerDirectory& peers)
    : context_(context), state_cache_(state_cache), state_store_(state_store), peers_(peers) {}

std::optional<uint64_t> LeaseClaims::own_mod_revision(const std::string& key) const {
  const auto* holder = state_cache_.lease_holder(key);
  if (!holder || !holder->present || holder->record.node != context_.settings.node ||
      holder->record.incarnation != context_.incarnation)
    return std::nullopt;
  return holder->mod_revision;
}

void LeaseClaims::claim_if_vacant(const std::string& key, const std::string& home, int distance) {
  const auto* holder = state_cache_.lease_holder(key);
  if (holder && holder->present) {
    vacant_since_.erase(key);
    // This controller's previous incarnation is dead, even if its lease is still valid.
    if (holder->record.node == context_.settings.node &&
        holder->record.incarnation != context_.incarnation)
      claim(key, holder->mod_revision);
    return;
  }
  const double vacant_since = vacant_since_.emplace(key, context_.now).first->second;
  // Home claims first; the others follow one after the other, later if home seems to be alive.
  double wait = context_.tunables.renew_every_s / 2 * distance;
  if (distance > 0 && peers_.has_state_store(home)) wait += context_.tunables.state_lease_s / 2;
  constexpr uint64_t kAbsent = 0;
  if (context_.now - vacant_since >= wait) claim(key, kAbsent);
}

void LeaseClaims::claim(const std::string& key, uint64_t expected_mod_revision) {
  if (!pending_writes_.insert(key).second) return;
  WriteRequest request;
  request.key = key;
  request.cause = WriteCause::lease_holder;
  request.prepare = [this, key, expected_mod_revision](PreparedWrite& prepared) {
    if (state_cache_.mod_revision_of(key) != expected_mod_revision) return false;
    prepared.expected_mod_revision = expected_mod_revision;
    prepared.value =
        to_json(store::LeaseHolderRecord{context_.settings.node, context_.incarnation});
    prepared.lease = state_store_.lease();
    return true;
  };
  request.done = [this, key](WriteOutcome, uint64_t) { pending_writes_.erase(key); };
  state_store_.write(std::move(request));
}

void LeaseClaims::release(const std::string& key,
                          std::function<std::optional<uint64_t>()> fencing_token) {
  pending_writes_.insert(key);
  WriteRequest request;
  request.key = key;
  request.cause = WriteCause::lease_holder;
  request.prepare = [fencing_token = std::move(fencing_token)](PreparedWrite& prepared) {
    const auto token = fencing_token();
    if (!token) return false;
    prepared.expected_mod_revision = *token;  // no value: the key is deleted
    return true;
  };
  request.done = [this, key](WriteOutcome, uint64_t) { pending_writes_.erase(key); };
  state_store_.write(std::move(request));
}

}  // namespace rushtrestle::coordination
