// What this controller knows of the other controllers, by their own word.
//
// Owns, for each peer of the settings, the state that it told last and when, and the exchange that
// brings it: this controller queries every peer with its own state, and the peer answers with its
// state. The failure detector is here, too: a peer counts as alive ("fresh") for `peer_fresh_s`
// after its last word, and nothing that it said counts any longer than that.
//
// Invariant: one query a peer is under way at the most; a state that was said longer ago than
// `peer_fresh_s` never counts as said now, however late it is delivered.
//
// Called by Membership (queries and answers), and read by the other modules of this package.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "coordination/state/state_store_client.h"

namespace rushtrestle::coordination {

class PeerDirectory {
 public:
  struct Peer {
    store::PeerSettings settings;
    PeerState state;  // told last, without `machines_heard` and `offered_cancellations`
    std::unordered_set<std::string> machines_heard;  // by that state
    std::optional<double> last_heard_at;             // steady time; none: never heard
    // Since when it has had the state store and a synced state cache, in one incarnation and
    // without a gap; steady time, of a peer that was heard.
    double steady_since = 0;
    double next_query_at = 0;  // steady time
    bool query_in_flight = false;
  };

  struct Events {
    /// This controller's state, as it is to be told to the peer of this name.
    std::function<PeerState(const std::string& peer)> own_state_for;
    /// A peer has answered the query that was sent at the steady time `asked_at`.
    std::function<void(const PeerState& answer, double asked_at)> on_peer_answered;
  };

  PeerDirectory(Context& context, const StateStoreClient& state_store, Events events);

  /// Queries each peer whose turn it is.
  void send_due_queries();
  /// Steady time of the next query; `kNoDueTime`: none before an answer comes.
  double next_due() const;
  /// Queries the peer in the next tick.
  void query_at_once(const std::string& node);
  /// Takes in what a peer told of itself. A state that was said too long ago changes nothing.
  void on_peer_state(const PeerState& state);
  /// The same for a state that came as a query; the peer gets ours in the answer.
  void on_peer_query(const PeerState& state);

  const std::vector<Peer>& peers() const { return peers_; }
  /// The failure detector: the peer was heard within `peer_fresh_s`.
  bool fresh(const Peer& peer) const {
    return peer.last_heard_at &&
           context_.now - *peer.last_heard_at < context_.tunables.peer_fresh_s;
  }
  /// A fresh peer told that its lease at the state store is in force.
  bool any_has_state_store() const;
  /// The peer of this name is fresh and told so.
  bool has_state_store(const std::string& node) const;
  /// The peer is fresh, has the state store and a synced state cache, and has had both for
  /// `home_steady_s`.
  bool steady(const std::string& node) const;
  /// Every peer is fresh and told that it lacks the state store; false without peers.
  bool outage_shared() const;
  /// Every peer has said within `peer_fresh_s` that it reads this record format.
  bool all_read(uint64_t record_format) const;

  /// A fresh peer has heard from the machine lately.
  bool peer_hears(const std::string& machine) const;
  /// Names of the fresh peers, in the order of the settings.
  std::vector<std::string> controllers_heard() const;
  /// Address of a fresh peer; none: it is not fresh, or not known.
  std::optional<std::string> address_of(const std::string& node) const;
  /// A fresh peer that hears the controller `node`, to forward heartbeats by.
  std::optional<std::string> relay_peer(const std::string& node) const;
  /// For operators: what this controller and each peer run.
  store::Json versions() const;

 private:
  const Peer* find(const std::string& node) const;
  void send_query(Peer& peer);
  void on_query_done(Peer& peer, double asked_at, const CallDone& done);

  Context& context_;
  const StateStoreClient& state_store_;
  const Events events_;
  std::vector<Peer> peers_;  // in the order of the settings
};

}  // namespace rushtrestle::coordination
