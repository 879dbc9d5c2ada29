#include "coordination/state/writes/transaction_batch.h"

#include <cstdint>
#include <map>

namespace rushtrestle::coordination {

namespace {

// The state store takes 64 KiB; the rest is for the frame of the transaction.
constexpr size_t kMostBytes = size_t{56} * 1024;
constexpr size_t kFrameOfWriteBytes = 200;
constexpr size_t kPreconditionsPerWrite = 4;

size_t size_of(const QueuedWrite& write) {
  const auto& value = write.prepared.value;
  return kFrameOfWriteBytes + (value ? value->dump().size() : 0);
}

}  // namespace

bool TransactionBatch::fits(const QueuedWrite& write, size_t bytes) const {
  if (writes_.empty()) return true;
  std::set<std::string> needed = precondition_keys_;
  needed.insert(write.request.key);
  for (const auto& precondition : write.prepared.preconditions) needed.insert(precondition.key);
  return needed.size() <= most_writes_ * kPreconditionsPerWrite && bytes_ + bytes <= kMostBytes;
}

bool TransactionBatch::try_add(const QueuedWritePtr& write) {
  const size_t bytes = size_of(*write);
  if (!fits(*write, bytes)) return false;
  keys_.insert(write->request.key);
  precondition_keys_.insert(write->request.key);
  for (const auto& precondition : write->prepared.preconditions)
    precondition_keys_.insert(precondition.key);
  bytes_ += bytes;
  writes_.push_back(write);
  full_ = write->alone || writes_.size() >= most_writes_;
  return true;
}

// A key's own write knows best at which revision it must be: its precondition goes before those
// that other writes have on the same key.
Txn TransactionBatch::to_transaction() const {
  Txn transaction;
  std::map<std::string, uint64_t> preconditions;
  for (const auto& write : writes_) {
    const Prepared& prepared = write->prepared;
    preconditions[write->request.key] = prepared.expected;
    for (const auto& precondition : prepared.preconditions)
      preconditions.emplace(precondition.key, precondition.mod_revision);
    transaction.writes.push_back({write->request.key, prepared.value, prepared.lease});
  }
  for (const auto& [key, mod_revision] : preconditions)
    transaction.preconditions.push_back({key, mod_revision});
  return transaction;
}

}  // namespace rushtrestle::coordination
