// The machines that a plan leaves unused, by kind and shard. Each is handed out once. Used to
// reassign machines between shards and to decide what to provision, with a new object each time.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/capacity_plan.h"

namespace rushtrestle::coordination {

/// Hands out machines of a kind in the plan's order. Machines are indexed by kind and shard,
/// because a scan of all of them for each machine that a shard lacks took time quadratic in the
/// fleet's size.
class UnusedMachines {
 public:
  /// Machines that the state cache does not have are left out.
  UnusedMachines(std::vector<std::string> machines, const store::StateCache& state_cache);

  /// Takes the first machine of this kind that belongs to a shard other than `other_than_shard`.
  std::optional<std::string> take(const MachineKind& kind, int other_than_shard);
  /// Returns the machines that were not taken, in the plan's order.
  std::vector<std::string> remaining() const;

 private:
  using Indices = std::deque<size_t>;  // into `machines_`, ascending

  std::vector<std::string> machines_;
  std::map<MachineKind, std::map<int, Indices>> indices_;  // by kind and shard
  std::set<size_t> remaining_;                             // indices that were not taken
};

}  // namespace rushtrestle::coordination
