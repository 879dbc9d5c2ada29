// The fixed order of the controllers, from which each lease key gets its home.
//
// The controllers of the settings are sorted by name, so that all of them reckon with the same
// order: the i-th is the home of shard i, and the last is also the home of the cluster leader's
// key. Teams are dealt to shards from the first on, so the last controller has the fewest: the
// cluster leader stands there, and the controllers next to it step in for it before the leaders of
// the busiest shards do. Used by shard assignment, leader election and the division of the budget.
#pragma once
#include <string>
#include <vector>

#include "store/domain.h"

namespace rushtrestle::coordination {

class ControllerOrder {
 public:
  explicit ControllerOrder(const store::Settings& settings);

  /// Controllers in the fleet, this one included.
  size_t size() const { return controllers_.size(); }
  /// Shards in the fleet; one a controller.
  int shards() const { return shards_; }
  /// The controller that should hold the shard.
  const std::string& home_of_shard(int shard) const;
  /// Places from the shard's home up to this controller, going round; 0: this is the home.
  int distance_from_shard_home(int shard) const;
  /// The controller that should be the cluster leader.
  const std::string& home_of_leader() const;
  /// Places from the leader's home down to this controller; 0: this is the home.
  int distance_from_leader_home() const;

 private:
  std::vector<std::string> controllers_;  // sorted by name
  int shards_;
  int own_place_;  // of this controller in `controllers_`
};

}  // namespace rushtrestle::coordination
