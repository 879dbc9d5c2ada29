// Data types of capacity planning: the kind of a machine, the plan (machines that shards lack or do
// not need), and the facts about the cloud that are not in the state cache. The capacity planner
// fills plans; the cluster leader's modules act on them.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/runtime/context.h"
#include "coordination/scheduling/placement.h"

namespace rushtrestle::coordination {

/// A combination of machine type, zone and pricing model (spot or on-demand) that the cloud offers.
struct MachineKind {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const =
      default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 reads a 0 here
};

/// Returns the kind of a recorded machine.
MachineKind kind_of(const store::MachineRecord& machine);

/// Machines of one kind that a shard lacks.
struct MachineShortage {
  int shard = 0;
  MachineKind kind;
  int urgent = 0;                       // machines for waiting work
  int expected = 0;                     // machines for forecast work
  store::Rank rank = store::Rank::low;  // highest rank of the waiting work

  int machines() const { return urgent + expected; }
  /// Takes one machine off the shortage, from `urgent` first.
  void remove_one() { --(urgent > 0 ? urgent : expected); }
};

/// A job whose next task is within its team's guarantee, but fits on no machine and cannot get a
/// new one.
struct UnmetDemand {
  int shard = 0;
  store::JobSpec spec;
  ZoneCounts zones;  // tasks of the job by zone, those placed by the plan included
};

/// The capacity plan of one or more shards.
struct CapacityPlan {
  std::vector<MachineShortage> shortages;
  /// Shortages of best-effort teams. They are no reason to keep an existing machine.
  std::vector<MachineShortage> best_effort_shortages;
  std::vector<std::string> unused;  // ids of machines that no work needs
  std::vector<UnmetDemand> unmet;
};

/// What the cluster leader knows about the cloud beyond the contents of the state cache.
struct CloudView {
  std::vector<store::MachineType> priced_types;  // types with their current prices
  std::set<MachineKind> unavailable;             // cannot be provisioned at present
  std::vector<store::MachineRecord> unrecorded;  // provided, but their records are not durable yet
  std::map<int, std::vector<MachineKind>> requested;  // by shard: the cloud has not answered yet
  const std::set<std::string>* running = nullptr;  // machines the cloud lists as running, or null
};

/// Returns whether a task of this job can be stopped and restarted without losing work: services
/// and jobs with checkpoints.
bool can_move(const store::JobSpec& spec);

/// Returns whether the operators' settings allow preempting work of this job's rank.
bool is_preemptible(const store::JobSpec& spec, const Context& context);

/// Returns whether the machine has exceeded the usual boot time without coming up. Such a machine
/// may never come up, so plans do not count it as capacity. A machine has come up if its record has
/// an address or the cloud lists it as running, because the address may reach the record late.
/// `wall` is the wall-clock time in seconds.
bool boot_overdue(const store::MachineRecord& machine, const store::StateCache& state_cache,
                  const std::set<std::string>* running, double wall);

}  // namespace rushtrestle::coordination
