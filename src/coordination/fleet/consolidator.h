// Chooses machines whose work fits on the others of their shard, so that they can be emptied and
// given back. Owns what was observed of the jobs' attempts, by which it tells tasks that have run
// for a while. Used by the consolidation rounds of the cluster leader.
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

/// Services leave holes that nothing fills: the machine that pays least for itself is emptied, if
/// what it holds, what waits and what is expected all fit on the others. A replica is away for the
/// fraction of a second that its stop and start take; so only replicas that have run for a while
/// are moved, off a few machines a shard at a time. Work that would be lost is left to its end,
/// with nothing new beside it.
class Consolidator {
 public:
  /// The arguments must outlive this object.
  Consolidator(Context& context, const store::StateCache& state_cache, const Membership& membership,
               const ImageCaches& images)
      : context_(context), state_cache_(state_cache), membership_(membership), images_(images) {}

  void reset() { attempts_seen_.clear(); }
  /// To be called before each choice: remembers how far each job's attempts have come.
  void note_attempts();
  /// Machines of the shard to be emptied now. `planned` is the plan with all its machines.
  std::vector<std::string> machines_to_empty(int shard, const CapacityPlan& planned,
                                             CapacityPlanner& planner);

 private:
  struct Load {
    store::Resources used;
    bool movable = true;
    std::vector<const store::JobSpec*> moved;  // tasks that would go elsewhere
  };
  struct AttemptsSeen {
    double at = 0;
    uint64_t attempts = 0;
  };
  struct MachineCounts {
    size_t present = 0;
    size_t leaving = 0;  // of these: asked for by the cluster leader
  };
  using Loads = std::map<std::string, Load>;  // by machine

  MachineCounts count_machines(int shard) const;
  Loads loads_of(int shard) const;
  bool settled(const store::JobRecord& job, const store::Placement& placement) const;
  bool work_fits_elsewhere(const std::string& machine, int shard, const Loads& loads,
                           const std::set<std::string>& emptied) const;
  bool has_target(const store::JobSpec& spec, const std::string& from, int shard,
                  const Loads& loads, const std::set<std::string>& emptied) const;
  std::vector<std::string> candidates(int shard, const Loads& loads,
                                      const CapacityPlan& planned) const;

  Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  const ImageCaches& images_;
  // By job: how far its attempts had come, and when that was seen. A record tells only its last
  // start.
  std::map<std::string, std::deque<AttemptsSeen>> attempts_seen_;
};

}  // namespace rushtrestle::coordination
