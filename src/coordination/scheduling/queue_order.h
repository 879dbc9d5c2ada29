// Scheduling order of the waiting jobs of a shard: by rank, then by group, then by due time (jobs
// that are in time) or submission time (starving and late jobs).
//
// Invariant: the order depends on the records, the settings and the clock alone. Called by the
// scheduler, the requeue action and the shard controller's statistics.
#pragma once
#include <vector>

#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

/// Groups of jobs within a rank, in scheduling order.
enum class QueueGroup {
  starving,  // has waited too long for its first start
  in_time,   // is not known to miss its deadline
  late       // can't meet its deadline; if scheduled earlier, it would make other jobs late, too
};

class QueueOrder {
 public:
  QueueOrder(const Context& context, const store::StateCache& state_cache, ShardState& state)
      : context_(context), state_cache_(state_cache), state_(state) {}

  /// Returns the jobs of the shard that have tasks to place, in scheduling order. Jobs in backoff
  /// and jobs whose durable record is not open are left out. Also clears a job's list of machines
  /// to avoid once the list has expired.
  std::vector<ShardJob*> scheduling_queue(int shard);
  QueueGroup group_of(const store::JobRecord& record) const;

 private:
  const Context& context_;
  const store::StateCache& state_cache_;
  ShardState& state_;
};

}  // namespace rushtrestle::coordination
