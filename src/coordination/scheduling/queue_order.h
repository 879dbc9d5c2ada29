// The order in which the jobs of a shard that wait for room are served: by rank, then by group,
// then by when they are due or by age.
//
// Invariant: the order follows from the records, the settings and the clock alone. Called by the
// scheduler, the requeue action and the shard controller's statistics.
#pragma once
#include <vector>

#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

/// Groups within a rank, in the order in which they are served.
enum class QueueGroup {
  starving,  // has waited too long to begin at all
  in_time,   // can still be over when it should be
  late       // can't be over by its deadline: served earlier, it would make others late, too
};

class QueueOrder {
 public:
  QueueOrder(const Context& context, const store::StateCache& state_cache, ShardState& state)
      : context_(context), state_cache_(state_cache), state_(state) {}

  /// Jobs of the shard that wait for room, in the order in which they are served. Those that back
  /// off, and those whose durable record is not open, are left out. Also forgets which machines a
  /// job avoids once that has run out.
  std::vector<ShardJob*> scheduling_queue(int shard);
  QueueGroup group_of(const store::JobRecord& record) const;

 private:
  const Context& context_;
  const store::StateCache& state_cache_;
  ShardState& state_;
};

}  // namespace rushtrestle::coordination
