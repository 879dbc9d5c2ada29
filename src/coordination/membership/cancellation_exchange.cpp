#include "coordination/membership/cancellation_exchange.h"

#include <algorithm>

namespace rushtrestle::coordination {

CancellationExchange::CancellationExchange(const Context& context, store::StateCache& state_cache,
                                           const StateStoreClient& state_store,
                                           PeerDirectory& peers)
    : context_(context), state_cache_(state_cache), state_store_(state_store), peers_(peers) {
  for (const auto& peer : context_.settings.peers) coverage_[peer.node];
}

CancellationOffer CancellationExchange::offer(const PeerState& asker) const {
  constexpr size_t kMostInMessage = 512;  // what is left follows at once
  const auto& all = state_cache_.cancellations();
  CancellationOffer offer;
  offer.mark.incarnation = context_.incarnation;
  if (asker.acknowledged && asker.acknowledged->incarnation == context_.incarnation &&
      asker.acknowledged->count <= all.size())
    offer.from = asker.acknowledged->count;
  uint64_t& count = offer.mark.count = offer.from;
  for (; count < all.size() && offer.cancellations.size() < kMostInMessage; ++count)
    if (all[count].mod_revision > asker.revision) offer.cancellations.push_back(all[count]);
  offer.whole = count == all.size();
  return offer;
}

void CancellationExchange::accept(const PeerState& answer, double asked_at) {
  if (!answer.offered_cancellations ||
      answer.offered_cancellations->mark.incarnation != answer.incarnation)
    return;
  const CancellationOffer& offer = *answer.offered_cancellations;
  auto& coverage = coverage_.at(answer.node);
  const bool continues =
      coverage.position.incarnation == answer.incarnation && offer.from <= coverage.position.count;
  if (!continues && offer.from != 0) return;  // a gap: the next offer begins anew
  for (const auto& cancellation : offer.cancellations)
    state_cache_.add_unconfirmed_cancellation(cancellation);
  coverage.position = offer.mark;
  if (!offer.whole) {
    peers_.query_at_once(answer.node);
    return;
  }
  // A peer that never read the keys may have acknowledged something in a previous incarnation that
  // it does not know now.
  if (!answer.current_age_s) return;
  constexpr double kClockDrift = 1.001;
  cover_everybody_until(asked_at - std::max(0.0, *answer.current_age_s) * kClockDrift);
  coverage.covered_until = std::max(coverage.covered_until, std::optional(asked_at));
}

const CancellationPosition& CancellationExchange::position(const std::string& peer) const {
  return coverage_.at(peer).position;
}

void CancellationExchange::cover_everybody_until(double time) {
  const std::optional<double> proven = time;
  for (auto& [peer, coverage] : coverage_)
    coverage.covered_until = std::max(coverage.covered_until, proven);
  previous_incarnations_covered_until_ = std::max(previous_incarnations_covered_until_, proven);
}

// Every cancellation that was acknowledged to any user before this steady time is known here: by
// our state cache, or because the controller that acknowledged it has offered all that it knows.
// Not the time of the last contact with the state store: renewals may succeed while changes,
// cancellations among them, don't come. An empty optional is less than any time.
std::optional<double> CancellationExchange::covered_until() const {
  std::optional<double> cache_current_at;
  if (state_store_.ever_synced()) cache_current_at = state_store_.current_at();
  // What our own previous incarnations acknowledged is durable, and so in every state cache that
  // was read since.
  std::optional<double> until = previous_incarnations_covered_until_;
  if (state_store_.ever_synced()) until = context_.now;
  for (const auto& [peer, coverage] : coverage_)
    until = std::min(until, std::max(coverage.covered_until, cache_current_at));
  return until;
}

bool CancellationExchange::knows_cancellations() const {
  const auto until = covered_until();
  return until && context_.now - *until < context_.tunables.disconnected_limit_s;
}

bool CancellationExchange::may_renew_workers() const {
  // Without a lease the keys of our shards may have gone to others.
  return state_store_.lease_valid() ? knows_cancellations() : may_renew_while_disconnected();
}

bool CancellationExchange::may_renew_while_disconnected() const {
  // A peer that has the state store tells that we are the ones cut off: yield.
  return !peers_.any_has_state_store() && knows_cancellations();
}

}  // namespace rushtrestle::coordination
