// The machines that a plan has no use for, by kind and shard. Each is handed out once. Used for the
// sharing of machines between shards and for provisioning, an object for each plan.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/capacity_plan.h"

namespace rushtrestle::coordination {

/// Hands out machines of a kind, the first of the plan first. Indexed: to look through all of them
/// for each machine that another shard lacks took the square of the fleet.
class UnusedMachines {
 public:
  /// Machines that the state cache does not have are left out.
  UnusedMachines(std::vector<std::string> machines, const store::StateCache& state_cache);

  /// Takes one of this kind that is not of this shard.
  std::optional<std::string> take(const MachineKind& kind, int other_than_shard);
  /// What was not taken, in the plan's order.
  std::vector<std::string> remaining() const;

 private:
  using Places = std::deque<size_t>;  // in `machines_`, ascending

  std::vector<std::string> machines_;
  std::map<MachineKind, std::map<int, Places>> places_;  // by kind and shard
  std::set<size_t> left_;                                // places that were not taken
};

}  // namespace rushtrestle::coordination
