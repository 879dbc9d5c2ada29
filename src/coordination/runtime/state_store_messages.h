// Calls to the consensus-backed key-value store that holds the durable state, and its replies.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "store/state_cache.h"

namespace rushtrestle::coordination {

// ---- calls ----

/// The key stands at this mod revision; 0: it is absent.
struct Precondition {
  std::string key;
  uint64_t mod_revision = 0;
};
struct Write {
  std::string key;
  /// None: the key is deleted.
  std::optional<store::Json> value;
  /// The key vanishes with this lease; 0: it stays.
  uint64_t lease = 0;
};
/// A compare-and-swap transaction: all writes are carried out if all preconditions hold, else none.
struct Txn {
  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
};
struct ReadKey {
  std::string key;
};
/// A page of the keys with the prefix, from the key after `after` on.
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
/// Changes after the revision `since`; the answer waits up to `hold_s` seconds for one.
struct Watch {
  uint64_t since = 0;
  double hold_s = 0;
};

// ---- replies ----

struct TxnReply {
  uint64_t revision = 0;
  /// Keys whose preconditions did not hold.
  std::vector<std::string> failed;
};
struct KeyReply {
  std::optional<store::Change> entry;
  uint64_t revision = 0;
};
struct ListKeysReply {
  std::vector<store::Change> entries;
  bool more = false;
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
