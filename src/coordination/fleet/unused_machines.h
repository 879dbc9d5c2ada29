// The machines that a plan has no use for, by kind and part.
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
/// for each machine that another shard wants took the square of the fleet.
class UnusedMachines {
 public:
  /// Machines that the state cache does not have are left out.
  UnusedMachines(std::vector<std::string> machines, const store::StateCache& state_cache);

  /// Takes one of this kind that is not of this shard.
  std::optional<std::string> take(const MachineKind& kind, int other_than_shard);
  /// What was not taken, in the plan's order.
  std::vector<std::string> remaining() const;

 private:
  std::vector<std::string> machines_;
  std::map<MachineKind, std::map<int, std::deque<size_t>>>
      places_;  // in `machines_`, by kind and part
  std::set<size_t> left_;
};

}  // namespace rushtrestle::coordination
