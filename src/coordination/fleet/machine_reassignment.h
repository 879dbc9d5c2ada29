// Moves machines between shards and gives back what nothing needs (scale in): asks the shard that
// holds a machine to let it go. The leader of that shard answers; nothing is taken from it. Run by
// the cluster leader with each plan.
#pragma once
#include <map>
#include <string>

#include "coordination/fleet/capacity_plan.h"
#include "coordination/fleet/fleet_record_writer.h"

namespace rushtrestle::coordination {

/// What becomes of the work on a machine that its shard leader is asked to let go.
enum class WorkOnMachine {
  /// The machine goes only if it is empty when the shard leader answers.
  keeps_machine,
  /// What may be stopped is stopped and queued again. A machine that goes to another shard stays if
  /// it holds work that may not be preempted; for a release, only work that can move is stopped.
  is_drained
};

class MachineReassignment {
 public:
  /// The arguments must outlive this object.
  MachineReassignment(Context& context, const store::StateCache& state_cache,
                      FleetRecordWriter& records)
      : context_(context), state_cache_(state_cache), records_(records) {}

  /// At the start of a leadership: nothing is known to be idle.
  void reset() { idle_since_.clear(); }
  /// Asks for the machine to go to another shard.
  void request_reassignment(const std::string& machine, int next_shard, WorkOnMachine work);
  /// Asks for the machine to be released, so that it can be deleted.
  void request_release(const std::string& machine, WorkOnMachine work);
  /// Gives unused machines to shards that lack such ones; the plan is reduced by them.
  void reassign_unused(CapacityPlan& plan);
  /// Releases what has been unused for a while, unless its kind is lacking somewhere. Nothing is
  /// released in the first lease of a leadership, which began at the steady time `led_since`.
  void scale_in_idle(const CapacityPlan& plan, double led_since);

 private:
  bool idle_long_enough(const store::MachineRecord& machine, double idle_since) const;

  Context& context_;
  const store::StateCache& state_cache_;
  FleetRecordWriter& records_;
  std::map<std::string, double>
      idle_since_;  // steady time, by machine that the last plan left unused
};

}  // namespace rushtrestle::coordination
