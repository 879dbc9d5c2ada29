// Statistics of the write path: writes, changes and wait times by cause; for waiting writes, the
// reason of the wait and the write budget that went unused meanwhile.
//
// These statistics influence no decision. The write pipeline and the shard controller record them,
// and `/stats` reports them.
#pragma once
#include <cstdint>
#include <memory>

#include "coordination/state/writes/write_cause.h"
#include "store/records.h"

namespace rushtrestle::coordination {

/// The reason why waiting writes are not sent at some moment.
enum class StallReason {
  none,              // no write waits, or only writes that are being coalesced
  write_rate,        // this controller's share of the write rate is used up
  transaction_rate,  // this controller's share of the transaction rate is used up
  in_flight,         // the maximum number of transactions is in flight
  record_in_flight,  // all waiting writes are for records that are being written
  pause,             // sending is paused after a rate limit refusal or an outage
  no_lease
};

class WriteMetrics {
 public:
  WriteMetrics();
  ~WriteMetrics();
  WriteMetrics(const WriteMetrics&) = delete;
  WriteMetrics& operator=(const WriteMetrics&) = delete;

  /// Counts a change of a record that has to be written.
  void record_change(WriteCause cause);
  /// Counts a write that was applied, sent `waited_s` seconds after it was first requested.
  void record_write(WriteCause cause, double waited_s);
  /// Sets the stall reason from `now` (steady seconds) on; `writes_per_second` is this controller's
  /// share of the write rate.
  void record_stall(StallReason reason, double now, double writes_per_second);
  /// Counts a transaction that was closed early because the next write would have exceeded its
  /// limit of preconditions or bytes.
  void record_transaction_cut_short() { ++transactions_cut_short_; }

  /// Returns the statistics as in `/stats`: writes, changes and wait times in seconds by cause;
  /// seconds of stall and unused writes of this controller's share by stall reason.
  store::Json to_json() const;

 private:
  struct Statistics;  // defined in the .cpp: the headers of the quantile estimators are large

  store::Json causes_to_json() const;
  store::Json stalls_to_json() const;

  std::unique_ptr<Statistics> statistics_;
  StallReason stall_reason_ = StallReason::none;
  double stalled_since_ = 0;  // steady seconds; 0: no stall reason was recorded yet
  uint64_t transactions_cut_short_ = 0;
};

}  // namespace rushtrestle::coordination
