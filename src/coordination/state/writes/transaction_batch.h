// The writes that one transaction will carry.
//
// Invariant: no two writes of one key, and no more writes, preconditions and bytes than the state
// store takes in a transaction; only the first write is taken whatever its size, as it would fit
// nowhere else. The write pipeline fills a batch and sends it.
#pragma once
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "coordination/state/writes/write_request.h"

namespace rushtrestle::coordination {

class TransactionBatch {
 public:
  explicit TransactionBatch(size_t most_writes) : most_writes_(most_writes) {}

  /// Adds a prepared write, unless it does not fit beside those that are in the batch.
  bool try_add(const QueuedWritePtr& write);
  /// No more writes are taken.
  void close() { full_ = true; }

  bool empty() const { return writes_.empty(); }
  bool full() const { return full_; }
  bool contains(const std::string& key) const { return keys_.count(key) != 0; }
  size_t slots_left() const { return most_writes_ - writes_.size(); }
  const std::vector<QueuedWritePtr>& writes() const { return writes_; }
  Txn to_transaction() const;

 private:
  bool fits(const QueuedWrite& write, size_t bytes) const;

  size_t most_writes_;
  std::vector<QueuedWritePtr> writes_;
  std::set<std::string> keys_;
  std::set<std::string> precondition_keys_;
  size_t bytes_ = 0;
  bool full_ = false;
};

}  // namespace rushtrestle::coordination
