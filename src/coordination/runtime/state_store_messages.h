// Calls to the state store, a consensus-backed key-value store with the durable state, and its
// replies.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "store/state_cache.h"

namespace rushtrestle::coordination {

// ---- calls ----

/// Holds if the key has this mod revision; 0: if the key is absent.
struct Precondition {
  std::string key;
  uint64_t mod_revision = 0;
};
struct Write {
  std::string key;
  /// Value to store; none: deletes the key.
  std::optional<store::Json> value;
  /// Lease with which the key expires; 0: none.
  uint64_t lease = 0;
};
/// A compare-and-swap transaction: applies all writes if all preconditions hold, otherwise none.
struct Txn {
  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
};
struct ReadKey {
  std::string key;
};
/// Asks for a page of the keys with the prefix, starting behind the key `after`; empty: at the
/// start.
struct ListKeys {
  std::string prefix;
  std::string after;
};
struct GrantLease {
  double ttl_s = 0;
};
struct RenewLease {
  uint64_t lease = 0;
};
/// Asks for the changes after the revision `since` (long poll). Without a change, the store answers
/// after `hold_s` seconds.
struct Watch {
  uint64_t since = 0;
  double hold_s = 0;
};

// ---- replies ----

struct TxnReply {
  uint64_t revision = 0;
  /// Keys whose preconditions did not hold; nothing was written then.
  std::vector<std::string> failed;
};
struct KeyReply {
  std::optional<store::Change> entry;
  uint64_t revision = 0;
};
struct ListKeysReply {
  std::vector<store::Change> entries;
  bool more = false;  // further pages follow
  uint64_t revision = 0;
};
struct LeaseReply {
  uint64_t lease = 0;
};
struct WatchReply {
  uint64_t revision = 0;
  std::vector<store::Change> events;
};

}  // namespace rushtrestle::coordination
