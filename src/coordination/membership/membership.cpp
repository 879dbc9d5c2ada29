#include "coordination/membership/membership.h"

#include <algorithm>
#include <utility>

#include "coordination/membership/budget_share.h"
#include "coordination/runtime/version.h"

namespace rushtrestle::coordination {

using store::leader_key;
using store::shard_key;

Membership::Membership(Context& context, store::StateCache& state_cache,
                       StateStoreClient& state_store)
    : context_(context), state_cache_(state_cache), state_store_(state_store) {
  nodes_.push_back(context_.settings.node);
  for (const auto& p : context_.settings.peers) {
    peers_.emplace_back().settings = p;
    nodes_.push_back(p.node);
  }
  std::sort(nodes_.begin(), nodes_.end());
  for (const auto& t : context_.settings.teams) teams_.push_back(t.name);
  std::sort(teams_.begin(), teams_.end());
}

int Membership::shard_of_team(const std::string& team) const {
  const auto it = std::lower_bound(teams_.begin(), teams_.end(), team);
  if (it == teams_.end() || *it != team) return -1;
  return static_cast<int>(it - teams_.begin()) % shards();
}

const Membership::Peer* Membership::peer(const std::string& node) const {
  for (const auto& p : peers_)
    if (p.settings.node == node) return &p;
  return nullptr;
}

uint64_t Membership::shard_token(int shard) const {
  const auto it = shard_tokens_.find(shard);
  return it != shard_tokens_.end() && state_cache_.revision() >= it->second ? it->second : 0;
}

std::string Membership::shard_leader(int shard) const {
  const auto* h = state_cache_.lease_holder(shard_key(shard));
  return h && h->present ? h->record.node : "";
}

bool Membership::peer_hears(const std::string& machine) const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const Peer& p) { return fresh(p) && p.hears.count(machine) != 0; });
}

bool Membership::leads_a_shard(const std::string& node) const {
  for (int shard = 0; shard < shards(); ++shard)
    if (shard_leader(shard) == node) return true;
  return false;
}

std::vector<std::string> Membership::controllers_heard() const {
  std::vector<std::string> out;
  for (const auto& p : peers_)
    if (fresh(p)) out.push_back(p.settings.node);
  return out;
}

std::string Membership::address_of(const std::string& node) const {
  const Peer* p = peer(node);
  return p && fresh(*p) ? p->settings.address : "";
}

std::string Membership::relay_peer(const std::string& node) const {
  for (const auto& p : peers_)
    if (fresh(p) && p.settings.node != node &&
        std::find(p.state.nodes.begin(), p.state.nodes.end(), node) != p.state.nodes.end())
      return p.settings.node;
  return "";
}

bool Membership::outage_shared() const {
  return !peers_.empty() && std::all_of(peers_.begin(), peers_.end(), [&](const Peer& p) {
    return fresh(p) && !p.state.has_state_store;
  });
}

bool Membership::all_read(uint64_t record_format) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const Peer& p) {
    return fresh(p) && p.state.record_format >= record_format;
  });
}

store::Json Membership::versions() const {
  store::Json out = {{context_.settings.node,
                      {{"version", program_version()}, {"record_format", store::kRecordFormat}}}};
  for (const auto& p : peers_) {
    auto& entry = out[p.settings.node];
    entry["heard"] = fresh(p);
    if (!fresh(p)) continue;
    entry["version"] = p.state.version.empty() ? "before 0.2.0" : p.state.version;
    entry["record_format"] = p.state.record_format;
  }
  return out;
}

// Every cancellation that any user was told of before this time is known here: by our state cache,
// or because the controller that told it has handed over all that it knows. Not the time of the
// last contact with the state service: renewals may succeed while changes, cancellations among
// them, don't come.
double Membership::covered_until() const {
  // What our own earlier incarnations told is durable, and so in every state cache that was read
  // since.
  double until = state_store_.ever_synced() ? context_.now : previous_incarnation_covered_until_;
  for (const auto& p : peers_)
    until = std::min(until, std::max(p.covered_until, state_store_.current_at()));
  return until;
}

bool Membership::knows_cancellations() const {
  return context_.now - covered_until() < context_.tunables.disconnected_limit_s;
}

bool Membership::may_renew_workers() const {
  // Without a lease the keys may have gone to others.
  return state_store_.lease_valid() ? knows_cancellations() : may_renew_while_disconnected();
}

bool Membership::may_renew_while_disconnected() const {
  // A peer that has the state service tells that we are the ones cut off: yield.
  for (const auto& p : peers_)
    if (fresh(p) && p.state.has_state_store) return false;
  return knows_cancellations();
}

CancellationOffer Membership::offer_cancellations(const PeerState& asker) const {
  constexpr size_t kMost = 512;  // a message; what is left follows at once
  const auto& all = state_cache_.cancellations();
  CancellationOffer h;
  h.mark.incarnation = context_.incarnation;
  if (asker.acknowledged && asker.acknowledged->incarnation == context_.incarnation &&
      asker.acknowledged->count <= all.size())
    h.from = asker.acknowledged->count;
  uint64_t& count = h.mark.count = h.from;
  for (; count < all.size() && h.cancellations.size() < kMost; ++count)
    if (all[count].mod_revision > asker.revision) h.cancellations.push_back(all[count]);
  h.whole = count == all.size();
  return h;
}

// The state service refuses us alone, others confirm cancellations, and then it is away for all:
// that all lack it says nothing of what they told before. What they hold is asked of them; the
// times are ours, of asking.
void Membership::accept_cancellations(Peer& p, const PeerState& said, double asked_at) {
  if (!said.offered_cancellations ||
      said.offered_cancellations->mark.incarnation != said.incarnation)
    return;
  const CancellationOffer& h = *said.offered_cancellations;
  const bool goes_on = p.known.incarnation == said.incarnation && h.from <= p.known.count;
  if (!goes_on && h.from != 0) return;  // a gap: the next one begins anew
  for (const auto& c : h.cancellations) state_cache_.add_unconfirmed_cancellation(c);
  p.known = h.mark;
  if (!h.whole) {
    p.next_send = context_.now;
    return;
  }
  // One that never read the keys may have told something in an earlier incarnation that it does not
  // know now.
  if (!said.current_age_s) return;
  constexpr double kDrift = 1.001;
  const double current_at = asked_at - std::max(0.0, *said.current_age_s) * kDrift;
  for (auto& other : peers_) other.covered_until = std::max(other.covered_until, current_at);
  previous_incarnation_covered_until_ = std::max(previous_incarnation_covered_until_, current_at);
  p.covered_until = std::max(p.covered_until, asked_at);
}

void Membership::on_peer_state(const PeerState& state) {
  // Held up by a cut or by our own standstill, what a peer said minutes ago would count as said
  // now: that it lacks the state service, say, or that an earlier incarnation is alive.
  if (state.at <
      context_.wall - context_.tunables.peer_fresh_s - 2 * context_.settings.clock_error_s)
    return;
  for (auto& p : peers_) {
    if (p.settings.node != state.node) continue;
    const bool steady = fresh(p) && p.state.incarnation == state.incarnation &&
                        p.state.has_state_store && p.state.synced && state.has_state_store &&
                        state.synced;
    if (!steady) p.steady_since = context_.now;
    p.state = state;
    p.hears.clear();
    p.hears.insert(std::make_move_iterator(p.state.machines_heard.begin()),
                   std::make_move_iterator(p.state.machines_heard.end()));
    p.state.machines_heard.clear();
    p.state.offered_cancellations.reset();
    p.heard_at = context_.now;
  }
}

// Both sides of the exchange know of each other now, so ours can wait: with each asking the other
// in every period, a fifth of all messages of a busy controller were these. Not where cancellations
// have to be handed over, which only the answer to our own question brings.
void Membership::on_peer_query(const PeerState& state) {
  on_peer_state(state);
  if (state_store_.disconnected() || !state.has_state_store) return;
  for (auto& p : peers_)
    if (p.settings.node == state.node)
      p.next_send =
          std::max(p.next_send, context_.now + context_.jitter(context_.tunables.peer_every_s));
}

void Membership::send_state(Peer& p) {
  p.sending_state = true;
  p.next_send = context_.now + context_.jitter(context_.tunables.peer_every_s);
  PeerState own = own_state();
  own.acknowledged = p.known;
  context_.call(SendPeerState{p.settings.address, std::move(own)}, context_.tunables.peer_every_s,
                [this, &p, asked_at = context_.now](CallDone&& d) {
                  p.sending_state = false;
                  const auto* state = std::get_if<PeerState>(&d.reply);
                  if (d.status != 200 || !state || state->node != p.settings.node) return;
                  on_peer_state(*state);
                  accept_cancellations(p, *state, asked_at);
                });
}

void Membership::tick() {
  for (auto& p : peers_)
    if (!p.sending_state && context_.now >= p.next_send) send_state(p);
  divide_budget();

  // Work begins once the state cache covers all that earlier shard leaders wrote: a job's end
  // noticed before that could not be written, and was lost.
  for (const int shard : std::set<int>(acquiring_)) {
    if (shard_token(shard) == 0) continue;
    acquiring_.erase(shard);
    context_.info("holding part " + std::to_string(shard) + " at " +
                  std::to_string(shard_token(shard)));
    on_shard_acquired(shard);
  }
  if (!state_store_.synced() || !state_store_.lease_valid()) return;
  // Teams are dealt from the first shard on: the cluster leader stands where the fewest are, and
  // those next to it step in for it before the leaders of the busiest shards.
  const int n = shards();
  const auto me = static_cast<int>(std::find(nodes_.begin(), nodes_.end(), context_.settings.node) -
                                   nodes_.begin());
  for (int shard = 0; shard < n; ++shard)
    consider_claim(shard_key(shard), shard, (me - shard + n) % n);
  consider_claim(leader_key, n - 1, (n - 1 - me + n) % n);
  for (const auto& [shard, mod_revision] : std::map<int, uint64_t>(shard_tokens_))
    release_shard(shard);
}

// The budget follows the work: who needs more takes what others leave.
void Membership::divide_budget() {
  const double even = 1.0 / static_cast<double>(nodes_.size());
  const double least = even * Tunables::kIdleShare;
  std::vector<double> others;
  for (const auto& p : peers_) {
    if (fresh(p)) {
      // A version that does not tell its need takes by its backlog, and reckons with others that do
      // the same.
      const double told =
          p.state.budget_need.value_or(even * (1 + std::min(p.state.backlog, 20.0)) / 2);
      others.push_back(std::max(least, told));
    } else if (leads_a_shard(p.settings.node)) {
      // We don't hear it, but it is alive behind refused connections and spends, too: with each
      // controller taking the whole budget for its own, all of them were refused for the rate.
      others.push_back(std::max(even, state_store_.need()));
    }
  }
  state_store_.set_weight(fair_share(std::max(least, state_store_.need()), std::move(others)));
}

double Membership::next_due() const {
  if (!absent_since_.empty()) return context_.now;  // a key to claim: every moment may count
  double due = kNoDueTime;
  for (const auto& p : peers_)
    if (!p.sending_state) due = std::min(due, p.next_send);
  return due;
}

void Membership::consider_claim(const std::string& key, int home, int distance) {
  const auto* h = state_cache_.lease_holder(key);
  if (h && h->present) {
    absent_since_.erase(key);
    // Our own earlier incarnation is dead, whatever its lease says.
    if (h->record.node == context_.settings.node && h->record.incarnation != context_.incarnation)
      claim(key, h->mod_revision);
    return;
  }
  const auto [it, fresh_absence] = absent_since_.emplace(key, context_.now);
  // Home first; the others step in one after the other, later if home seems to be alive.
  double wait = context_.tunables.renew_every_s / 2 * distance;
  if (distance > 0) {
    const Peer* home_peer = peer(nodes_[static_cast<size_t>(home)]);
    if (home_peer && fresh(*home_peer) && home_peer->state.has_state_store)
      wait += context_.tunables.state_lease_s / 2;
  }
  if (context_.now - it->second >= wait) claim(key, 0);
}

void Membership::claim(const std::string& key, uint64_t expected) {
  if (claiming_[key]) return;
  claiming_[key] = true;
  WriteRequest w;
  w.key = key;
  w.cause = WriteCause::lease_holder;
  w.prepare = [this, key, expected](Prepared& p) {
    if (state_cache_.mod_revision_of(key) != expected) return false;
    p.expected = expected;
    p.value = to_json(store::LeaseHolderRecord{context_.settings.node, context_.incarnation});
    p.lease = state_store_.lease();
    return true;
  };
  // Who holds the key is read off the state cache (on_lease_holder_changed).
  w.done = [this, key](WriteOutcome, uint64_t) { claiming_[key] = false; };
  state_store_.write(std::move(w));
}

void Membership::on_lease_holder_changed(const std::string& key) {
  const auto* h = state_cache_.lease_holder(key);
  const bool mine = h && h->present && h->record.node == context_.settings.node &&
                    h->record.incarnation == context_.incarnation;
  if (key == leader_key) {
    if (mine != (leader_revision_ != 0))
      context_.info(mine ? "leading from now on" : "leading no more");
    leader_revision_ = mine ? h->mod_revision : 0;
    return;
  }
  const int shard = std::stoi(key.substr(5));
  const auto it = shard_tokens_.find(shard);
  if (mine && (it == shard_tokens_.end() || it->second != h->mod_revision)) {
    if (it != shard_tokens_.end() && !acquiring_.count(shard)) on_shard_lost(shard);
    shard_tokens_[shard] = h->mod_revision;
    acquiring_.insert(shard);
  } else if (!mine && it != shard_tokens_.end()) {
    shard_tokens_.erase(it);
    context_.info("part " + std::to_string(shard) + " is held no more");
    if (acquiring_.erase(shard) == 0) on_shard_lost(shard);
  }
}

void Membership::on_lease_lost() {
  leader_revision_ = 0;
  const auto lost = std::move(shard_tokens_);
  shard_tokens_.clear();
  const auto acquiring = std::exchange(acquiring_, {});
  for (const auto& [shard, mod_revision] : lost)
    if (!acquiring.count(shard)) on_shard_lost(shard);
}

void Membership::release_shard(int shard) {
  const std::string& home = nodes_[static_cast<size_t>(shard % shards())];
  if (home == context_.settings.node) return;
  const Peer* p = peer(home);
  if (!p || !fresh(*p) || !p->state.has_state_store || !p->state.synced ||
      context_.now - p->steady_since < context_.tunables.home_steady_s)
    return;
  const std::string key = shard_key(shard);
  if (claiming_[key]) return;
  claiming_[key] = true;
  context_.info("handing part " + std::to_string(shard) + " back to " + home);
  WriteRequest w;
  w.key = key;
  w.cause = WriteCause::lease_holder;
  w.prepare = [this, shard](Prepared& prepared) {
    prepared.expected = shard_token(shard);
    return prepared.expected != 0;
  };
  w.done = [this, key, shard](WriteOutcome outcome, uint64_t) {
    claiming_[key] = false;
    (void)shard;
    (void)outcome;
  };
  state_store_.write(std::move(w));
}

}  // namespace rushtrestle::coordination
