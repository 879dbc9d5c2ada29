// Determines the outcome of writes whose transaction got no answer or had a failed precondition.
//
// Reads the key of each such write, and reads it again after a pause if the read fails. Invariant:
// the write's `done` runs once the value of its key is known, and the key stays blocked until then.
// The write pipeline starts the reads, and repeats failed ones on each tick.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "coordination/runtime/context.h"
#include "coordination/state/store_connectivity.h"
#include "coordination/state/writes/write_request.h"
#include "store/state_cache.h"

namespace rushtrestle::coordination {

class OutcomeLookup {
 public:
  OutcomeLookup(Context& context, store::StateCache& state_cache, StoreConnectivity& connectivity)
      : context_(context), state_cache_(state_cache), connectivity_(connectivity) {}

  /// Reads the key of the write, then calls the write's `done` with the outcome.
  void look_up(const QueuedWritePtr& write);
  /// Repeats the failed reads whose pause is over.
  void repeat_due_reads();
  /// Returns the steady time in seconds at which `repeat_due_reads` next has work.
  double next_due() const;

  /// Called when the value of the key is known, before the write's `done`.
  std::function<void(const std::string& key)> on_key_read;

 private:
  struct Retry {
    double at = 0;  // steady seconds
    QueuedWritePtr write;
  };

  void on_read(const QueuedWritePtr& write, const KeyReply& reply);

  Context& context_;
  store::StateCache& state_cache_;
  StoreConnectivity& connectivity_;
  std::vector<Retry> retries_;
};

}  // namespace rushtrestle::coordination
