// The write pipeline: queues writes to the state store, batches them into transactions within the
// budget, and tracks them until their outcome is known.
//
// Invariant: at most one write per key is in flight, and each write's `done` runs exactly once.
// Writes are sent only while this controller's lease is valid; without it, another controller may
// own the records that they change. StateStoreClient enqueues the writes and calls
// `repeat_due_lookups` and `flush` on each tick.
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
  /// Repeats the failed reads of keys whose last write has an unknown outcome.
  void repeat_due_lookups() { outcome_lookup_.repeat_due_reads(); }
  /// Sends as many transactions as the budgets allow, up to the limit of transactions in flight.
  void flush();
  /// Returns the steady time in seconds, possibly past, at which `repeat_due_lookups` or `flush`
  /// next has work.
  double next_due();

  /// Returns the number of writes that only wait for budget.
  double backlog() const;
  /// Returns the fraction of all controllers' write budget that this controller needs to keep up
  /// its recent write rate and to drain its backlog.
  double needed_budget_share();
  /// Returns the seconds that the acceptance of a job of this rank would wait in the queue now.
  double acceptance_delay_s(store::Rank rank) const;
  /// Returns true if the value exceeds the lower of the current and the announced value size limit.
  bool oversized(const store::Json& value) const;
  /// Returns true if the value is oversized and the state store has refused an oversized value
  /// before, which shows that the announced limit is in force.
  bool will_be_refused(const store::Json& value) const;

  WriteMetrics& metrics() { return metrics_; }
  /// Returns the section of `/stats` about writes.
  store::Json stats();

 private:
  using Writes = std::vector<QueuedWritePtr>;
  enum class BatchStep { more, done };

  bool can_send() const;
  double next_write_due();
  TransactionBatch next_batch();
  BatchStep add_candidates(TransactionBatch& batch);
  bool prepare(QueuedWrite& write);
  void send(const TransactionBatch& batch);
  StallReason stall_reason();

  void on_returned(const Writes& writes, double sent_at, const CallDone& done);
  void on_committed(const Writes& writes, double sent_at, uint64_t revision);
  void on_precondition_failed(const Writes& writes, const std::vector<std::string>& failed_keys);
  void on_rate_limited(const Writes& writes);
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
  std::set<std::string> keys_in_flight_;  // keys being written or with an unknown outcome
  int transactions_in_flight_ = 0;
  double paused_until_ = 0;  // steady seconds; set after a 429 or a 503
  bool oversized_value_refused_ = false;
  uint64_t prepared_writes_ = 0;  // numbers the writes of this incarnation
};

}  // namespace rushtrestle::coordination
