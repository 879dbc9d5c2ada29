// A write to the state store: the caller's request and its state in the queue.
//
// Callers pass a WriteRequest to StateStoreClient::write. Its `prepare` runs just before the write
// is sent, so that the write contains the value desired at that time. Its `done` runs exactly once.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/runtime/messages.h"
#include "coordination/state/writes/write_cause.h"

namespace rushtrestle::coordination {

enum class WriteOutcome {
  applied,
  conflict,       // another writer came first; the state cache holds the current value of the key
  indeterminate,  // unanswered and not applied so far; may still be applied while the key keeps its
                  // current mod revision
  refused,        // the state store does not accept the write
  skipped         // `prepare` found nothing to write
};

/// The result of `prepare`: a compare-and-swap of one key.
struct PreparedWrite {
  /// Mod revision that the key must have; 0: the key must be absent.
  uint64_t expected_mod_revision = 0;
  std::optional<store::Json> value;         // none: the write deletes the key
  uint64_t lease = 0;                       // lease with which the key expires; 0: none
  std::vector<Precondition> preconditions;  // in addition to `expected_mod_revision`
};

/// Field of a stored value that contains the id of the write which stored it.
inline constexpr const char* kWriterField = "w";

struct WriteRequest {
  std::string key;
  WriteCause cause = WriteCause::other;
  store::Rank rank = store::Rank::production;  // rank of the job that waits for the write
  std::string team;  // team of that job; among equal ranks, writes without a team are sent first
  /// Fills in the write, or returns false if there is nothing to write any more.
  std::function<bool(PreparedWrite&)> prepare;
  /// Receives the outcome and the current mod revision of the key; 0: unknown or absent.
  std::function<void(WriteOutcome, uint64_t mod_revision)> done;
};

/// A request in the queue or in flight.
struct QueuedWrite {
  WriteRequest request;
  PreparedWrite prepared;
  std::string writer;       // id of the write, stored with the value to tell whether an unanswered
                            // write was applied
  bool send_alone = false;  // its transaction was refused; sending each write in a transaction of
                            // its own shows which one is invalid
  double queued_at = 0;     // steady seconds
  // The position in the queue, kept when the write has to be sent again.
  uint64_t sequence_number = 0;
  double virtual_finish_time = 0;  // of weighted fair queueing among teams

  WritePriority priority() const { return priority_of(request.cause); }
};
using QueuedWritePtr = std::shared_ptr<QueuedWrite>;

}  // namespace rushtrestle::coordination
