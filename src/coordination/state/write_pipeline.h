// Writes to the state store: queued, batched into transactions within the budget, and followed
// until their outcome is known.
//
// Invariant: at most one write of a key is under way, and each write's `done` runs once. Writes
// leave only while our lease is valid: without it, another controller may lead what they are about.
// StateStoreClient enqueues the writes and calls `repeat_due_lookups` and `flush` each tick.
#pragma once
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "coordination/runtime/context.h"
#include "coordination/state/lease_keeper.h"
#include "coordination/state/request_budgets.h"
#include "coordination/state/store_connectivity.h"
#include "coordination/state/writes/outcome_lookup.h"
#include "coordination/state/writes/transaction_batch.h"
#include "coordination/state/writes/write_demand.h"
#include "coordination/state/writes/write_metrics.h"
#include "coordination/state/writes/write_queue.h"
#include "store/state_cache.h"

namespace rushtrestle::coordination {

class WritePipeline {
 public:
  WritePipeline(Context& context, store::StateCache& state_cache, StoreConnectivity& connectivity,
                const LeaseKeeper& lease_keeper, RequestBudgets& budgets);
  WritePipeline(const WritePipeline&) = delete;
  WritePipeline& operator=(const WritePipeline&) = delete;

  void enqueue(WriteRequest request);
  /// Reads again, for writes of unknown outcome, what could not be read so far.
  void repeat_due_lookups() { outcome_lookup_.repeat_due_reads(); }
  /// Sends as many transactions as the budgets allow.
  void flush();
  /// When `repeat_due_lookups` or `flush` has something to do; steady seconds, may have passed.
  double next_due();

  /// Writes that wait for nothing but the budget.
  double backlog() const;
  /// The part of the whole budget of writes that we need, to send what comes and the backlog.
  double need();
  /// Seconds that the acceptance of a job of this rank would wait now.
  double accept_delay(store::Rank rank) const;
  /// Larger than the lower of the present and the announced limit of a value's size.
  bool oversized(const store::Json& value) const;
  /// Oversized, and such a value was refused: the announced limit is in force.
  bool refuses(const store::Json& value) const;

  WriteMetrics& metrics() { return metrics_; }
  /// The body of `/stats` on writes.
  store::Json stats();

 private:
  using Writes = std::vector<QueuedWritePtr>;
  enum class BatchStep { more, done };

  bool may_send() const;
  double writes_due();
  TransactionBatch next_batch();
  BatchStep add_candidates(TransactionBatch& batch);
  bool prepare(QueuedWrite& write);
  void send(const TransactionBatch& batch);
  StallReason stall_reason();

  void on_returned(const Writes& writes, double sent_at, const CallDone& done);
  void on_committed(const Writes& writes, double sent_at, uint64_t revision);
  void on_precondition_failed(const Writes& writes, const std::vector<std::string>& failed_keys);
  void on_rate_refused(const Writes& writes);
  void on_unavailable(const Writes& writes, double sent_at);
  void on_refused(const Writes& writes, int status);
  void pause_and_put_back(const Writes& writes, double pause_s);
  void put_back(const QueuedWritePtr& write);

  Context& context_;
  store::StateCache& state_cache_;
  StoreConnectivity& connectivity_;
  const LeaseKeeper& lease_keeper_;
  RequestBudgets& budgets_;
  WriteQueue queue_;
  WriteMetrics metrics_;
  WriteDemand demand_;
  OutcomeLookup outcome_lookup_;
  std::set<std::string> keys_in_flight_;  // written, or of a write whose outcome is unknown
  int transactions_in_flight_ = 0;
  double paused_until_ = 0;           // after a refusal for the rate, or an outage
  bool value_limit_lowered_ = false;  // an oversized value was refused
  uint64_t prepared_writes_ = 0;      // numbers the writes of this incarnation
};

}  // namespace rushtrestle::coordination
