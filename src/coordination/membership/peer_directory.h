// What this controller knows of its peers, the other controllers, from their own reports.
//
// PeerDirectory owns, for each peer of the settings, the state that the peer last reported, the
// time of the report, and the exchange that brings it: this controller queries every peer with its
// own state, and the peer answers with its state. PeerDirectory is also the failure detector: a
// peer counts as alive for `peer_timeout_s` after its last report, and the report counts no longer
// than that.
//
// Invariant: at most one query per peer is in flight; a state that was sent longer ago than
// `peer_timeout_s` (plus twice the clock error) never counts as current, however late it arrives.
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
    PeerState state;  // reported last, without `machines_heard` and `offered_cancellations`
    std::unordered_set<std::string> machines_heard;  // according to `state`
    std::optional<double> last_heard_at;             // steady time; none: never
    // Steady time since which the peer has had the state store and a synced state cache, in one
    // incarnation and without a gap; only meaningful once the peer has reported its state.
    double stable_since = 0;
    double next_query_at = 0;  // steady time
    bool query_in_flight = false;
  };

  struct Events {
    /// Returns this controller's state, as it is sent to the peer of this name.
    std::function<PeerState(const std::string& peer)> own_state_for;
    /// Called with a peer's answer to the query that was sent at the steady time `query_sent_at`.
    std::function<void(const PeerState& answer, double query_sent_at)> on_peer_answered;
  };

  PeerDirectory(Context& context, const StateStoreClient& state_store, Events events);

  /// Queries each peer whose next query is due.
  void send_due_queries();
  /// Steady time of the next query; `kNoDueTime`: none before an answer arrives.
  double next_due() const;
  /// Queries the peer in the next tick.
  void query_next_tick(const std::string& node);
  /// Records the state that a peer reports of itself. A state that was sent too long ago is
  /// ignored.
  void on_peer_state(const PeerState& state);
  /// Records the state in a peer's query; the answer carries this controller's state.
  void on_peer_query(const PeerState& state);

  const std::vector<Peer>& peers() const { return peers_; }
  /// The failure detector: whether the peer has reported its state within `peer_timeout_s`.
  bool alive(const Peer& peer) const {
    return peer.last_heard_at &&
           context_.now - *peer.last_heard_at < context_.tunables.peer_timeout_s;
  }
  /// Whether a live peer reports that it has the state store: a valid lease and a connection.
  bool any_has_state_store() const;
  /// Whether the peer of this name is alive and reports that it has the state store.
  bool has_state_store(const std::string& node) const;
  /// Whether the peer is alive, has the state store and a synced state cache, and has had both for
  /// at least `home_stable_s`.
  bool stable(const std::string& node) const;
  /// Whether every peer is alive and reports that it lacks the state store; false without peers.
  bool all_lack_state_store() const;
  /// Whether every peer is alive and reports that it reads this record format.
  bool all_peers_read_format(uint64_t record_format) const;

  /// Whether a live peer reports recent heartbeats from the machine.
  bool any_hears_machine(const std::string& machine) const;
  /// Names of the live peers, in the order of the settings.
  std::vector<std::string> live_peers() const;
  /// Address of a live peer; none: the peer is not alive, or not in the settings.
  std::optional<std::string> address_of(const std::string& node) const;
  /// Whether the controller is alive and has read all keys of the state store.
  bool synced(const std::string& node) const;
  /// Name of a live peer that has read all keys of the state store; none: no such peer.
  std::optional<std::string> synced_peer() const;
  /// Name of a live peer that reports the controller `node` as alive and can forward heartbeats
  /// to it; none: no such peer.
  std::optional<std::string> relay_peer(const std::string& node) const;
  /// Program version and record format of this controller and of each peer, for operators.
  store::Json versions() const;

 private:
  const Peer* find(const std::string& node) const;
  void send_query(Peer& peer);
  void on_query_done(Peer& peer, double query_sent_at, const CallDone& done);

  Context& context_;
  const StateStoreClient& state_store_;
  const Events events_;
  std::vector<Peer> peers_;  // in the order of the settings
};

}  // namespace rushtrestle::coordination
