#include "coordination/membership/peer_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "coordination/runtime/version.h"

namespace rushtrestle::coordination {

PeerDirectory::PeerDirectory(Context& context, const StateStoreClient& state_store, Events events)
    : context_(context), state_store_(state_store), events_(std::move(events)) {
  for (const auto& settings : context_.settings.peers) peers_.emplace_back().settings = settings;
}

const PeerDirectory::Peer* PeerDirectory::find(const std::string& node) const {
  for (const auto& peer : peers_)
    if (peer.settings.node == node) return &peer;
  return nullptr;
}

void PeerDirectory::send_due_queries() {
  for (auto& peer : peers_)
    if (!peer.query_in_flight && context_.now >= peer.next_query_at) send_query(peer);
}

void PeerDirectory::send_query(Peer& peer) {
  peer.query_in_flight = true;
  peer.next_query_at = context_.now + context_.jitter(context_.tunables.peer_every_s);
  context_.call(SendPeerState{peer.settings.address, events_.own_state_for(peer.settings.node)},
                context_.tunables.peer_every_s,
                [this, &peer, query_sent_at = context_.now](CallDone&& done) {
                  on_query_done(peer, query_sent_at, done);
                });
}

void PeerDirectory::on_query_done(Peer& peer, double query_sent_at, const CallDone& done) {
  constexpr int kStatusOk = 200;
  peer.query_in_flight = false;
  const auto* answer = std::get_if<PeerState>(&done.reply);
  if (done.status != kStatusOk || !answer || answer->node != peer.settings.node) return;
  on_peer_state(*answer);
  events_.on_peer_answered(*answer, query_sent_at);
}

double PeerDirectory::next_due() const {
  double due = kNoDueTime;
  for (const auto& peer : peers_)
    if (!peer.query_in_flight) due = std::min(due, peer.next_query_at);
  return due;
}

void PeerDirectory::query_next_tick(const std::string& node) {
  for (auto& peer : peers_)
    if (peer.settings.node == node) peer.next_query_at = context_.now;
}

void PeerDirectory::on_peer_state(const PeerState& state) {
  // After a network partition or a pause of this process, a state may arrive minutes late. Such a
  // state must not count as current: it may say that the peer lacks the state store, or that an
  // earlier incarnation is alive.
  if (state.at <
      context_.wall - context_.tunables.peer_timeout_s - 2 * context_.settings.clock_error_s)
    return;
  for (auto& peer : peers_) {
    if (peer.settings.node != state.node) continue;
    const bool was_stable = alive(peer) && peer.state.incarnation == state.incarnation &&
                            peer.state.has_state_store && peer.state.synced;
    const bool still_stable = was_stable && state.has_state_store && state.synced;
    if (!still_stable) peer.stable_since = context_.now;
    peer.state = state;
    peer.machines_heard.clear();
    peer.machines_heard.insert(std::make_move_iterator(peer.state.machines_heard.begin()),
                               std::make_move_iterator(peer.state.machines_heard.end()));
    peer.state.machines_heard.clear();
    peer.state.offered_cancellations.reset();
    peer.last_heard_at = context_.now;
  }
}

// A query and its answer inform both sides, so this controller's own query to the peer is
// postponed: when each side queried the other in every period, these queries were a fifth of all
// messages of a busy controller. The query is not postponed while either side lacks the state
// store: then cancellations have to be exchanged, and only the answer to this controller's own
// query brings the peer's.
void PeerDirectory::on_peer_query(const PeerState& state) {
  on_peer_state(state);
  if (state_store_.disconnected() || !state.has_state_store) return;
  for (auto& peer : peers_)
    if (peer.settings.node == state.node)
      peer.next_query_at = std::max(peer.next_query_at,
                                    context_.now + context_.jitter(context_.tunables.peer_every_s));
}

bool PeerDirectory::any_has_state_store() const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const Peer& peer) { return alive(peer) && peer.state.has_state_store; });
}

bool PeerDirectory::has_state_store(const std::string& node) const {
  const Peer* peer = find(node);
  return peer && alive(*peer) && peer->state.has_state_store;
}

bool PeerDirectory::stable(const std::string& node) const {
  const Peer* peer = find(node);
  return peer && alive(*peer) && peer->state.has_state_store && peer->state.synced &&
         context_.now - peer->stable_since >= context_.tunables.home_stable_s;
}

bool PeerDirectory::all_lack_state_store() const {
  return !peers_.empty() && std::all_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    return alive(peer) && !peer.state.has_state_store;
  });
}

bool PeerDirectory::all_peers_read_format(uint64_t record_format) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    return alive(peer) && peer.state.record_format >= record_format;
  });
}

bool PeerDirectory::any_hears_machine(const std::string& machine) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    return alive(peer) && peer.machines_heard.count(machine) != 0;
  });
}

std::vector<std::string> PeerDirectory::live_peers() const {
  std::vector<std::string> heard;
  for (const auto& peer : peers_)
    if (alive(peer)) heard.push_back(peer.settings.node);
  return heard;
}

std::optional<std::string> PeerDirectory::address_of(const std::string& node) const {
  const Peer* peer = find(node);
  if (!peer || !alive(*peer)) return std::nullopt;
  return peer->settings.address;
}

bool PeerDirectory::synced(const std::string& node) const {
  const Peer* peer = find(node);
  return peer && alive(*peer) && peer->state.synced;
}

std::optional<std::string> PeerDirectory::synced_peer() const {
  const auto peer = std::find_if(peers_.begin(), peers_.end(), [&](const Peer& candidate) {
    return alive(candidate) && candidate.state.synced;
  });
  return peer == peers_.end() ? std::nullopt : std::optional(peer->settings.node);
}

std::optional<std::string> PeerDirectory::relay_peer(const std::string& node) const {
  for (const auto& peer : peers_) {
    if (!alive(peer) || peer.settings.node == node) continue;
    const auto& heard_by_peer = peer.state.nodes;
    if (std::find(heard_by_peer.begin(), heard_by_peer.end(), node) != heard_by_peer.end())
      return peer.settings.node;
  }
  return std::nullopt;
}

store::Json PeerDirectory::versions() const {
  store::Json versions = {
      {context_.settings.node,
       {{"version", program_version()}, {"record_format", store::kRecordFormat}}}};
  for (const auto& peer : peers_) {
    auto& entry = versions[peer.settings.node];
    entry["heard"] = alive(peer);
    if (!alive(peer)) continue;
    entry["version"] = peer.state.version.empty() ? "before 0.2.0" : peer.state.version;
    entry["record_format"] = peer.state.record_format;
  }
  return versions;
}

}  // namespace rushtrestle::coordination
