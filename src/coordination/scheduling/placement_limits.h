// Limits how many placements fit into a job's stored record and into one write of it. Called by the
// scheduler and the gang scheduler.
#pragma once
#include <cstddef>
#include <cstdint>

#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

/// Returns the first task from `from` on that is neither done nor placed, or the number of tasks if
/// there is none.
uint32_t next_pending_task(const store::JobRecord& record, uint32_t from);

class PlacementLimits {
 public:
  PlacementLimits(const Context& context, const ShardState& state)
      : context_(context), state_(state) {}

  /// Must be called at the start of each scheduling pass: `max_new_placements` assumes that each
  /// machine's id is as long as the longest one of the pass.
  void measure_machine_ids();
  /// Returns how many more placements the stored record can hold.
  uint32_t max_new_placements(const store::JobRecord& record) const;
  /// Returns on how many machines that are new to the job one write can place tasks. Each placement
  /// is conditioned on its machine's record, and a transaction takes at most four conditions per
  /// operation, two of which are on the job's and the shard's keys.
  size_t max_new_machines_per_write() const;

 private:
  const Context& context_;
  const ShardState& state_;
  size_t longest_machine_id_ = 0;
};

}  // namespace rushtrestle::coordination
