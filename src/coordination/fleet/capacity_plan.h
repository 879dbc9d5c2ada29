// What a capacity plan is made of and made from: kinds of machines, the machines that shards lack,
// what they do not need, and what is known of the cloud beside the state cache. Plain data, without
// behaviour of its own; the capacity planner fills plans, the cluster leader's modules act on them.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/runtime/context.h"
#include "coordination/scheduling/placement.h"

namespace rushtrestle::coordination {

/// One kind of machine that the cloud provides.
struct MachineKind {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const =
      default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 reads a 0 here
};

/// The kind of a machine on record.
MachineKind kind_of(const store::MachineRecord& machine);

/// Machines of one kind that a shard lacks.
struct MachineShortage {
  int shard = 0;
  MachineKind kind;
  int urgent = 0;                       // for work that waits
  int expected = 0;                     // for work that is expected
  store::Rank rank = store::Rank::low;  // of the most important work that waits for them

  int machines() const { return urgent + expected; }
  /// One of them is provided for: first those for work that waits.
  void reduce() { --(urgent > 0 ? urgent : expected); }
};

/// Work within its team's guarantee for which there is neither room nor anything to provision.
struct UnmetDemand {
  int shard = 0;
  store::JobSpec spec;
  ZoneCounts zones;
};

/// The plans of one or more shards.
struct CapacityPlan {
  std::vector<MachineShortage> shortages;
  /// Of best-effort teams: no reason to keep a machine.
  std::vector<MachineShortage> best_effort_shortages;
  std::vector<std::string> unused;  // machines
  std::vector<UnmetDemand> unmet;
};

/// What the cluster leader knows of the cloud that is not in the state cache.
struct CloudOutlook {
  std::vector<store::MachineType> prices;             // current ones
  std::set<MachineKind> unavailable;                  // not to be had at present
  std::vector<store::MachineRecord> unrecorded;       // machines whose records are not durable yet
  std::map<int, std::vector<MachineKind>> requested;  // by shard: asked for, without an answer
  const std::set<std::string>* running = nullptr;     // machines that the cloud lists as running
};

/// May a task of this job be stopped without loss of work?
bool can_move(const store::JobSpec& spec);

/// May work of this job's rank be preempted, by the operators' settings?
bool is_preemptible(const store::JobSpec& spec, const Context& context);

/// A machine that should have come up by now: it may never do so, and does not count as capacity.
/// Its record may get its address late, so what the cloud lists as running counts, too. `wall`:
/// seconds, time of day.
bool boot_overdue(const store::MachineRecord& machine, const store::StateCache& state_cache,
                  const std::set<std::string>* running, double wall);

}  // namespace rushtrestle::coordination
