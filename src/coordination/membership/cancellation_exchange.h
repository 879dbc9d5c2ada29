// Tracks which cancellations this controller knows, and whether it knows enough of them to answer
// workers.
//
// Any controller may acknowledge a user's cancellation. A controller that answers heartbeats, and
// so renews workers' leases, keeps a cancelled task running if it does not know of a cancellation
// that another controller acknowledged.
//
// Invariant, for every answer that renews a worker's lease, whether or not this controller has a
// valid lease at the state store: every cancellation that any controller acknowledged to a user
// more than `disconnected_limit_s` = 0.95 * (cancel_s - lease_s) ago is known to the controller
// that answers. The shard package makes sure that the answer also carries the stop of each
// cancelled task in the heartbeat.
//
// Why the invariant suffices: let a cancellation be acknowledged at time t. The last heartbeat that
// is answered by a controller without knowledge of it was sent before t + disconnected_limit_s. A
// worker's lease counts from the sending of the heartbeat, so the job's tasks have stopped by
// t + disconnected_limit_s + lease_s, before t + cancel_s, with a margin of
// 0.05 * (cancel_s - lease_s) for clock errors and messages that cross.
//
// How the invariant is kept: for each peer, `covered_until` is the time on this controller's steady
// clock before which every cancellation that this peer acknowledged is known here. Workers are
// answered only while the oldest of these times is less than disconnected_limit_s ago. Three
// sources advance it:
//
// 1. This controller's own state cache, to the time at which it was last proven current: it holds
//    all that was durable then, hence all that any controller, dead incarnations included,
//    acknowledged before. Other contacts with the state store prove nothing: lease renewals may
//    succeed while changes do not arrive.
// 2. The peer's offer. The query carries the revision of this controller's state cache and its
//    position in the peer's list of cancellations (incarnation, count). The peer, whose list is in
//    the order in which it learned of the cancellations, answers with those after the position
//    whose mod revision is above that revision. A peer acknowledges a cancellation to a user only
//    if its list has it, so an offer that leaves nothing out (`complete`) proves that this
//    controller knows all that the peer acknowledged, in its present incarnation, before the query.
//    Mod revisions cannot serve as the position, as the peer may learn of a smaller one later.
//    Offers are needed when the state store first refuses only this controller, while the others
//    acknowledge cancellations, and then fails for all: that no controller has the state store now
//    does not show what the others acknowledged before.
// 3. The peer's state cache. The same answer tells how long ago the peer's state cache was proven
//    current. All that any controller acknowledged before then is in the peer's list or below this
//    controller's own revision. This covers previous incarnations, the peer's and this
//    controller's, which 2 does not. A peer whose state cache was never proven current advances
//    nothing.
//
// A peer that is silent, that restarted with empty memory, or whose version sends none of these
// fields leaves the limit in force, counted from the last proof. docs/architecture.md
// (Cancellation) has the whole argument.
//
// Called by Membership (offers, answers) and, through it, by the shard controller before it answers
// a worker.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "coordination/membership/peer_directory.h"
#include "coordination/state/state_store_client.h"

namespace rushtrestle::coordination {

class CancellationExchange {
 public:
  CancellationExchange(const Context& context, store::StateCache& state_cache,
                       const StateStoreClient& state_store, PeerDirectory& peers);

  /// Returns, for the answer to a peer's query, the cancellations that the query does not show the
  /// peer to know, up to the limit for one message.
  CancellationOffer offer(const PeerState& requester) const;
  /// Applies the offer in a peer's answer to a query that was sent at the steady time
  /// `query_sent_at`; queries the peer again in the next tick if the offer was not complete.
  void apply_offer(const PeerState& answer, double query_sent_at);
  /// Returns this controller's position in the list of a configured peer, for the query to that
  /// peer.
  const CancellationPosition& position(const std::string& peer) const;

  /// Notes since when the cancellations that became known since the last call may have been
  /// acknowledged. Called in each batch.
  void date_new_cancellations();
  /// Whether no controller acknowledged the job's cancellation, which is known here, more than
  /// `disconnected_limit_s` ago.
  bool acknowledged_within_limit(const std::string& job) const;

  /// Whether this controller may answer workers of the shards that it leads.
  bool may_renew_workers() const;
  /// Whether a worker's lease may be renewed without a valid lease at the state store.
  bool may_renew_while_disconnected() const;

 private:
  /// Which of one peer's cancellations are known here.
  struct Coverage {
    CancellationPosition position;  // in the peer's list
    // Steady time before which all that the peer acknowledged is known here; none: not proven yet.
    std::optional<double> covered_until;
  };
  /// A cancellation, and the steady time before which no controller acknowledged it to a user.
  struct DatedCancellation {
    std::string job;
    double not_acknowledged_before = 0;
  };
  /// Records that every cancellation that any controller acknowledged before the steady time `time`
  /// is known here.
  void extend_all_coverage(double time);
  std::optional<double> covered_until() const;
  bool coverage_within_limit() const;

  const Context& context_;
  store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
  PeerDirectory& peers_;
  std::map<std::string, Coverage> coverage_;  // by name of each configured peer
  // Cancellations that no controller acknowledged more than disconnected_limit_s ago, in the order
  // in which they became known.
  std::deque<DatedCancellation> recent_;
  size_t dated_ = 0;  // number of the state cache's cancellations that were dated
  // `covered_until` when they were: what was not known then was acknowledged later.
  double covered_when_dated_ = kLongAgo;
  // `covered_until` for the previous incarnations of this controller.
  std::optional<double> previous_incarnations_covered_until_;
};

}  // namespace rushtrestle::coordination
