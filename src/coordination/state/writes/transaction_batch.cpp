#include "coordination/state/writes/transaction_batch.h"

#include <cstdint>
#include <map>

namespace rushtrestle::coordination {

namespace {

// The state store accepts transactions of up to 64 KiB; the rest is for the transaction's overhead.
constexpr size_t kMaxBytes = size_t{56} * 1024;
constexpr size_t kWriteOverheadBytes = 200;
constexpr size_t kMaxPreconditionsPerWrite = 4;

size_t estimated_size(const QueuedWrite& write) {
  const auto& value = write.prepared.value;
  return kWriteOverheadBytes + (value ? store::to_json_text(*value).size() : 0);
}

}  // namespace

bool TransactionBatch::fits(const QueuedWrite& write, size_t bytes) const {
  if (writes_.empty()) return true;
  std::set<std::string> needed = precondition_keys_;
  needed.insert(write.request.key);
  for (const auto& precondition : write.prepared.preconditions) needed.insert(precondition.key);
  return needed.size() <= max_writes_ * kMaxPreconditionsPerWrite && bytes_ + bytes <= kMaxBytes;
}

bool TransactionBatch::try_add(const QueuedWritePtr& write) {
  const size_t bytes = estimated_size(*write);
  if (!fits(*write, bytes)) return false;
  keys_.insert(write->request.key);
  precondition_keys_.insert(write->request.key);
  for (const auto& precondition : write->prepared.preconditions)
    precondition_keys_.insert(precondition.key);
  bytes_ += bytes;
  writes_.push_back(write);
  full_ = write->send_alone || writes_.size() >= max_writes_;
  return true;
}

// The precondition of a write on its own key takes precedence over the preconditions that other
// writes have on the same key, as it has the most accurate mod revision.
Txn TransactionBatch::to_transaction() const {
  Txn transaction;
  std::map<std::string, uint64_t> preconditions;
  for (const auto& write : writes_) {
    const PreparedWrite& prepared = write->prepared;
    preconditions[write->request.key] = prepared.expected_mod_revision;
    for (const auto& precondition : prepared.preconditions)
      preconditions.emplace(precondition.key, precondition.mod_revision);
    transaction.writes.push_back({write->request.key, prepared.value, prepared.lease});
  }
  for (const auto& [key, mod_revision] : preconditions)
    transaction.preconditions.push_back({key, mod_revision});
  return transaction;
}

}  // namespace rushtrestle::coordination
