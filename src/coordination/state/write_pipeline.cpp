#include "coordination/state/write_pipeline.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

#include "coordination/state/response_status.h"

namespace rushtrestle::coordination {

namespace {

// The heartbeat interval divided by these numbers is the pause after a rate limit refusal (429) and
// after an unavailable answer (503).
constexpr double kRateLimitPausesPerHeartbeat = 20;
constexpr double kOutagePausesPerHeartbeat = 5;

}  // namespace

WritePipeline::WritePipeline(Context& context, store::StateCache& state_cache,
                             StoreConnectivity& connectivity, const LeaseKeeper& lease_keeper,
                             RequestBudgets& budgets)
    : context_(context),
      state_cache_(state_cache),
      connectivity_(connectivity),
      lease_keeper_(lease_keeper),
      budgets_(budgets),
      queue_(context.tunables, context.operators),
      demand_(context.tunables.write_demand_half_life_s),
      outcome_lookup_(context, state_cache, connectivity) {
  outcome_lookup_.on_key_read = [this](const std::string& key) { keys_in_flight_.erase(key); };
}

void WritePipeline::enqueue(WriteRequest request) {
  auto write = std::make_shared<QueuedWrite>();
  write->request = std::move(request);
  queue_.add(write, context_.now);
}

// ---- load and statistics ----

double WritePipeline::backlog() const {
  return static_cast<double>(queue_.waiting_for_budget(context_.now));
}

double WritePipeline::needed_budget_share() {
  constexpr double kBurstMargin = 1.25;  // allows for uneven arrival of writes
  const double whole_budget = context_.settings.state_write_rps * Tunables::kRateLimitShare;
  return (demand_.writes_per_second(context_.now) * kBurstMargin +
          backlog() / context_.tunables.backlog_drain_s) /
         whole_budget;
}

// While writes of lower priorities are overdue, acceptances only get their share of the write rate.
double WritePipeline::acceptance_delay_s(store::Rank rank) const {
  constexpr double kMinRate = 0.1;  // writes per second; keeps the delay finite at a rate of 0
  const size_t requests_before = queue_.waiting_before(WritePriority::request, rank);
  const double rate = budgets_.writes_per_second() *
                      (queue_.contended(context_.now) ? Tunables::kContendedShare[0] : 1);
  return static_cast<double>(requests_before) / std::max(kMinRate, rate);
}

bool WritePipeline::oversized(const store::Json& value) const {
  constexpr double kBytesPerKb = 1024;
  return store::stored_size(value) > static_cast<size_t>(context_.settings.value_kb * kBytesPerKb);
}

bool WritePipeline::will_be_refused(const store::Json& value) const {
  return oversized_value_refused_ && oversized(value);
}

store::Json WritePipeline::stats() {
  store::Json body = metrics_.to_json();
  body["waiting"] = {{"request", queue_.waiting(WritePriority::request)},
                     {"placement", queue_.waiting(WritePriority::placement)},
                     {"end", queue_.waiting(WritePriority::completion)},
                     {"gathered", queue_.waiting(WritePriority::coalesced)},
                     {"display", queue_.waiting(WritePriority::background)}};
  body["share_of_budget"] = budgets_.share();
  body["need_of_budget"] = needed_budget_share();
  return body;
}

// ---- sending ----

bool WritePipeline::can_send() const {
  return transactions_in_flight_ < Tunables::kTxnsInFlight && context_.now >= paused_until_ &&
         lease_keeper_.valid();
}

double WritePipeline::next_due() { return std::min(outcome_lookup_.next_due(), next_write_due()); }

// Returns the steady time in seconds at which the budgets allow the first waiting write.
double WritePipeline::next_write_due() {
  if (!lease_keeper_.valid() || transactions_in_flight_ >= Tunables::kTxnsInFlight)
    return kNoDueTime;
  return queue_.next_due(context_.now, [this](double floor) {
    return std::max(paused_until_, budgets_.time_writes_above(floor, context_.now));
  });
}

void WritePipeline::flush() {
  while (can_send()) {
    const TransactionBatch batch = next_batch();
    if (batch.empty()) break;
    send(batch);
  }
  metrics_.record_stall(stall_reason(), context_.now, budgets_.writes_per_second());
}

TransactionBatch WritePipeline::next_batch() {
  TransactionBatch batch(static_cast<size_t>(context_.settings.txn_ops));
  queue_.begin_transaction();
  while (!batch.full() && add_candidates(batch) == BatchStep::more) {
  }
  return batch;
}

// A write whose `prepare` finds nothing to write frees its slot for another write, and its `done`
// may have enqueued more writes. In this case the queue is asked for candidates again.
WritePipeline::BatchStep WritePipeline::add_candidates(TransactionBatch& batch) {
  const auto is_busy = [&](const std::string& key) {
    return keys_in_flight_.count(key) != 0 || batch.contains(key);
  };
  BatchStep next = BatchStep::done;
  const double level = budgets_.write_levels(context_.now).lower();
  for (const auto& write : queue_.candidates(context_.now, level, batch.slots_left(), is_busy)) {
    if (batch.contains(write->request.key) || (write->send_alone && !batch.empty())) continue;
    queue_.remove(write);
    if (!prepare(*write)) {
      write->request.done(WriteOutcome::skipped, 0);
      next = BatchStep::more;
      continue;
    }
    if (!batch.try_add(write)) {
      metrics_.record_transaction_cut_short();
      queue_.put_back_first(write);
      batch.close();
    }
    if (batch.full()) return BatchStep::done;
  }
  return next;
}

// Each value carries the id of its write, which shows whether an unanswered write was applied.
bool WritePipeline::prepare(QueuedWrite& write) {
  write.prepared = {};
  if (!write.request.prepare(write.prepared)) return false;
  if (!write.prepared.value) return true;
  write.writer = context_.incarnation + "." + std::to_string(++prepared_writes_);
  (*write.prepared.value)[kWriterField] = write.writer;
  return true;
}

void WritePipeline::send(const TransactionBatch& batch) {
  const Writes& writes = batch.writes();
  for (const auto& write : writes) keys_in_flight_.insert(write->request.key);
  budgets_.take_transaction(writes.size());
  demand_.record(writes.size(), context_.now);
  ++transactions_in_flight_;
  const double sent_at = context_.now;
  context_.call(batch.to_transaction(), context_.tunables.query_timeout_s,
                [this, sent_at, writes](CallDone&& done) { on_returned(writes, sent_at, done); });
}

StallReason WritePipeline::stall_reason() {
  if (!queue_.any_waiting_for_budget(context_.now)) return StallReason::none;
  if (!lease_keeper_.valid()) return StallReason::no_lease;
  if (context_.now < paused_until_) return StallReason::pause;
  if (transactions_in_flight_ >= Tunables::kTxnsInFlight) return StallReason::in_flight;
  const WriteBudgetLevels levels = budgets_.write_levels(context_.now);
  if (levels.lower() > 0) return StallReason::record_in_flight;
  return levels.writes <= levels.transactions ? StallReason::write_rate
                                              : StallReason::transaction_rate;
}

// ---- outcomes ----

void WritePipeline::on_returned(const Writes& writes, double sent_at, const CallDone& done) {
  --transactions_in_flight_;
  const auto* reply = std::get_if<TxnReply>(&done.reply);
  if (done.status == response_status::kOk && reply) {
    on_committed(writes, sent_at, reply->revision);
  } else if (done.status == response_status::kConflict && reply) {
    connectivity_.on_success(sent_at);
    on_precondition_failed(writes, reply->failed);
  } else if (done.status == response_status::kNoAnswer) {
    // The transaction may have been applied, or may still be: the keys are read to learn which.
    connectivity_.on_failure(sent_at, done.status);
    for (const auto& write : writes) outcome_lookup_.look_up(write);
  } else if (done.status == response_status::kTooManyRequests) {
    on_rate_limited(writes);
  } else if (done.status == response_status::kUnavailable) {
    on_unavailable(writes, sent_at);
  } else {
    on_refused(writes, done.status);
  }
}

// The whole transaction is applied to the cache before the first callback runs.
void WritePipeline::on_committed(const Writes& writes, double sent_at, uint64_t revision) {
  connectivity_.on_success(sent_at);
  for (const auto& write : writes) {
    keys_in_flight_.erase(write->request.key);
    metrics_.record_write(write->request.cause, sent_at - write->queued_at);
    state_cache_.apply(store::Change{write->request.key, write->prepared.value, revision});
  }
  for (const auto& write : writes) write->request.done(WriteOutcome::applied, revision);
}

// Writes whose preconditions held are queued again; for the others, the current value of the key is
// read.
void WritePipeline::on_precondition_failed(const Writes& writes,
                                           const std::vector<std::string>& failed_keys) {
  const std::set<std::string> failed(failed_keys.begin(), failed_keys.end());
  for (auto it = writes.rbegin(); it != writes.rend(); ++it) {
    const QueuedWritePtr& write = *it;
    const auto& preconditions = write->prepared.preconditions;
    const bool precondition_failed = failed.count(write->request.key) != 0 ||
                                     std::any_of(preconditions.begin(), preconditions.end(),
                                                 [&](const Precondition& precondition) {
                                                   return failed.count(precondition.key) != 0;
                                                 });
    if (precondition_failed)
      outcome_lookup_.look_up(write);
    else
      put_back(write);
  }
}

void WritePipeline::on_rate_limited(const Writes& writes) {
  context_.counters["state_429"]++;
  budgets_.on_write_rate_limited();
  pause_and_put_back(writes, context_.settings.heartbeat_interval_s / kRateLimitPausesPerHeartbeat);
}

void WritePipeline::on_unavailable(const Writes& writes, double sent_at) {
  connectivity_.on_failure(sent_at, response_status::kUnavailable);
  context_.counters["state_503"]++;
  pause_and_put_back(writes, context_.settings.heartbeat_interval_s / kOutagePausesPerHeartbeat);
}

void WritePipeline::pause_and_put_back(const Writes& writes, double pause_s) {
  paused_until_ = context_.now + context_.jitter(pause_s);
  for (auto it = writes.rbegin(); it != writes.rend(); ++it) put_back(*it);
}

void WritePipeline::put_back(const QueuedWritePtr& write) {
  keys_in_flight_.erase(write->request.key);
  queue_.put_back(write);
}

// One invalid write must not fail the other writes of its transaction. Each write is sent again in
// its own transaction, so that only the invalid one is given up. Writes with a lease are not sent
// again, as their callers request them anew.
void WritePipeline::on_refused(const Writes& writes, int status) {
  const QueuedWrite& first = *writes.front();
  context_.log_rate_limited("txn", "transaction_refused status=" + std::to_string(status) +
                                       " writes=" + std::to_string(writes.size()) +
                                       " first_key=" + first.request.key);
  const bool single = writes.size() == 1;
  if (single && first.prepared.value && oversized(*first.prepared.value))
    oversized_value_refused_ = true;
  for (const auto& write : writes) {
    if (!single && write->prepared.lease == 0) {
      write->send_alone = true;
      put_back(write);
    } else {
      keys_in_flight_.erase(write->request.key);
      write->request.done(WriteOutcome::refused, 0);
    }
  }
}

}  // namespace rushtrestle::coordination
