#include "coordination/membership.h"

#include <algorithm>
#include <utility>

#include "coordination/version.h"
#include "coordination/writes/budget_share.h"

namespace rushtrestle::coordination {

using store::leader_key;
using store::part_key;

Membership::Membership(Context& ctx, store::Model& model, StateLink& link) : ctx_(ctx), model_(model), link_(link) {
  nodes_.push_back(ctx_.settings.node);
  for (const auto& p : ctx_.settings.peers) {
    peers_.emplace_back().settings = p;
    nodes_.push_back(p.node);
  }
  std::sort(nodes_.begin(), nodes_.end());
  for (const auto& t : ctx_.settings.teams) teams_.push_back(t.name);
  std::sort(teams_.begin(), teams_.end());
}

int Membership::part_of_team(const std::string& team) const {
  const auto it = std::lower_bound(teams_.begin(), teams_.end(), team);
  if (it == teams_.end() || *it != team) return -1;
  return static_cast<int>(it - teams_.begin()) % parts();
}

const Membership::Peer* Membership::peer(const std::string& node) const {
  for (const auto& p : peers_)
    if (p.settings.node == node) return &p;
  return nullptr;
}

uint64_t Membership::held(int part) const {
  const auto it = held_.find(part);
  return it != held_.end() && model_.revision() >= it->second ? it->second : 0;
}

std::string Membership::holder_of(int part) const {
  const auto* h = model_.holder(part_key(part));
  return h && h->present ? h->record.node : "";
}

bool Membership::peer_hears(const std::string& machine) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const Peer& p) { return fresh(p) && p.hears.count(machine) != 0; });
}

bool Membership::holds_a_part(const std::string& node) const {
  for (int part = 0; part < parts(); ++part)
    if (holder_of(part) == node) return true;
  return false;
}

std::vector<std::string> Membership::heard_nodes() const {
  std::vector<std::string> out;
  for (const auto& p : peers_)
    if (fresh(p)) out.push_back(p.settings.node);
  return out;
}

std::string Membership::address_of(const std::string& node) const {
  const Peer* p = peer(node);
  return p && fresh(*p) ? p->settings.address : "";
}

std::string Membership::go_between(const std::string& node) const {
  for (const auto& p : peers_)
    if (fresh(p) && p.settings.node != node &&
        std::find(p.state.nodes.begin(), p.state.nodes.end(), node) != p.state.nodes.end())
      return p.settings.node;
  return "";
}

bool Membership::outage_shared() const {
  return !peers_.empty() &&
         std::all_of(peers_.begin(), peers_.end(), [&](const Peer& p) { return fresh(p) && !p.state.has_state; });
}

bool Membership::all_read(uint64_t record_format) const {
  return std::all_of(peers_.begin(), peers_.end(),
                     [&](const Peer& p) { return fresh(p) && p.state.record_format >= record_format; });
}

store::Json Membership::versions() const {
  store::Json out = {{ctx_.settings.node, {{"version", program_version()}, {"record_format", store::kRecordFormat}}}};
  for (const auto& p : peers_) {
    auto& entry = out[p.settings.node];
    entry["heard"] = fresh(p);
    if (!fresh(p)) continue;
    entry["version"] = p.state.version.empty() ? "before 0.2.0" : p.state.version;
    entry["record_format"] = p.state.record_format;
  }
  return out;
}

// Every cancellation that any user was told of before this time is known here: by our model, or because the
// controller that told it has handed over all that it knows. Not the time of the last contact with the state
// service: renewals may succeed while changes, cancellations among them, don't come.
double Membership::covered_until() const {
  // What our own earlier incarnations told is durable, and so in every model that was read since.
  double until = link_.ever_synced() ? ctx_.now : former_self_covered_until_;
  for (const auto& p : peers_) until = std::min(until, std::max(p.covered_until, link_.current_at()));
  return until;
}

bool Membership::knows_cancellations() const { return ctx_.now - covered_until() < ctx_.tune.blind_limit_s; }

bool Membership::may_answer_workers() const {
  // Without a lease the keys may have gone to others.
  return link_.lease_valid() ? knows_cancellations() : may_answer_blind();
}

bool Membership::may_answer_blind() const {
  // A peer that has the state service tells that we are the ones cut off: yield.
  for (const auto& p : peers_)
    if (fresh(p) && p.state.has_state) return false;
  return knows_cancellations();
}

Handover Membership::hand_over(const PeerState& asker) const {
  constexpr size_t kMost = 512;  // a message; what is left follows at once
  const auto& all = model_.cancellations();
  Handover h;
  h.mark.incarnation = ctx_.incarnation;
  if (asker.has && asker.has->incarnation == ctx_.incarnation && asker.has->upto <= all.size()) h.from = asker.has->upto;
  uint64_t& upto = h.mark.upto = h.from;
  for (; upto < all.size() && h.cancellations.size() < kMost; ++upto)
    if (all[upto].stamp > asker.revision) h.cancellations.push_back(all[upto]);
  h.whole = upto == all.size();
  return h;
}

// The state service refuses us alone, others confirm cancellations, and then it is away for all: that all lack
// it says nothing of what they told before. What they hold is asked of them; the times are ours, of asking.
void Membership::take_over(Peer& p, const PeerState& said, double asked_at) {
  if (!said.handover || said.handover->mark.incarnation != said.incarnation) return;
  const Handover& h = *said.handover;
  const bool goes_on = p.known.incarnation == said.incarnation && h.from <= p.known.upto;
  if (!goes_on && h.from != 0) return;  // a gap: the next one begins anew
  for (const auto& c : h.cancellations) model_.hear(c);
  p.known = h.mark;
  if (!h.whole) {
    p.next_tell = ctx_.now;
    return;
  }
  // One that never read the keys may have told something in an earlier incarnation that it does not know now.
  if (!said.current_age_s) return;
  constexpr double kDrift = 1.001;
  const double current_at = asked_at - std::max(0.0, *said.current_age_s) * kDrift;
  for (auto& other : peers_) other.covered_until = std::max(other.covered_until, current_at);
  former_self_covered_until_ = std::max(former_self_covered_until_, current_at);
  p.covered_until = std::max(p.covered_until, asked_at);
}

void Membership::heard(const PeerState& state) {
  // Held up by a cut or by our own standstill, what a peer said minutes ago would count as said now: that it
  // lacks the state service, say, or that an earlier incarnation is alive.
  if (state.at < ctx_.wall - ctx_.tune.peer_fresh_s - 2 * ctx_.settings.clock_error_s) return;
  for (auto& p : peers_) {
    if (p.settings.node != state.node) continue;
    const bool steady = fresh(p) && p.state.incarnation == state.incarnation && p.state.has_state && p.state.synced &&
                        state.has_state && state.synced;
    if (!steady) p.steady_since = ctx_.now;
    p.state = state;
    p.hears.clear();
    p.hears.insert(std::make_move_iterator(p.state.heard.begin()), std::make_move_iterator(p.state.heard.end()));
    p.state.heard.clear();
    p.state.handover.reset();
    p.heard_at = ctx_.now;
  }
}

// Both sides of the exchange know of each other now, so ours can wait: with each asking the other in every period, a fifth
// of all messages of a busy controller were these. Not where cancellations have to be handed over, which only the answer
// to our own question brings.
void Membership::asked_by(const PeerState& state) {
  heard(state);
  if (link_.in_doubt() || !state.has_state) return;
  for (auto& p : peers_)
    if (p.settings.node == state.node) p.next_tell = std::max(p.next_tell, ctx_.now + ctx_.jitter(ctx_.tune.peer_every_s));
}

void Membership::tell(Peer& p) {
  p.telling = true;
  p.next_tell = ctx_.now + ctx_.jitter(ctx_.tune.peer_every_s);
  PeerState own = own_state();
  own.has = p.known;
  ctx_.call(TellPeer{p.settings.address, std::move(own)}, ctx_.tune.peer_every_s,
            [this, &p, asked_at = ctx_.now](CallDone&& d) {
              p.telling = false;
              const auto* state = std::get_if<PeerState>(&d.reply);
              if (d.status != 200 || !state || state->node != p.settings.node) return;
              heard(*state);
              take_over(p, *state, asked_at);
            });
}

void Membership::tick() {
  for (auto& p : peers_)
    if (!p.telling && ctx_.now >= p.next_tell) tell(p);
  divide_budget();

  // Work begins once the model covers all that earlier owners wrote: a job's end
  // noticed before that could not be written, and was lost.
  for (const int part : std::set<int>(gaining_)) {
    if (held(part) == 0) continue;
    gaining_.erase(part);
    ctx_.info("holding part " + std::to_string(part) + " at " + std::to_string(held(part)));
    on_gained(part);
  }
  if (!link_.synced() || !link_.lease_valid()) return;
  // Teams are dealt from the first part on: the leader stands where the fewest are, and those next to it
  // step in for it before the holders of the busiest parts.
  const int n = parts();
  const auto me = static_cast<int>(std::find(nodes_.begin(), nodes_.end(), ctx_.settings.node) - nodes_.begin());
  for (int part = 0; part < n; ++part) consider(part_key(part), part, (me - part + n) % n);
  consider(leader_key, n - 1, (n - 1 - me + n) % n);
  for (const auto& [part, stamp] : std::map<int, uint64_t>(held_)) hand_back(part);
}

// The budget follows the work: who needs more takes what others leave.
void Membership::divide_budget() {
  const double even = 1.0 / static_cast<double>(nodes_.size());
  const double least = even * Tunables::kIdleShare;
  std::vector<double> others;
  for (const auto& p : peers_) {
    if (fresh(p)) {
      // A version that does not tell its need takes by its backlog, and reckons with others that do the same.
      const double told = p.state.budget_need.value_or(even * (1 + std::min(p.state.backlog, 20.0)) / 2);
      others.push_back(std::max(least, told));
    } else if (holds_a_part(p.settings.node)) {
      // We don't hear it, but it is alive behind refused connections and spends, too: with each controller taking the
      // whole budget for its own, all of them were refused for the rate.
      others.push_back(std::max(even, link_.need()));
    }
  }
  link_.set_weight(fair_share(std::max(least, link_.need()), std::move(others)));
}

double Membership::next_due() const {
  if (!absent_since_.empty()) return ctx_.now;  // a key to claim: every moment may count
  double due = kNoDueTime;
  for (const auto& p : peers_)
    if (!p.telling) due = std::min(due, p.next_tell);
  return due;
}

void Membership::consider(const std::string& key, int home, int distance) {
  const auto* h = model_.holder(key);
  if (h && h->present) {
    absent_since_.erase(key);
    // Our own earlier incarnation is dead, whatever its lease says.
    if (h->record.node == ctx_.settings.node && h->record.incarnation != ctx_.incarnation) claim(key, h->stamp);
    return;
  }
  const auto [it, fresh_absence] = absent_since_.emplace(key, ctx_.now);
  // Home first; the others step in one after the other, later if home seems to be alive.
  double wait = ctx_.tune.renew_every_s / 2 * distance;
  if (distance > 0) {
    const Peer* home_peer = peer(nodes_[static_cast<size_t>(home)]);
    if (home_peer && fresh(*home_peer) && home_peer->state.has_state) wait += ctx_.tune.state_lease_s / 2;
  }
  if (ctx_.now - it->second >= wait) claim(key, 0);
}

void Membership::claim(const std::string& key, uint64_t expected) {
  if (claiming_[key]) return;
  claiming_[key] = true;
  WriteRequest w;
  w.key = key;
  w.cause = WriteCause::holder;
  w.prepare = [this, key, expected](Prepared& p) {
    if (model_.stamp_of(key) != expected) return false;
    p.expected = expected;
    p.value = to_json(store::HolderRecord{ctx_.settings.node, ctx_.incarnation});
    p.lease = link_.lease();
    return true;
  };
  // Who holds the key is read off the model (holder_changed).
  w.done = [this, key](WriteOutcome, uint64_t) { claiming_[key] = false; };
  link_.write(std::move(w));
}

void Membership::holder_changed(const std::string& key) {
  const auto* h = model_.holder(key);
  const bool mine = h && h->present && h->record.node == ctx_.settings.node && h->record.incarnation == ctx_.incarnation;
  if (key == leader_key) {
    if (mine != (lead_stamp_ != 0)) ctx_.info(mine ? "leading from now on" : "leading no more");
    lead_stamp_ = mine ? h->stamp : 0;
    return;
  }
  const int part = std::stoi(key.substr(5));
  const auto it = held_.find(part);
  if (mine && (it == held_.end() || it->second != h->stamp)) {
    if (it != held_.end() && !gaining_.count(part)) on_lost(part);
    held_[part] = h->stamp;
    gaining_.insert(part);
  } else if (!mine && it != held_.end()) {
    held_.erase(it);
    ctx_.info("part " + std::to_string(part) + " is held no more");
    if (gaining_.erase(part) == 0) on_lost(part);
  }
}

void Membership::lease_lost() {
  lead_stamp_ = 0;
  const auto lost = std::move(held_);
  held_.clear();
  const auto gaining = std::exchange(gaining_, {});
  for (const auto& [part, stamp] : lost)
    if (!gaining.count(part)) on_lost(part);
}

void Membership::hand_back(int part) {
  const std::string& home = nodes_[static_cast<size_t>(part % parts())];
  if (home == ctx_.settings.node) return;
  const Peer* p = peer(home);
  if (!p || !fresh(*p) || !p->state.has_state || !p->state.synced || ctx_.now - p->steady_since < ctx_.tune.home_steady_s)
    return;
  const std::string key = part_key(part);
  if (claiming_[key]) return;
  claiming_[key] = true;
  ctx_.info("handing part " + std::to_string(part) + " back to " + home);
  WriteRequest w;
  w.key = key;
  w.cause = WriteCause::holder;
  w.prepare = [this, part](Prepared& prepared) {
    prepared.expected = held(part);
    return prepared.expected != 0;
  };
  w.done = [this, key, part](WriteOutcome outcome, uint64_t) {
    claiming_[key] = false;
    (void)part;
    (void)outcome;
  };
  link_.write(std::move(w));
}

}  // namespace rushtrestle::coordination
