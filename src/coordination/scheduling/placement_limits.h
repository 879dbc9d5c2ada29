// How many placements fit into a job's stored record and into one write of it. Called by the
// scheduler and the gang scheduler.
#pragma once
#include <cstddef>
#include <cstdint>

#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

/// The first task from `from` on that is neither done nor placed; the number of tasks if there is
/// none.
uint32_t next_pending_task(const store::JobRecord& record, uint32_t from);

class PlacementLimits {
 public:
  PlacementLimits(const Context& context, const ShardState& state)
      : context_(context), state_(state) {}

  /// To be called at the begin of a scheduling pass: `room_in_record` counts on the longest machine
  /// id that there is now.
  void measure_machine_ids();
  /// How many more placements the stored record can hold.
  uint32_t room_in_record(const store::JobRecord& record) const;
  /// A placement is conditioned on its machine's record, and a transaction takes four conditions an
  /// operation; the job's and the shard's keys count, too. So one write places on at most so many
  /// machines that are new to the job.
  size_t most_new_machines() const;

 private:
  const Context& context_;
  const ShardState& state_;
  size_t longest_machine_id_ = 0;
};

}  // namespace rushtrestle::coordination
