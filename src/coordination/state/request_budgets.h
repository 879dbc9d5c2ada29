// This controller's share of the request rates that the state store grants to all controllers.
//
// Owns one token bucket each for watches, barrier reads, transactions and writes. Invariant: their
// rates add up to no more than this controller's share of the settings' rates. Membership sets the
// share through StateStoreClient; the modules that send requests take from the buckets.
#pragma once
#include <algorithm>
#include <cstddef>

#include "coordination/runtime/context.h"

namespace rushtrestle::coordination {

/// What is left of the two budgets that a transaction takes from, in seconds' worth; below 0:
/// overdrawn.
struct WriteBudgetLevels {
  double writes = 0;
  double transactions = 0;

  double lower() const { return std::min(transactions, writes); }
};

class RequestBudgets {
 public:
  explicit RequestBudgets(const store::Settings& settings) : settings_(settings) {}

  /// `share` of the whole budget, between 0 and 1, is ours from now on.
  void set_share(double share);
  double share() const { return share_; }
  /// Writes a second that our share allows.
  double writes_per_second() const { return writes_per_second_; }
  /// A transaction was refused for the rate of writes. If the settings announce a lower rate, that
  /// may be in force already: it counts from the next `set_share` on.
  void on_write_rate_refused();

  TokenBucket& watches() { return watches_; }
  TokenBucket& barrier_reads() { return barrier_reads_; }

  WriteBudgetLevels write_levels(double now);
  /// When both budgets of writes will stand above `floor`, if nothing is taken until then.
  double writes_above_at(double floor, double now);
  void take_transaction(size_t writes);

 private:
  const store::Settings& settings_;
  TokenBucket watches_;
  TokenBucket barrier_reads_;
  TokenBucket transactions_;
  TokenBucket writes_;
  double share_ = 1;
  double writes_per_second_ = 1;
  bool write_rate_refused_ = false;
};

}  // namespace rushtrestle::coordination
