// One write that waits for the state service's budget.
#pragma once
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
  refused,    // the service won't take it
  skipped     // `prepare` found nothing to write
};

struct Prepared {
  uint64_t expected = 0;  // mod revision that the key must have, 0: absent
  std::optional<store::Json> value;
  uint64_t lease = 0;
  std::vector<Precondition> preconditions;  // besides the key's own
};

struct WriteRequest {
  std::string key;
  WriteCause cause = WriteCause::other;
  store::Rank rank = store::Rank::production;  // of the job that waits for it
  std::string team;  // of that job; writes of no team go before those of teams
  std::function<bool(Prepared&)> prepare;  // runs when the write is about to leave
  std::function<void(WriteOutcome, uint64_t mod_revision)> done;
};

/// A request in the queue or under way.
struct QueuedWrite {
  WriteRequest request;
  Prepared prepared;
  std::string writer;  // marks the write, so that an unknown outcome can be told
  bool alone = false;  // its transaction was refused: which of the writes was at fault is seen when
                       // each goes alone
  double queued_at = 0;
  // Its place in the queue, kept when it has to be sent again.
  uint64_t number = 0;
  double turn = 0;

  WritePriority priority() const { return priority_of(request.cause); }
};
using QueuedWritePtr = std::shared_ptr<QueuedWrite>;

}  // namespace rushtrestle::coordination
