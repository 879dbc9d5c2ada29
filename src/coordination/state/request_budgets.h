// This controller's share of the request rates that the state store allows for all controllers.
//
// Owns one token bucket each for watches, barrier reads, transactions and writes. Invariant: the
// sum of their rates does not exceed this controller's share of the rates in the settings.
// Membership sets the share through StateStoreClient; the modules that send requests take tokens.
#pragma once
#include <algorithm>
#include <cstddef>

#include "coordination/runtime/context.h"

namespace rushtrestle::coordination {

/// What is left of the two budgets that a transaction takes from, in seconds of their rate; a
/// negative level means overdrawn.
struct WriteBudgetLevels {
  double writes = 0;
  double transactions = 0;

  double lower() const { return std::min(transactions, writes); }
};

class RequestBudgets {
 public:
  explicit RequestBudgets(const store::Settings& settings) : settings_(settings) {}

  /// Sets this controller's share of the whole budget, between 0 and 1.
  void set_share(double share);
  double share() const { return share_; }
  /// Returns the writes per second that this controller's share allows.
  double writes_per_second() const { return writes_per_second_; }
  /// Records that a transaction was refused because of the write rate. If the settings announce a
  /// lower rate, that rate may already be in force and applies from the next `set_share` on.
  void on_write_rate_limited();

  TokenBucket& watches() { return watches_; }
  TokenBucket& barrier_reads() { return barrier_reads_; }

  WriteBudgetLevels write_levels(double now);
  /// Returns the time at which the levels of writes and transactions will both be above `floor` if
  /// nothing is taken until then. Times are in steady seconds.
  double time_writes_above(double floor, double now);
  void take_transaction(size_t writes);

 private:
  const store::Settings& settings_;
  TokenBucket watches_;
  TokenBucket barrier_reads_;
  TokenBucket transactions_;
  TokenBucket writes_;
  double share_ = 1;
  double writes_per_second_ = 1;
  bool write_rate_limited_ = false;
};

}  // namespace rushtrestle::coordination
