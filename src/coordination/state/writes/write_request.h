// One write to the state store: what callers ask for, and what the queue keeps of it.
//
// Callers fill a WriteRequest and give it to StateStoreClient::write; its `prepare` runs when the
// write is about to leave, so that it carries what is desired then, and its `done` exactly once for
// each write that was asked for.
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
  conflict,   // somebody else wrote first; the state cache holds what the key has now
  unsettled,  // no answer and not there: it may yet be carried out, as long as the key keeps the
              // mod revision that it has
  refused,    // the state store does not take it
  skipped     // `prepare` found nothing to write
};

/// What `prepare` decides: a compare-and-swap of one key.
struct Prepared {
  uint64_t expected = 0;                    // mod revision that the key must have; 0: absent
  std::optional<store::Json> value;         // none: delete the key
  uint64_t lease = 0;                       // that the key vanishes with; 0: none
  std::vector<Precondition> preconditions;  // besides the key's own
};

/// Field of a stored value that names the write which stored it.
inline constexpr const char* kWriterField = "w";

struct WriteRequest {
  std::string key;
  WriteCause cause = WriteCause::other;
  store::Rank rank = store::Rank::production;  // of the job that waits for it
  std::string team;  // of that job; writes of no team go before those of teams
  /// False: nothing is to be written any more.
  std::function<bool(Prepared&)> prepare;
  /// `mod_revision` is the one that the key has now, 0 when that is not known.
  std::function<void(WriteOutcome, uint64_t mod_revision)> done;
};

/// A request in the queue or under way.
struct QueuedWrite {
  WriteRequest request;
  Prepared prepared;
  std::string writer;  // stored with the value, so that the outcome of an unanswered write can be
                       // told from the key
  bool alone = false;  // its transaction was refused: which of the writes was at fault shows when
                       // each goes alone
  double queued_at = 0;
  // Its place in the queue, kept when it has to be sent again.
  uint64_t number = 0;
  double turn = 0;

  WritePriority priority() const { return priority_of(request.cause); }
};
using QueuedWritePtr = std::shared_ptr<QueuedWrite>;

}  // namespace rushtrestle::coordination
