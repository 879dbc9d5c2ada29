// Statistics of the write path: writes, changes and waits by cause, and what held up the writes
// that waited: a budget that is spent, or one that lies idle.
//
// Only counts; nothing is decided by it. The write pipeline and the shard controller report to it,
// and `/stats` shows it.
#pragma once
#include <cstdint>
#include <memory>

#include "coordination/state/writes/write_cause.h"
#include "store/records.h"

namespace rushtrestle::coordination {

/// What kept writes from leaving at some moment.
enum class StallReason {
  none,              // nothing waits, or only what is being coalesced
  write_rate,        // our share of the writes is spent
  transaction_rate,  // our share of the requests is spent
  in_flight,         // as many transactions as may be are under way
  record_in_flight,  // all that waits is of records that are being written
  pause,             // after a refusal for the rate or an outage
  no_lease
};

class WriteMetrics {
 public:
  WriteMetrics();
  ~WriteMetrics();
  WriteMetrics(const WriteMetrics&) = delete;
  WriteMetrics& operator=(const WriteMetrics&) = delete;

  /// A change was made that is to be written.
  void change(WriteCause cause);
  /// A write was carried out, `waited_s` seconds after it was first asked for.
  void put(WriteCause cause, double waited_s);
  /// From `now` on (steady seconds) this holds up what waits; `writes_per_second` is our share of
  /// the budget.
  void stalled(StallReason by, double now, double writes_per_second);
  /// A write did not fit beside others into a transaction's preconditions or bytes.
  void cut_short() { ++transactions_cut_short_; }

  /// As in `/stats`: writes, changes and waits in seconds by cause; seconds of waiting and writes
  /// of our share that lay idle by stall reason.
  store::Json to_json() const;

 private:
  struct Statistics;  // with the quantiles' estimators, whose headers are large

  store::Json causes_to_json() const;
  store::Json stalls_to_json() const;

  std::unique_ptr<Statistics> statistics_;
  StallReason stall_reason_ = StallReason::none;
  double stalled_since_ = 0;  // 0: `stalled` was not called yet
  uint64_t transactions_cut_short_ = 0;
};

}  // namespace rushtrestle::coordination
