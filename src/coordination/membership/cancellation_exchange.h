// Which cancellations this controller knows, and whether that suffices to answer workers.
//
// A user's cancellation is acknowledged by any controller. A controller that answers heartbeats,
// and so renews workers' leases, while it does not know of a cancellation that another acknowledged
// keeps a cancelled task running.
//
// Invariant, over every answer that renews a worker's lease, with or without a lease of our own at
// the state store: every cancellation that was acknowledged to any user more than
// `disconnected_limit_s` = 0.95 * (cancel_s - lease_s) ago is known to the controller that answers
// (and the answer carries the stop of each such task in the heartbeat, which is the shard's part).
//
// Why that suffices. Let a cancellation be acknowledged at time t. The last heartbeat that is
// answered by a controller that does not know it was sent before t + disconnected_limit_s. A
// worker's lease counts from the sending of the heartbeat, so the job's tasks are gone by
// t + disconnected_limit_s + lease_s, before t + cancel_s, with 0.05 * (cancel_s - lease_s) left
// for clocks and messages that cross.
//
// How it is kept. For each peer there is `covered_until`: the steady time, by our own clock, before
// which everything that this peer acknowledged is known here. Workers are answered only while the
// oldest of these is less than disconnected_limit_s ago. Three things move it:
//
// 1. Our own state cache, by the time at which it was last proven current: it holds all that was
//    durable then, so all that anybody acknowledged before, dead incarnations included. Other
//    contacts with the state store prove nothing: renewals may succeed while changes don't come.
// 2. The peer's offer. Our query carries our state cache's revision and our position in the peer's
//    cancellations (incarnation, count). The peer answers from its list, in the order in which they
//    became known to it, with those above that revision. It acknowledges none to a user that is not
//    in its list, so when nothing is left out (`whole`) we know all that it acknowledged, in this
//    incarnation, before we asked. Mod revisions would not do as a position: the peer may learn of
//    a smaller one later. This is what helps when the state store refuses us alone first, others
//    acknowledge cancellations, and then it is away for all: that all lack it says nothing of what
//    they acknowledged before.
// 3. The peer's state cache. With the same answer it tells how long ago that was proven current.
//    All that anybody acknowledged before then is in its list or below our own revision. This
//    covers previous incarnations, the peer's and our own, which 2 does not. A peer that has never
//    read the keys moves nothing.
//
// So a peer that is silent, that restarted with an empty memory, or whose version sends none of
// these fields leaves the limit in force, counted from the last proof. docs/architecture.md
// (Cancellation) has the whole argument.
//
// Called by Membership (offers, answers) and, through it, by the shard controller before it answers
// a worker.
#pragma once
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

  /// In answer to a peer's query: the cancellations that it has not shown to know, as many as fit
  /// into a message.
  CancellationOffer offer(const PeerState& asker) const;
  /// Takes in what a peer offers in its answer to a query that was sent at the steady time
  /// `asked_at`; queries it again at once if that was not all.
  void accept(const PeerState& answer, double asked_at);
  /// How far this controller has the cancellations of a peer of the settings, to be told to it.
  const CancellationPosition& position(const std::string& peer) const;

  /// May this controller answer workers of the shards that it leads?
  bool may_renew_workers() const;
  /// Without a lease at the state store: may a worker's lease be renewed all the same?
  bool may_renew_while_disconnected() const;

 private:
  /// What is known here of one peer's cancellations.
  struct Coverage {
    CancellationPosition position;  // in its list
    // Steady time before which all that it acknowledged is known here; none: nothing is proven.
    std::optional<double> covered_until;
  };
  /// Records that everything that anybody acknowledged before that steady time is known here.
  void cover_everybody_until(double time);
  std::optional<double> covered_until() const;
  bool knows_cancellations() const;

  const Context& context_;
  store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
  PeerDirectory& peers_;
  std::map<std::string, Coverage> coverage_;  // by name, of each peer of the settings
  // The same for the previous incarnations of this controller.
  std::optional<double> previous_incarnations_covered_until_;
};

}  // namespace rushtrestle::coordination
