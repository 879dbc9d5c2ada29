#include "coordination/state_link.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

using store::Change;

/// What one transaction will hold.
struct StateLink::Batch {
  std::vector<ItemPtr> items;
  std::set<std::string> keys, conditions;
  size_t bytes = 0, ops = 0;
  bool full = false;

  bool takes(const QueuedWrite& item, size_t size) const {
    constexpr size_t kTxnBytes = size_t{56} * 1024;  // the service takes 64 KiB; the rest is for the frame
    if (items.empty()) return true;
    std::set<std::string> more = conditions;
    more.insert(item.request.key);
    for (const auto& c : item.prepared.conditions) more.insert(c.key);
    return more.size() <= ops * 4 && bytes + size <= kTxnBytes;
  }
  void add(const ItemPtr& item, size_t size) {
    keys.insert(item->request.key);
    conditions.insert(item->request.key);
    for (const auto& c : item->prepared.conditions) conditions.insert(c.key);
    bytes += size;
    items.push_back(item);
    full = item->alone || items.size() >= ops;
  }
};

StateLink::StateLink(Context& ctx, store::Model& model) : ctx_(ctx), model_(model), queue_(ctx.tune, ctx.operators) {}

void StateLink::succeeded(double sent_at) {
  last_contact_ = std::max(last_contact_, sent_at);
  failing_ = false;
}

// With the service slow, single requests go unanswered among others that succeed: each of them put the node
// in doubt, which refused all that waited. Only what was sent after the last success says anything.
void StateLink::failed(double sent_at, int status) {
  constexpr int kTooMany = 429;  // it is there, and asks for a pause
  if (sent_at <= last_contact_ || status == kTooMany) return;
  if (!failing_) ctx_.info("state service: no answer or refused");
  failing_ = true;
  fail_proofs();
}

void StateLink::set_weight(double share) {
  share_ = share;
  const double rps = ctx_.settings.state_rps * Tunables::kBudget * share;
  watch_budget_.set_rate(rps * Tunables::kWatchShare);
  proof_budget_.set_rate(rps * Tunables::kProofShare);
  txn_budget_.set_rate(rps * Tunables::kTxnShare);
  const auto& s = ctx_.settings;
  write_rate_ = (rate_fell_ ? std::min(s.next_write_rps, s.state_write_rps) : s.state_write_rps) * Tunables::kBudget * share;
  write_budget_.set_rate(write_rate_);
}

double StateLink::backlog() const { return static_cast<double>(queue_.pressing(ctx_.now)); }

// While others wait too long, acceptances have their part of the puts.
double StateLink::accept_delay(store::Rank rank) const {
  const size_t requests = queue_.waiting_before(WritePriority::request, rank);
  const double rate = write_rate_ * (queue_.contended(ctx_.now) ? Tunables::kContendedShare[0] : 1);
  return static_cast<double>(requests) / std::max(0.1, rate);
}

double StateLink::need() {
  puts_lately_ *= std::exp2((puts_as_of_ - ctx_.now) / ctx_.tune.demand_memory_s);
  puts_as_of_ = ctx_.now;
  constexpr double kMargin = 1.25;  // for what comes unevenly
  const double whole = ctx_.settings.state_write_rps * Tunables::kBudget;
  return (puts_lately_ * kMargin + backlog() / ctx_.tune.drain_s) / whole;
}

store::Json StateLink::stats() {
  store::Json j = ledger_.to_json();
  j["waiting"] = {{"request", queue_.waiting(WritePriority::request)},
                  {"placement", queue_.waiting(WritePriority::placement)},
                  {"end", queue_.waiting(WritePriority::end)},
                  {"gathered", queue_.waiting(WritePriority::gathered)},
                  {"display", queue_.waiting(WritePriority::display)}};
  j["share_of_budget"] = share_;
  j["need_of_budget"] = need();
  return j;
}

void StateLink::tick() {
  if (!renewing_ && ctx_.now >= next_renew_) renew();
  if (!synced_ && !syncing_ && ctx_.now >= next_sync_) start_sync();
  if (synced_ && !following_ && ctx_.now >= next_follow_ && watch_budget_.ready(ctx_.now)) follow();
  for (size_t i = 0; i < lookups_due_.size();) {
    if (ctx_.now < lookups_due_[i].first) {
      ++i;
      continue;
    }
    ItemPtr item = lookups_due_[i].second;
    lookups_due_.erase(lookups_due_.begin() + static_cast<long>(i));
    look_up(item);
  }
  send_proof();
  settle_proofs();
  flush();
}

// When the first write that waits may leave by the budgets.
double StateLink::writes_due() {
  if (!lease_valid() || txns_in_flight_ >= Tunables::kTxnsInFlight) return kNoDueTime;
  return queue_.next_due(ctx_.now, [this](double floor) {
    return std::max({hold_writes_until_, txn_budget_.above_at(floor, ctx_.now), write_budget_.above_at(floor, ctx_.now)});
  });
}

double StateLink::next_due() {
  double due = kNoDueTime;
  if (!renewing_) due = std::min(due, next_renew_);
  if (lease_valid()) due = std::min(due, lease_until_);
  if (!synced_ && !syncing_) due = std::min(due, next_sync_);
  if (synced_ && !following_) due = std::min(due, std::max(next_follow_, watch_budget_.above_at(0, ctx_.now)));
  for (const auto& [at, item] : lookups_due_) due = std::min(due, at);
  if (!unproven_.empty() && !proving_) due = std::min(due, proof_budget_.above_at(0, ctx_.now));
  for (const auto& proof : proofs_) due = std::min(due, proof.deadline);
  return std::min(due, writes_due());
}

// ---- lease ----

void StateLink::renew() {
  renewing_ = true;
  const double sent = ctx_.now, timeout = ctx_.tune.renew_every_s;
  if (lease_ == 0) {
    ctx_.call(GrantLease{ctx_.tune.state_lease_s}, timeout, [this, sent](CallDone&& d) {
      renewing_ = false;
      const auto* reply = std::get_if<LeaseReply>(&d.reply);
      if (d.status != 200 || !reply) {
        failed(sent, d.status);
        next_renew_ = ctx_.now + ctx_.jitter(ctx_.tune.renew_every_s / 3);
        return;
      }
      succeeded(sent);
      lease_ = reply->lease;
      // Counted from the sending, less the drift between two machines' clocks. The next one, too: with little processor
      // time an answer is read late, and a lease renewed so long after that would have lapsed.
      lease_until_ = sent + ctx_.tune.state_lease_s * 0.998;
      next_renew_ = sent + ctx_.tune.renew_every_s;
    });
    return;
  }
  ctx_.call(ExtendLease{lease_}, timeout, [this, sent](CallDone&& d) {
    renewing_ = false;
    if (d.status == 200) {
      succeeded(sent);
      lease_until_ = sent + ctx_.tune.state_lease_s * 0.998;
      next_renew_ = sent + ctx_.tune.renew_every_s;
    } else if (d.status == 404) {
      succeeded(sent);
      ctx_.info("our lease at the state service is gone");
      lease_ = 0;
      next_renew_ = ctx_.now;
      if (on_lease_lost) on_lease_lost();
    } else {
      failed(sent, d.status);
      next_renew_ = ctx_.now + ctx_.jitter(ctx_.tune.renew_every_s / 3);
    }
  });
}

// ---- model ----

namespace {
// Of the changes that the state service keeps for those who follow them, by the protocol.
constexpr uint64_t kKeptChanges = 10000;
}  // namespace

void StateLink::start_sync() {
  syncing_ = true;
  if (!sync_.begun) {
    sync_ = {};
    sync_.begun = true;
    sync_.began = ctx_.now;
  }
  read_page();
}

// A read that failed goes on where it stopped: from the beginning each time, hundreds of pages would never be read
// from a state service that leaves one request in a hundred unanswered.
void StateLink::pause_sync(double sent_at, int status) {
  failed(sent_at, status);
  syncing_ = false;
  next_sync_ = ctx_.now + ctx_.jitter(ctx_.tune.renew_every_s / 2);
}

void StateLink::read_page() {
  const double sent = ctx_.now;
  ctx_.call(ReadPage{"", sync_.after}, ctx_.settings.report_s, [this, sent](CallDone&& d) {
    const auto* page = std::get_if<PageReply>(&d.reply);
    if (d.status != 200 || !page) return pause_sync(sent, d.status);
    succeeded(sent);
    page_read(*page);
  });
}

void StateLink::page_read(const PageReply& page) {
  if (sync_.first_revision == 0) sync_.followed = sync_.first_revision = std::max<uint64_t>(1, page.revision);
  for (const auto& e : page.entries) {
    sync_.seen.insert(e.key);
    if (!model_.apply(e)) ctx_.complain("record", "record " + e.key + " can't be read");
  }
  if (!page.more || page.entries.empty()) return finish_sync();
  sync_.after = page.entries.back().key;
  // Half of what is kept, if each transaction holds as many changes as it may.
  const uint64_t most_behind = kKeptChanges / 2 / static_cast<uint64_t>(std::max(1, ctx_.settings.txn_ops));
  page.revision > sync_.followed + most_behind ? catch_up() : read_page();
}

// With more changes during the read than the service keeps, the first watch after it was told to read again, and so
// was the one after that: the controller never had a model. So changes are followed between pages, too.
void StateLink::catch_up() {
  const double sent = ctx_.now;
  ctx_.call(Watch{sync_.followed, 0}, ctx_.settings.report_s, [this, sent](CallDone&& d) {
    const auto* reply = std::get_if<WatchReply>(&d.reply);
    if (d.status == 410) {  // the pause was too long
      succeeded(sent);
      sync_ = {};
      syncing_ = false;
      return;
    }
    if (d.status != 200 || !reply) return pause_sync(sent, d.status);
    succeeded(sent);
    for (const auto& e : reply->events)
      if (!model_.apply(e)) ctx_.complain("record", "record " + e.key + " can't be read");
    sync_.followed = std::max(sync_.followed, reply->revision);
    read_page();
  });
}

void StateLink::finish_sync() {
  // Leased keys are the only ones that vanish; a gap may have hidden it.
  std::vector<std::string> leased{store::leader_key};
  for (int p = 0; p < ctx_.settings.nodes; ++p) leased.push_back(store::part_key(p));
  const uint64_t first = sync_.first_revision;
  for (const auto& key : leased)
    if (!sync_.seen.count(key) && model_.stamp_of(key) != 0 && model_.stamp_of(key) <= first)
      model_.apply(Change{key, std::nullopt, first});
  model_.reached(sync_.followed);
  syncing_ = false;
  synced_ = true;
  current_at_ = std::max(current_at_, sync_.began);
  sync_ = {};
  ctx_.info("model read up to revision " + std::to_string(model_.revision()));
  model_advanced();
}

void StateLink::follow() {
  following_ = true;
  watch_budget_.take(1);
  const double sent = ctx_.now;
  ctx_.call(Watch{model_.revision(), ctx_.tune.watch_hold_s}, ctx_.tune.watch_hold_s + ctx_.settings.report_s,
            [this, sent](CallDone&& d) {
              following_ = false;
              auto* reply = std::get_if<WatchReply>(&d.reply);
              if (d.status == 410) {
                synced_ = false;
                return;
              }
              if (d.status != 200 || !reply) {
                failed(sent, d.status);
                next_follow_ = ctx_.now + ctx_.jitter(ctx_.tune.renew_every_s / 4);
                return;
              }
              succeeded(sent);
              for (const auto& e : reply->events)
                if (!model_.apply(e)) ctx_.complain("record", "record " + e.key + " can't be read");
              model_.reached(reply->revision);
              current_at_ = std::max(current_at_, sent);
              model_advanced();
            });
}

void StateLink::model_advanced() { settle_proofs(); }

// ---- proofs ----

void StateLink::prove(std::function<void(bool)> then) {
  if (in_doubt()) {
    then(false);
    return;
  }
  unproven_.push_back(std::move(then));
}

void StateLink::send_proof() {
  if (unproven_.empty() || proving_ || !proof_budget_.ready(ctx_.now)) return;
  proof_budget_.take(1);
  proving_ = true;
  const double sent = ctx_.now;
  auto waiting = std::make_shared<std::vector<std::function<void(bool)>>>(std::move(unproven_));
  unproven_.clear();
  // A key that nobody writes: its 404 carries the service's revision.
  ctx_.call(ReadKey{"none"}, ctx_.tune.poll_wait_s * 0.6, [this, sent, waiting](CallDone&& d) {
    proving_ = false;
    const auto* reply = std::get_if<KeyReply>(&d.reply);
    if (d.status != 404 || !reply) {
      failed(sent, d.status);
      for (auto& w : *waiting) w(false);
      return;
    }
    succeeded(sent);
    proofs_.push_back({reply->revision, sent, ctx_.now + ctx_.tune.poll_wait_s * 0.6, std::move(*waiting)});
    settle_proofs();
  });
}

void StateLink::settle_proofs() {
  for (size_t i = 0; i < proofs_.size();) {
    const bool ok = synced_ && model_.revision() >= proofs_[i].revision;
    if (!ok && ctx_.now < proofs_[i].deadline) {
      ++i;
      continue;
    }
    // All that was durable when the read was sent is known. An open watch tells that only once it is answered, and in
    // an outage it is not: workers were answered for some seconds less than they might have been.
    if (ok) current_at_ = std::max(current_at_, proofs_[i].sent_at);
    auto waiting = std::move(proofs_[i].waiting);
    proofs_.erase(proofs_.begin() + static_cast<long>(i));
    for (auto& w : waiting) w(ok);
  }
}

void StateLink::fail_proofs() {
  auto waiting = std::move(unproven_);
  unproven_.clear();
  for (auto& w : waiting) w(false);
}

// ---- writes ----

void StateLink::write(WriteRequest request) {
  auto item = std::make_shared<QueuedWrite>();
  item->request = std::move(request);
  queue_.add(item, ctx_.now);
}

bool StateLink::prepare(QueuedWrite& item) {
  item.prepared = {};
  if (!item.request.prepare(item.prepared)) return false;
  if (!item.prepared.value) return true;
  item.writer = ctx_.incarnation + "." + std::to_string(++writes_);
  (*item.prepared.value)["w"] = item.writer;
  return true;
}

void StateLink::fill(Batch& batch) {
  constexpr size_t kFrameOfWrite = 200;
  queue_.begin_transaction();
  for (bool again = true; again && !batch.full;) {
    again = false;
    const auto is_busy = [&](const std::string& key) {
      return keys_in_flight_.count(key) != 0 || batch.keys.count(key) != 0;
    };
    for (const auto& item : queue_.candidates(ctx_.now, write_level(), batch.ops - batch.items.size(), is_busy)) {
      if (batch.keys.count(item->request.key) || (item->alone && !batch.items.empty())) continue;
      queue_.take(item);
      if (!prepare(*item)) {
        item->request.done(WriteOutcome::skipped, 0);
        again = true;  // its slot is for another, and the callback may have queued more
        continue;
      }
      const size_t size = kFrameOfWrite + (item->prepared.value ? item->prepared.value->dump().size() : 0);
      if (!batch.takes(*item, size)) {
        ledger_.cut_short();
        queue_.put_first(item);
        batch.full = true;
        return;
      }
      batch.add(item, size);
      if (batch.full) return;
    }
  }
}

WriteHindrance StateLink::hindrance() {
  if (!queue_.anything_pressing(ctx_.now)) return WriteHindrance::none;
  if (!lease_valid()) return WriteHindrance::no_lease;
  if (ctx_.now < hold_writes_until_) return WriteHindrance::pause;
  if (txns_in_flight_ >= Tunables::kTxnsInFlight) return WriteHindrance::in_flight;
  const double writes = write_budget_.level(ctx_.now), transactions = txn_budget_.level(ctx_.now);
  if (std::min(writes, transactions) > 0) return WriteHindrance::record_in_flight;
  return writes <= transactions ? WriteHindrance::write_rate : WriteHindrance::transaction_rate;
}

void StateLink::flush() {
  while (txns_in_flight_ < Tunables::kTxnsInFlight && ctx_.now >= hold_writes_until_ && lease_valid()) {
    Batch batch;
    batch.ops = static_cast<size_t>(ctx_.settings.txn_ops);
    fill(batch);
    if (batch.items.empty()) break;
    send(std::move(batch.items));
  }
  ledger_.hindered(hindrance(), ctx_.now, write_rate_);
}

void StateLink::send(std::vector<ItemPtr> items) {
  Txn txn;
  std::map<std::string, uint64_t> conditions;
  for (const auto& item : items) {
    conditions[item->request.key] = item->prepared.expected;
    for (const auto& c : item->prepared.conditions) conditions.emplace(c.key, c.stamp);
    txn.writes.push_back({item->request.key, item->prepared.value, item->prepared.lease});
    keys_in_flight_.insert(item->request.key);
  }
  for (const auto& [key, stamp] : conditions) txn.conditions.push_back({key, stamp});
  txn_budget_.take(1);
  write_budget_.take(static_cast<double>(items.size()));
  need();  // brings the count of puts up to now
  puts_lately_ += static_cast<double>(items.size()) * std::log(2.0) / ctx_.tune.demand_memory_s;
  ++txns_in_flight_;
  const double sent = ctx_.now;
  ctx_.call(std::move(txn), ctx_.tune.poll_wait_s, [this, sent, items = std::move(items)](CallDone&& d) mutable {
    finished(std::move(items), sent, std::move(d));
  });
}

void StateLink::finished(std::vector<ItemPtr> items, double sent_at, CallDone&& d) {
  --txns_in_flight_;
  const auto* reply = std::get_if<TxnReply>(&d.reply);
  if (d.status == 200 && reply) {
    succeeded(sent_at);
    for (const auto& item : items) {
      keys_in_flight_.erase(item->request.key);
      ledger_.put(item->request.cause, sent_at - item->queued_at);
      model_.apply(Change{item->request.key, item->prepared.value, reply->revision});
    }
    for (const auto& item : items) item->request.done(WriteOutcome::applied, reply->revision);
    return;
  }
  if (d.status == 409 && reply) {
    succeeded(sent_at);
    const std::set<std::string> bad(reply->failed.begin(), reply->failed.end());
    for (auto it = items.rbegin(); it != items.rend(); ++it) {
      const auto& p = (*it)->prepared;
      const bool hit = bad.count((*it)->request.key) || std::any_of(p.conditions.begin(), p.conditions.end(),
                                                                    [&](const auto& c) { return bad.count(c.key); });
      if (hit) {
        look_up(*it);
      } else {
        keys_in_flight_.erase((*it)->request.key);
        queue_.put_back(*it);
      }
    }
    return;
  }
  if (d.status == 0) {
    // It may have been carried out, or may yet be: read before deciding.
    failed(sent_at, d.status);
    for (const auto& item : items) look_up(item);
    return;
  }
  if (d.status == 503 || d.status == 429) {
    if (d.status == 503) failed(sent_at, d.status);
    ctx_.counters[d.status == 429 ? "state_429" : "state_503"]++;
    if (d.status == 429 && ctx_.settings.next_write_rps > 0) rate_fell_ = true;
    hold_writes_until_ = ctx_.now + ctx_.jitter(d.status == 429 ? ctx_.settings.report_s / 20 : ctx_.settings.report_s / 5);
    for (auto it = items.rbegin(); it != items.rend(); ++it) {
      keys_in_flight_.erase((*it)->request.key);
      queue_.put_back(*it);
    }
    return;
  }
  ctx_.complain("txn", "state service refused a transaction of " + std::to_string(items.size()) + " writes, the first of " +
                           items.front()->request.key + ", with status " + std::to_string(d.status));
  if (items.size() == 1 && items.front()->prepared.value && oversized(*items.front()->prepared.value)) limit_fell_ = true;
  for (const auto& item : items) {
    keys_in_flight_.erase(item->request.key);
    // One bad write must not take the others of its transaction with it.
    if (items.size() > 1 && item->prepared.lease == 0) {
      item->alone = true;
      queue_.put_back(item);
    } else {
      item->request.done(WriteOutcome::refused, 0);
    }
  }
}

void StateLink::look_up(const ItemPtr& item) {
  const double sent = ctx_.now;
  ctx_.call(ReadKey{item->request.key}, ctx_.tune.poll_wait_s, [this, sent, item](CallDone&& d) {
    const auto* reply = std::get_if<KeyReply>(&d.reply);
    if ((d.status != 200 && d.status != 404) || !reply) {
      failed(sent, d.status);
      // The key stays blocked until its value is known; a pause, then again.
      lookups_due_.emplace_back(ctx_.now + ctx_.jitter(ctx_.tune.renew_every_s / 3), item);
      return;
    }
    succeeded(sent);
    keys_in_flight_.erase(item->request.key);
    uint64_t stamp = 0;
    std::string writer;
    if (reply->entry) {
      stamp = reply->entry->stamp;
      if (reply->entry->value->is_object()) writer = reply->entry->value->value("w", "");
      model_.apply(*reply->entry);
    }
    if (!item->writer.empty() && writer == item->writer) {
      item->request.done(WriteOutcome::applied, stamp);
    } else {
      const bool may_follow = stamp == item->prepared.expected;
      item->request.done(may_follow ? WriteOutcome::unsettled : WriteOutcome::conflict, stamp);
    }
  });
}

}  // namespace rushtrestle::coordination
