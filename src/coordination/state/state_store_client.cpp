#include "coordination/state/state_store_client.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

using store::Change;

/// What one transaction will hold.
struct StateStoreClient::Batch {
  std::vector<ItemPtr> items;
  std::set<std::string> keys, preconditions;
  size_t bytes = 0, ops = 0;
  bool full = false;

  bool takes(const QueuedWrite& item, size_t size) const {
    constexpr size_t kTxnBytes =
        size_t{56} * 1024;  // the service takes 64 KiB; the rest is for the frame
    if (items.empty()) return true;
    std::set<std::string> more = preconditions;
    more.insert(item.request.key);
    for (const auto& c : item.prepared.preconditions) more.insert(c.key);
    return more.size() <= ops * 4 && bytes + size <= kTxnBytes;
  }
  void add(const ItemPtr& item, size_t size) {
    keys.insert(item->request.key);
    preconditions.insert(item->request.key);
    for (const auto& c : item->prepared.preconditions) preconditions.insert(c.key);
    bytes += size;
    items.push_back(item);
    full = item->alone || items.size() >= ops;
  }
};

StateStoreClient::StateStoreClient(Context& context, store::StateCache& state_cache)
    : context_(context), state_cache_(state_cache), queue_(context.tunables, context.operators) {}

void StateStoreClient::succeeded(double sent_at) {
  last_contact_ = std::max(last_contact_, sent_at);
  unavailable_ = false;
}

// With the service slow, single requests go unanswered among others that succeed: each of them put
// the node into the disconnected state, which refused all that waited. Only what was sent after the
// last success says anything.
void StateStoreClient::failed(double sent_at, int status) {
  constexpr int kTooMany = 429;  // it is there, and asks for a pause
  if (sent_at <= last_contact_ || status == kTooMany) return;
  if (!unavailable_) context_.info("state service: no answer or refused");
  unavailable_ = true;
  fail_barriers();
}

void StateStoreClient::set_weight(double share) {
  share_ = share;
  const double rps = context_.settings.state_rps * Tunables::kBudget * share;
  watch_budget_.set_rate(rps * Tunables::kWatchShare);
  barrier_budget_.set_rate(rps * Tunables::kBarrierShare);
  txn_budget_.set_rate(rps * Tunables::kTxnShare);
  const auto& s = context_.settings;
  write_rate_ = (rate_fell_ ? std::min(s.next_write_rps, s.state_write_rps) : s.state_write_rps) *
                Tunables::kBudget * share;
  write_budget_.set_rate(write_rate_);
}

double StateStoreClient::backlog() const {
  return static_cast<double>(queue_.pressing(context_.now));
}

// While others wait too long, acceptances have their part of the puts.
double StateStoreClient::accept_delay(store::Rank rank) const {
  const size_t requests = queue_.waiting_before(WritePriority::request, rank);
  const double rate =
      write_rate_ * (queue_.contended(context_.now) ? Tunables::kContendedShare[0] : 1);
  return static_cast<double>(requests) / std::max(0.1, rate);
}

double StateStoreClient::need() {
  puts_lately_ *= std::exp2((puts_as_of_ - context_.now) / context_.tunables.demand_memory_s);
  puts_as_of_ = context_.now;
  constexpr double kMargin = 1.25;  // for what comes unevenly
  const double whole = context_.settings.state_write_rps * Tunables::kBudget;
  return (puts_lately_ * kMargin + backlog() / context_.tunables.drain_s) / whole;
}

store::Json StateStoreClient::stats() {
  store::Json j = metrics_.to_json();
  j["waiting"] = {{"request", queue_.waiting(WritePriority::request)},
                  {"placement", queue_.waiting(WritePriority::placement)},
                  {"end", queue_.waiting(WritePriority::end)},
                  {"gathered", queue_.waiting(WritePriority::coalesced)},
                  {"display", queue_.waiting(WritePriority::background)}};
  j["share_of_budget"] = share_;
  j["need_of_budget"] = need();
  return j;
}

void StateStoreClient::tick() {
  if (!renewing_ && context_.now >= next_renew_) renew();
  if (!synced_ && !listing_keys_ && context_.now >= next_list_attempt_) start_list();
  if (synced_ && !watching_ && context_.now >= next_watch_ && watch_budget_.ready(context_.now))
    follow();
  for (size_t i = 0; i < lookups_due_.size();) {
    if (context_.now < lookups_due_[i].first) {
      ++i;
      continue;
    }
    ItemPtr item = lookups_due_[i].second;
    lookups_due_.erase(lookups_due_.begin() + static_cast<long>(i));
    look_up(item);
  }
  send_barrier_read();
  settle_barriers();
  flush();
}

// When the first write that waits may leave by the budgets.
double StateStoreClient::writes_due() {
  if (!lease_valid() || txns_in_flight_ >= Tunables::kTxnsInFlight) return kNoDueTime;
  return queue_.next_due(context_.now, [this](double floor) {
    return std::max({hold_writes_until_, txn_budget_.above_at(floor, context_.now),
                     write_budget_.above_at(floor, context_.now)});
  });
}

double StateStoreClient::next_due() {
  double due = kNoDueTime;
  if (!renewing_) due = std::min(due, next_renew_);
  if (lease_valid()) due = std::min(due, lease_until_);
  if (!synced_ && !listing_keys_) due = std::min(due, next_list_attempt_);
  if (synced_ && !watching_)
    due = std::min(due, std::max(next_watch_, watch_budget_.above_at(0, context_.now)));
  for (const auto& [at, item] : lookups_due_) due = std::min(due, at);
  if (!waiting_for_barrier_.empty() && !barrier_read_in_flight_)
    due = std::min(due, barrier_budget_.above_at(0, context_.now));
  for (const auto& proof : barriers_) due = std::min(due, proof.deadline);
  return std::min(due, writes_due());
}

// ---- lease ----

void StateStoreClient::renew() {
  renewing_ = true;
  const double sent = context_.now, timeout = context_.tunables.renew_every_s;
  if (lease_ == 0) {
    context_.call(GrantLease{context_.tunables.state_lease_s}, timeout, [this, sent](CallDone&& d) {
      renewing_ = false;
      const auto* reply = std::get_if<LeaseReply>(&d.reply);
      if (d.status != 200 || !reply) {
        failed(sent, d.status);
        next_renew_ = context_.now + context_.jitter(context_.tunables.renew_every_s / 3);
        return;
      }
      succeeded(sent);
      lease_ = reply->lease;
      // Counted from the sending, less the drift between two machines' clocks. The next one, too:
      // with little processor time an answer is read late, and a lease renewed so long after that
      // would have lapsed.
      lease_until_ = sent + context_.tunables.state_lease_s * 0.998;
      next_renew_ = sent + context_.tunables.renew_every_s;
    });
    return;
  }
  context_.call(RenewLease{lease_}, timeout, [this, sent](CallDone&& d) {
    renewing_ = false;
    if (d.status == 200) {
      succeeded(sent);
      lease_until_ = sent + context_.tunables.state_lease_s * 0.998;
      next_renew_ = sent + context_.tunables.renew_every_s;
    } else if (d.status == 404) {
      succeeded(sent);
      context_.info("our lease at the state service is gone");
      lease_ = 0;
      next_renew_ = context_.now;
      if (on_lease_lost) on_lease_lost();
    } else {
      failed(sent, d.status);
      next_renew_ = context_.now + context_.jitter(context_.tunables.renew_every_s / 3);
    }
  });
}

// ---- state cache ----

namespace {
// Of the changes that the state service keeps for those who follow them, by the protocol.
constexpr uint64_t kKeptChanges = 10000;
}  // namespace

void StateStoreClient::start_list() {
  listing_keys_ = true;
  if (!list_.begun) {
    list_ = {};
    list_.begun = true;
    list_.began = context_.now;
  }
  list_page();
}

// A read that failed goes on where it stopped: from the beginning each time, hundreds of pages
// would never be read from a state service that leaves one request in a hundred unanswered.
void StateStoreClient::pause_list(double sent_at, int status) {
  failed(sent_at, status);
  listing_keys_ = false;
  next_list_attempt_ = context_.now + context_.jitter(context_.tunables.renew_every_s / 2);
}

void StateStoreClient::list_page() {
  const double sent = context_.now;
  context_.call(ListKeys{"", list_.after}, context_.settings.heartbeat_interval_s,
                [this, sent](CallDone&& d) {
                  const auto* page = std::get_if<ListKeysReply>(&d.reply);
                  if (d.status != 200 || !page) return pause_list(sent, d.status);
                  succeeded(sent);
                  on_page_listed(*page);
                });
}

void StateStoreClient::on_page_listed(const ListKeysReply& page) {
  if (list_.first_revision == 0)
    list_.followed = list_.first_revision = std::max<uint64_t>(1, page.revision);
  for (const auto& e : page.entries) {
    list_.seen.insert(e.key);
    if (!state_cache_.apply(e))
      context_.log_rate_limited("record", "record " + e.key + " can't be read");
  }
  if (!page.more || page.entries.empty()) return finish_list();
  list_.after = page.entries.back().key;
  // Half of what is kept, if each transaction holds as many changes as it may.
  const uint64_t most_behind =
      kKeptChanges / 2 / static_cast<uint64_t>(std::max(1, context_.settings.txn_ops));
  page.revision > list_.followed + most_behind ? watch_between_pages() : list_page();
}

// With more changes during the read than the service keeps, the first watch after it was told to
// read again, and so was the one after that: the controller never had a state cache. So changes are
// followed between pages, too.
void StateStoreClient::watch_between_pages() {
  const double sent = context_.now;
  context_.call(Watch{list_.followed, 0}, context_.settings.heartbeat_interval_s,
                [this, sent](CallDone&& d) {
                  const auto* reply = std::get_if<WatchReply>(&d.reply);
                  if (d.status == 410) {  // the pause was too long
                    succeeded(sent);
                    list_ = {};
                    listing_keys_ = false;
                    return;
                  }
                  if (d.status != 200 || !reply) return pause_list(sent, d.status);
                  succeeded(sent);
                  for (const auto& e : reply->events)
                    if (!state_cache_.apply(e))
                      context_.log_rate_limited("record", "record " + e.key + " can't be read");
                  list_.followed = std::max(list_.followed, reply->revision);
                  list_page();
                });
}

void StateStoreClient::finish_list() {
  // Leased keys are the only ones that vanish; a gap may have hidden it.
  std::vector<std::string> leased{store::leader_key};
  for (int p = 0; p < context_.settings.nodes; ++p) leased.push_back(store::shard_key(p));
  const uint64_t first = list_.first_revision;
  for (const auto& key : leased)
    if (!list_.seen.count(key) && state_cache_.mod_revision_of(key) != 0 &&
        state_cache_.mod_revision_of(key) <= first)
      state_cache_.apply(Change{key, std::nullopt, first});
  state_cache_.reached(list_.followed);
  listing_keys_ = false;
  synced_ = true;
  current_at_ = std::max(current_at_, list_.began);
  list_ = {};
  context_.info("model read up to revision " + std::to_string(state_cache_.revision()));
  model_advanced();
}

void StateStoreClient::follow() {
  watching_ = true;
  watch_budget_.take(1);
  const double sent = context_.now;
  context_.call(Watch{state_cache_.revision(), context_.tunables.watch_hold_s},
                context_.tunables.watch_hold_s + context_.settings.heartbeat_interval_s,
                [this, sent](CallDone&& d) {
                  watching_ = false;
                  auto* reply = std::get_if<WatchReply>(&d.reply);
                  if (d.status == 410) {
                    synced_ = false;
                    return;
                  }
                  if (d.status != 200 || !reply) {
                    failed(sent, d.status);
                    next_watch_ =
                        context_.now + context_.jitter(context_.tunables.renew_every_s / 4);
                    return;
                  }
                  succeeded(sent);
                  for (const auto& e : reply->events)
                    if (!state_cache_.apply(e))
                      context_.log_rate_limited("record", "record " + e.key + " can't be read");
                  state_cache_.reached(reply->revision);
                  current_at_ = std::max(current_at_, sent);
                  model_advanced();
                });
}

void StateStoreClient::model_advanced() { settle_barriers(); }

// ---- proofs ----

void StateStoreClient::wait_for_read_barrier(std::function<void(bool)> then) {
  if (disconnected()) {
    then(false);
    return;
  }
  waiting_for_barrier_.push_back(std::move(then));
}

void StateStoreClient::send_barrier_read() {
  if (waiting_for_barrier_.empty() || barrier_read_in_flight_ ||
      !barrier_budget_.ready(context_.now))
    return;
  barrier_budget_.take(1);
  barrier_read_in_flight_ = true;
  const double sent = context_.now;
  auto waiting =
      std::make_shared<std::vector<std::function<void(bool)>>>(std::move(waiting_for_barrier_));
  waiting_for_barrier_.clear();
  // A key that nobody writes: its 404 carries the service's revision.
  context_.call(ReadKey{"none"}, context_.tunables.poll_wait_s * 0.6,
                [this, sent, waiting](CallDone&& d) {
                  barrier_read_in_flight_ = false;
                  const auto* reply = std::get_if<KeyReply>(&d.reply);
                  if (d.status != 404 || !reply) {
                    failed(sent, d.status);
                    for (auto& w : *waiting) w(false);
                    return;
                  }
                  succeeded(sent);
                  barriers_.push_back({reply->revision, sent,
                                       context_.now + context_.tunables.poll_wait_s * 0.6,
                                       std::move(*waiting)});
                  settle_barriers();
                });
}

void StateStoreClient::settle_barriers() {
  for (size_t i = 0; i < barriers_.size();) {
    const bool ok = synced_ && state_cache_.revision() >= barriers_[i].revision;
    if (!ok && context_.now < barriers_[i].deadline) {
      ++i;
      continue;
    }
    // All that was durable when the read was sent is known. An open watch tells that only once it
    // is answered, and in an outage it is not: workers were answered for some seconds less than
    // they might have been.
    if (ok) current_at_ = std::max(current_at_, barriers_[i].sent_at);
    auto waiting = std::move(barriers_[i].waiting);
    barriers_.erase(barriers_.begin() + static_cast<long>(i));
    for (auto& w : waiting) w(ok);
  }
}

void StateStoreClient::fail_barriers() {
  auto waiting = std::move(waiting_for_barrier_);
  waiting_for_barrier_.clear();
  for (auto& w : waiting) w(false);
}

// ---- writes ----

void StateStoreClient::write(WriteRequest request) {
  auto item = std::make_shared<QueuedWrite>();
  item->request = std::move(request);
  queue_.add(item, context_.now);
}

bool StateStoreClient::prepare(QueuedWrite& item) {
  item.prepared = {};
  if (!item.request.prepare(item.prepared)) return false;
  if (!item.prepared.value) return true;
  item.writer = context_.incarnation + "." + std::to_string(++writes_);
  (*item.prepared.value)["w"] = item.writer;
  return true;
}

void StateStoreClient::fill(Batch& batch) {
  constexpr size_t kFrameOfWrite = 200;
  queue_.begin_transaction();
  for (bool again = true; again && !batch.full;) {
    again = false;
    const auto is_busy = [&](const std::string& key) {
      return keys_in_flight_.count(key) != 0 || batch.keys.count(key) != 0;
    };
    for (const auto& item :
         queue_.candidates(context_.now, write_level(), batch.ops - batch.items.size(), is_busy)) {
      if (batch.keys.count(item->request.key) || (item->alone && !batch.items.empty())) continue;
      queue_.take(item);
      if (!prepare(*item)) {
        item->request.done(WriteOutcome::skipped, 0);
        again = true;  // its slot is for another, and the callback may have queued more
        continue;
      }
      const size_t size =
          kFrameOfWrite + (item->prepared.value ? item->prepared.value->dump().size() : 0);
      if (!batch.takes(*item, size)) {
        metrics_.cut_short();
        queue_.put_first(item);
        batch.full = true;
        return;
      }
      batch.add(item, size);
      if (batch.full) return;
    }
  }
}

StallReason StateStoreClient::stall_reason() {
  if (!queue_.anything_pressing(context_.now)) return StallReason::none;
  if (!lease_valid()) return StallReason::no_lease;
  if (context_.now < hold_writes_until_) return StallReason::pause;
  if (txns_in_flight_ >= Tunables::kTxnsInFlight) return StallReason::in_flight;
  const double writes = write_budget_.level(context_.now),
               transactions = txn_budget_.level(context_.now);
  if (std::min(writes, transactions) > 0) return StallReason::record_in_flight;
  return writes <= transactions ? StallReason::write_rate : StallReason::transaction_rate;
}

void StateStoreClient::flush() {
  while (txns_in_flight_ < Tunables::kTxnsInFlight && context_.now >= hold_writes_until_ &&
         lease_valid()) {
    Batch batch;
    batch.ops = static_cast<size_t>(context_.settings.txn_ops);
    fill(batch);
    if (batch.items.empty()) break;
    send(std::move(batch.items));
  }
  metrics_.stalled(stall_reason(), context_.now, write_rate_);
}

void StateStoreClient::send(std::vector<ItemPtr> items) {
  Txn txn;
  std::map<std::string, uint64_t> preconditions;
  for (const auto& item : items) {
    preconditions[item->request.key] = item->prepared.expected;
    for (const auto& c : item->prepared.preconditions) preconditions.emplace(c.key, c.mod_revision);
    txn.writes.push_back({item->request.key, item->prepared.value, item->prepared.lease});
    keys_in_flight_.insert(item->request.key);
  }
  for (const auto& [key, mod_revision] : preconditions)
    txn.preconditions.push_back({key, mod_revision});
  txn_budget_.take(1);
  write_budget_.take(static_cast<double>(items.size()));
  need();  // brings the count of puts up to now
  puts_lately_ +=
      static_cast<double>(items.size()) * std::log(2.0) / context_.tunables.demand_memory_s;
  ++txns_in_flight_;
  const double sent = context_.now;
  context_.call(std::move(txn), context_.tunables.poll_wait_s,
                [this, sent, items = std::move(items)](CallDone&& d) mutable {
                  finished(std::move(items), sent, std::move(d));
                });
}

void StateStoreClient::finished(std::vector<ItemPtr> items, double sent_at, CallDone&& d) {
  --txns_in_flight_;
  const auto* reply = std::get_if<TxnReply>(&d.reply);
  if (d.status == 200 && reply) {
    succeeded(sent_at);
    for (const auto& item : items) {
      keys_in_flight_.erase(item->request.key);
      metrics_.put(item->request.cause, sent_at - item->queued_at);
      state_cache_.apply(Change{item->request.key, item->prepared.value, reply->revision});
    }
    for (const auto& item : items) item->request.done(WriteOutcome::applied, reply->revision);
    return;
  }
  if (d.status == 409 && reply) {
    succeeded(sent_at);
    const std::set<std::string> bad(reply->failed.begin(), reply->failed.end());
    for (auto it = items.rbegin(); it != items.rend(); ++it) {
      const auto& p = (*it)->prepared;
      const bool hit = bad.count((*it)->request.key) ||
                       std::any_of(p.preconditions.begin(), p.preconditions.end(),
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
    context_.counters[d.status == 429 ? "state_429" : "state_503"]++;
    if (d.status == 429 && context_.settings.next_write_rps > 0) rate_fell_ = true;
    hold_writes_until_ =
        context_.now + context_.jitter(d.status == 429
                                           ? context_.settings.heartbeat_interval_s / 20
                                           : context_.settings.heartbeat_interval_s / 5);
    for (auto it = items.rbegin(); it != items.rend(); ++it) {
      keys_in_flight_.erase((*it)->request.key);
      queue_.put_back(*it);
    }
    return;
  }
  context_.log_rate_limited("txn", "state service refused a transaction of " +
                                       std::to_string(items.size()) + " writes, the first of " +
                                       items.front()->request.key + ", with status " +
                                       std::to_string(d.status));
  if (items.size() == 1 && items.front()->prepared.value &&
      oversized(*items.front()->prepared.value))
    limit_fell_ = true;
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

void StateStoreClient::look_up(const ItemPtr& item) {
  const double sent = context_.now;
  context_.call(
      ReadKey{item->request.key}, context_.tunables.poll_wait_s, [this, sent, item](CallDone&& d) {
        const auto* reply = std::get_if<KeyReply>(&d.reply);
        if ((d.status != 200 && d.status != 404) || !reply) {
          failed(sent, d.status);
          // The key stays blocked until its value is known; a pause, then again.
          lookups_due_.emplace_back(
              context_.now + context_.jitter(context_.tunables.renew_every_s / 3), item);
          return;
        }
        succeeded(sent);
        keys_in_flight_.erase(item->request.key);
        uint64_t mod_revision = 0;
        std::string writer;
        if (reply->entry) {
          mod_revision = reply->entry->mod_revision;
          if (reply->entry->value->is_object()) writer = reply->entry->value->value("w", "");
          state_cache_.apply(*reply->entry);
        }
        if (!item->writer.empty() && writer == item->writer) {
          item->request.done(WriteOutcome::applied, mod_revision);
        } else {
          const bool may_follow = mod_revision == item->prepared.expected;
          item->request.done(may_follow ? WriteOutcome::unsettled : WriteOutcome::conflict,
                             mod_revision);
        }
      });
}

}  // namespace rushtrestle::coordination
