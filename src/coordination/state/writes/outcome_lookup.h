// Learns the outcome of writes whose transaction did not tell it: no answer came, or one of their
// preconditions did not hold.
//
// The key of each such write is read, and again after a pause when that read fails, too. Invariant:
// `done` of the write runs once its key's value is known, and the key stays blocked until then. The
// write pipeline begins the reads and repeats them in its tick.
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

  /// Reads the write's key, and calls the write's `done` with the outcome.
  void read(const QueuedWritePtr& write);
  /// Repeats the reads that failed and whose pause is over.
  void repeat_due_reads();
  /// When `repeat_due_reads` has something to do; steady seconds.
  double next_due() const;

  /// The key's value is known; called before `done` of the write.
  std::function<void(const std::string& key)> on_key_known;

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
