// Moves machines between shards and releases machines that no shard needs (scale in). Both are
// requests to the leader of the machine's shard, which grants or refuses them; no machine is taken
// without its answer. Run by the cluster leader with each plan.
#pragma once
#include <map>
#include <string>

#include "coordination/fleet/capacity_plan.h"
#include "coordination/fleet/fleet_record_writer.h"

namespace rushtrestle::coordination {

/// Whether tasks are stopped on a machine whose reassignment or release is requested.
enum class DrainMode {
  /// No task is stopped: the request is granted only if the machine is empty.
  only_if_empty,
  /// Tasks are stopped and requeued. A reassignment is refused while the machine runs a task that
  /// may not be preempted; for a release, only tasks that lose no work by it are stopped.
  drain
};

class MachineReassignment {
 public:
  /// The arguments must outlive this object.
  MachineReassignment(Context& context, const store::StateCache& state_cache,
                      FleetRecordWriter& records)
      : context_(context), state_cache_(state_cache), records_(records) {}

  /// Forgets how long machines have been idle. Called at the start of a leadership.
  void reset() { idle_since_.clear(); }
  /// Asks the leader of the machine's shard to hand the machine over to `next_shard`.
  void request_reassignment(const std::string& machine, int next_shard, DrainMode mode);
  /// Asks the leader of the machine's shard to release the machine, so that it can be deleted.
  void request_release(const std::string& machine, DrainMode mode);
  /// Requests the reassignment of unused machines to shards that lack machines of their kind, and
  /// removes these machines and shortages from the plan.
  void reassign_unused(CapacityPlan& plan);
  /// Requests the release of machines that have been unused long enough, unless a shard lacks
  /// machines of that kind. Releases nothing for the duration of one lease after `leader_since`,
  /// the steady time in seconds at which the leadership began.
  void scale_in_idle(const CapacityPlan& plan, double leader_since);

 private:
  bool idle_long_enough(const store::MachineRecord& machine, double idle_since) const;

  Context& context_;
  const store::StateCache& state_cache_;
  FleetRecordWriter& records_;
  // Steady time in seconds since which each machine left unused by the last plan has been unused.
  std::map<std::string, double> idle_since_;
};

}  // namespace rushtrestle::coordination
