// The fixed order of the controllers, which gives each lease key its home controller.
//
// The controllers of the settings are sorted by name, so that all of them use the same order: the
// i-th is the home of shard i, and the last is also the home of the cluster leader's key. Teams are
// assigned to shards from the first on, so the last controller has the fewest: it is the home of
// the cluster leader for that reason, and the controllers next to it take over before the
// leaders of the busiest shards do. Used by ShardAssignment, LeaderElection and BudgetDivision.
#pragma once
#include <string>
#include <vector>

#include "store/domain.h"

namespace rushtrestle::coordination {

class ControllerOrder {
 public:
  explicit ControllerOrder(const store::Settings& settings);

  /// Number of controllers in the fleet, this one included.
  size_t size() const { return controllers_.size(); }
  /// Number of shards in the fleet: one per controller.
  int shard_count() const { return shard_count_; }
  /// The controller that should hold the shard.
  const std::string& home_of_shard(int shard) const;
  /// Positions from the shard's home up to this controller, wrapping around; 0: this is the home.
  int distance_from_shard_home(int shard) const;
  /// The controller that should be the cluster leader.
  const std::string& home_of_leader() const;
  /// Positions from the leader's home down to this controller; 0: this is the home.
  int distance_from_leader_home() const;

 private:
  std::vector<std::string> controllers_;  // sorted by name
  int shard_count_;
  int own_index_;  // of this controller in `controllers_`
};

}  // namespace rushtrestle::coordination
