// Counts each put by its cause, how long it waited and what it carried, and what held up writes
// that waited: a budget that is spent, or one that lies idle.
#pragma once
#include <memory>

#include "coordination/state/writes/write_cause.h"
#include "store/records.h"

namespace rushtrestle::coordination {

/// What kept writes from leaving at some moment.
enum class StallReason {
  none,              // nothing waits, or only what is being gathered
  write_rate,        // our share of the puts is spent
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

  /// A change was made that is to be written.
  void change(WriteCause cause);
  /// A put was carried out, `waited_s` seconds after it was first asked for.
  void put(WriteCause cause, double waited_s);
  /// From now on this holds up what waits; `puts_per_second` is our share of the budget.
  void stalled(StallReason by, double now, double puts_per_second);
  /// An item did not fit beside others into a transaction's conditions or bytes.
  void cut_short() { ++transactions_cut_short_; }

  /// Puts, changes and waits in seconds by cause; seconds of waiting and puts of the share that lay
  /// idle by hindrance.
  store::Json to_json() const;

 private:
  struct Books;  // with the quantiles' estimators, whose headers are large
  std::unique_ptr<Books> books_;
  StallReason stall_reason_ = StallReason::none;
  double stalled_since_ = 0;
  uint64_t transactions_cut_short_ = 0;
};

}  // namespace rushtrestle::coordination
