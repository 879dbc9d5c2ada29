// The writes of one transaction.
//
// Invariant: a batch has at most one write per key, and no more writes, preconditions and bytes
// than the state store accepts in a transaction. The first write is added whatever its size, as it
// would not fit into any other batch either. The write pipeline fills a batch and sends it.
#pragma once
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "coordination/state/writes/write_request.h"

namespace rushtrestle::coordination {

class TransactionBatch {
 public:
  explicit TransactionBatch(size_t max_writes) : max_writes_(max_writes) {}

  /// Adds a prepared write and returns true, or returns false if it does not fit into the batch.
  bool try_add(const QueuedWritePtr& write);
  /// Marks the batch as full, so that no more writes are added.
  void close() { full_ = true; }

  bool empty() const { return writes_.empty(); }
  bool full() const { return full_; }
  bool contains(const std::string& key) const { return keys_.count(key) != 0; }
  size_t slots_left() const { return max_writes_ - writes_.size(); }
  const std::vector<QueuedWritePtr>& writes() const { return writes_; }
  Txn to_transaction() const;

 private:
  bool fits(const QueuedWrite& write, size_t bytes) const;

  size_t max_writes_;
  std::vector<QueuedWritePtr> writes_;
  std::set<std::string> keys_;
  std::set<std::string> precondition_keys_;
  size_t bytes_ = 0;
  bool full_ = false;
};

}  // namespace rushtrestle::coordination
