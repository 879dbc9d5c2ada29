#include "coordination/membership/cancellation_exchange.h"

#include <algorithm>

namespace rushtrestle::coordination {

CancellationExchange::CancellationExchange(const Context& context, store::StateCache& state_cache,
                                           const StateStoreClient& state_store,
                                           PeerDirectory& peers)
    : context_(context), state_cache_(state_cache), state_store_(state_store), peers_(peers) {
  for (const auto& peer : context_.settings.peers) coverage_[peer.node];
}

CancellationOffer CancellationExchange::offer(const PeerState& requester) const {
  constexpr size_t kMaxPerMessage = 512;  // the rest follows with the next query
  const auto& all = state_cache_.cancellations();
  CancellationOffer offer;
  offer.end.incarnation = context_.incarnation;
  if (requester.known_cancellations &&
      requester.known_cancellations->incarnation == context_.incarnation &&
      requester.known_cancellations->count <= all.size())
    offer.from = requester.known_cancellations->count;
  uint64_t& count = offer.end.count = offer.from;
  for (; count < all.size() && offer.cancellations.size() < kMaxPerMessage; ++count)
    if (all[count].mod_revision > requester.revision) offer.cancellations.push_back(all[count]);
  offer.complete = count == all.size();
  return offer;
}

void CancellationExchange::apply_offer(const PeerState& answer, double query_sent_at) {
  if (!answer.offered_cancellations ||
      answer.offered_cancellations->end.incarnation != answer.incarnation)
    return;
  const CancellationOffer& offer = *answer.offered_cancellations;
  auto& coverage = coverage_.at(answer.node);
  const bool continues =
      coverage.position.incarnation == answer.incarnation && offer.from <= coverage.position.count;
  if (!continues && offer.from != 0) return;  // a gap: the next offer fills it
  for (const auto& cancellation : offer.cancellations)
    state_cache_.add_unconfirmed_cancellation(cancellation);
  coverage.position = offer.end;
  if (!offer.complete) {
    peers_.query_next_tick(answer.node);
    return;
  }
  // A peer whose state cache was never proven current may lack cancellations that its previous
  // incarnation acknowledged.
  if (!answer.current_age_s) return;
  constexpr double kClockDrift = 1.001;
  extend_all_coverage(query_sent_at - std::max(0.0, *answer.current_age_s) * kClockDrift);
  coverage.covered_until = std::max(coverage.covered_until, std::optional(query_sent_at));
}

void CancellationExchange::date_new_cancellations() {
  const auto& all = state_cache_.cancellations();
  for (; dated_ < all.size(); ++dated_) recent_.push_back({all[dated_].job, covered_when_dated_});
  covered_when_dated_ = covered_until().value_or(kLongAgo);
  const double limit = context_.now - context_.tunables.disconnected_limit_s;
  while (!recent_.empty() && recent_.front().not_acknowledged_before <= limit) recent_.pop_front();
}

bool CancellationExchange::acknowledged_within_limit(const std::string& job) const {
  // A cancellation that became known in this batch has no date yet.
  const auto& all = state_cache_.cancellations();
  const auto is_of_job = [&](const auto& cancellation) { return cancellation.job == job; };
  double not_before = kLongAgo;
  if (const auto dated = std::find_if(recent_.begin(), recent_.end(), is_of_job);
      dated != recent_.end()) {
    not_before = dated->not_acknowledged_before;
  } else if (std::any_of(all.begin() + static_cast<std::ptrdiff_t>(dated_), all.end(), is_of_job)) {
    not_before = covered_when_dated_;
  }
  return context_.now - not_before < context_.tunables.disconnected_limit_s;
}

const CancellationPosition& CancellationExchange::position(const std::string& peer) const {
  return coverage_.at(peer).position;
}

void CancellationExchange::extend_all_coverage(double time) {
  const std::optional<double> proven = time;
  for (auto& [peer, coverage] : coverage_)
    coverage.covered_until = std::max(coverage.covered_until, proven);
  previous_incarnations_covered_until_ = std::max(previous_incarnations_covered_until_, proven);
}

// Every cancellation that was acknowledged to any user before the returned steady time is known
// here, from this controller's state cache or from a complete offer of the controller that
// acknowledged it. The last contact with the state store proves nothing: lease renewals may succeed
// while changes, cancellations among them, do not arrive. An empty optional is less than any time.
std::optional<double> CancellationExchange::covered_until() const {
  std::optional<double> cache_current_at;
  if (state_store_.ever_synced()) cache_current_at = state_store_.cache_current_as_of();
  // The cancellations that this controller's previous incarnations acknowledged are durable, so the
  // state cache holds them once this incarnation has synced it.
  std::optional<double> until = previous_incarnations_covered_until_;
  if (state_store_.ever_synced()) until = context_.now;
  for (const auto& [peer, coverage] : coverage_)
    until = std::min(until, std::max(coverage.covered_until, cache_current_at));
  return until;
}

bool CancellationExchange::coverage_within_limit() const {
  const auto until = covered_until();
  return until && context_.now - *until < context_.tunables.disconnected_limit_s;
}

bool CancellationExchange::may_renew_workers() const {
  // Without a valid lease, other controllers may hold the keys of this controller's shards.
  return state_store_.lease_valid() ? coverage_within_limit() : may_renew_while_disconnected();
}

bool CancellationExchange::may_renew_while_disconnected() const {
  // A peer that has the state store shows that this controller is the one cut off and must yield.
  return !peers_.any_has_state_store() && coverage_within_limit();
}

}  // namespace rushtrestle::coordination
