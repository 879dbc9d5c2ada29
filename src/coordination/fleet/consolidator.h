// Selects machines whose work fits on the other machines of their shard, so that they can be
// drained and released. Owns the samples of the jobs' attempt numbers, which show which tasks have
// run for a while. Used by the consolidation rounds of the cluster leader.
#pragma once
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/capacity_plan.h"
#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

class CapacityPlanner;

/// Services leave free capacity that nothing uses. The consolidator drains the machine with the
/// highest cost of unused capacity if its work, the waiting work and the forecast work all fit on
/// the other machines. Moving a replica interrupts it for the fraction of a second that its stop
/// and start take, so only replicas that have run for a while are moved, and only a few machines
/// per shard are drained at a time. Work that cannot move runs to its end, and nothing new is
/// placed beside it.
class Consolidator {
 public:
  /// The arguments must outlive this object.
  Consolidator(Context& context, const store::StateCache& state_cache, const Membership& membership,
               const ImageCaches& images)
      : context_(context), state_cache_(state_cache), membership_(membership), images_(images) {}

  void reset() { attempt_samples_.clear(); }
  /// Records the latest attempt number of each job. Must be called before each selection.
  void sample_attempts();
  /// Returns the ids of the machines of the shard to drain now. `planned` is the plan with all of
  /// the shard's machines.
  std::vector<std::string> select_machines_to_drain(int shard, const CapacityPlan& planned,
                                                    CapacityPlanner& planner);

 private:
  struct MachineLoad {
    store::Resources used;
    bool drainable = true;
    std::vector<const store::JobSpec*> tasks_to_move;  // one entry per task
  };
  struct AttemptSample {
    double at = 0;          // steady time in seconds
    uint64_t attempts = 0;  // latest attempt number of the job
  };
  struct MachineCounts {
    size_t present = 0;
    size_t leaving = 0;  // present machines that the cluster leader has asked the shard to let go
  };
  using MachineLoads = std::map<std::string, MachineLoad>;  // by machine

  MachineCounts count_machines(int shard) const;
  MachineLoads machine_loads(int shard) const;
  bool has_run_for_a_while(const store::JobRecord& job, const store::Placement& placement) const;
  bool work_fits_elsewhere(const std::string& machine, int shard, const MachineLoads& loads,
                           const std::set<std::string>& drained) const;
  bool has_destination(const store::JobSpec& spec, const std::string& from, int shard,
                       const MachineLoads& loads, const std::set<std::string>& drained) const;
  std::vector<std::string> candidates(int shard, const MachineLoads& loads,
                                      const CapacityPlan& planned) const;

  Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  const ImageCaches& images_;
  // Samples by job, oldest first. They are needed because a job record has the time of the job's
  // last start only, not one for each task.
  std::map<std::string, std::deque<AttemptSample>> attempt_samples_;
};

}  // namespace rushtrestle::coordination
