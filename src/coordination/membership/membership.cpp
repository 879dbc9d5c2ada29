#include "coordination/membership/membership.h"

#include <algorithm>
#include <utility>

#include "coordination/membership/budget_share.h"

namespace rushtrestle::coordination {

using store::leader_key;
using store::shard_key;

Membership::Membership(Context& context, store::StateCache& state_cache,
                       StateStoreClient& state_store)
    : context_(context),
      state_cache_(state_cache),
      state_store_(state_store),
      peers_(context, state_store, peer_events()),
      cancellations_(context, state_cache, state_store, peers_) {
  nodes_.push_back(context_.settings.node);
  for (const auto& peer : context_.settings.peers) nodes_.push_back(peer.node);
  std::sort(nodes_.begin(), nodes_.end());
  for (const auto& t : context_.settings.teams) teams_.push_back(t.name);
  std::sort(teams_.begin(), teams_.end());
}

PeerDirectory::Events Membership::peer_events() {
  return {.own_state_for =
              [this](const std::string& peer) {
                PeerState own = own_state();
                own.acknowledged = cancellations_.position(peer);
                return own;
              },
          .on_peer_answered = [this](const PeerState& answer,
                                     double asked_at) { cancellations_.accept(answer, asked_at); }};
}

int Membership::shard_of_team(const std::string& team) const {
  const auto it = std::lower_bound(teams_.begin(), teams_.end(), team);
  if (it == teams_.end() || *it != team) return -1;
  return static_cast<int>(it - teams_.begin()) % shards();
}

uint64_t Membership::shard_token(int shard) const {
  const auto it = shard_tokens_.find(shard);
  return it != shard_tokens_.end() && state_cache_.revision() >= it->second ? it->second : 0;
}

std::string Membership::shard_leader(int shard) const {
  const auto* h = state_cache_.lease_holder(shard_key(shard));
  return h && h->present ? h->record.node : "";
}

bool Membership::leads_a_shard(const std::string& node) const {
  for (int shard = 0; shard < shards(); ++shard)
    if (shard_leader(shard) == node) return true;
  return false;
}

void Membership::tick() {
  peers_.send_due_queries();
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
  for (const auto& peer : peers_.peers()) {
    if (peers_.fresh(peer)) {
      // A version that does not tell its need takes by its backlog, and reckons with others that do
      // the same.
      const double told =
          peer.state.budget_need.value_or(even * (1 + std::min(peer.state.backlog, 20.0)) / 2);
      others.push_back(std::max(least, told));
    } else if (leads_a_shard(peer.settings.node)) {
      // We don't hear it, but it is alive behind refused connections and spends, too: with each
      // controller taking the whole budget for its own, all of them were refused for the rate.
      others.push_back(std::max(even, state_store_.need()));
    }
  }
  state_store_.set_weight(fair_share(std::max(least, state_store_.need()), std::move(others)));
}

double Membership::next_due() const {
  if (!absent_since_.empty()) return context_.now;  // a key to claim: every moment may count
  return peers_.next_due();
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
  if (distance > 0 && peers_.has_state_store(nodes_[static_cast<size_t>(home)]))
    wait += context_.tunables.state_lease_s / 2;
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
  if (home == context_.settings.node || !peers_.steady(home)) return;
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
