#include "coordination/membership/controller_order.h"

#include <algorithm>

namespace rushtrestle::coordination {

namespace {

std::vector<std::string> sorted_controllers(const store::Settings& settings) {
  std::vector<std::string> controllers{settings.node};
  for (const auto& peer : settings.peers) controllers.push_back(peer.node);
  std::sort(controllers.begin(), controllers.end());
  return controllers;
}

}  // namespace

ControllerOrder::ControllerOrder(const store::Settings& settings)
    : controllers_(sorted_controllers(settings)),
      shard_count_(settings.nodes),
      own_index_(
          static_cast<int>(std::find(controllers_.begin(), controllers_.end(), settings.node) -
                           controllers_.begin())) {}

const std::string& ControllerOrder::home_of_shard(int shard) const {
  return controllers_[static_cast<size_t>(shard % shard_count_)];
}

int ControllerOrder::distance_from_shard_home(int shard) const {
  return (own_index_ - shard + shard_count_) % shard_count_;
}

const std::string& ControllerOrder::home_of_leader() const {
  return controllers_[static_cast<size_t>(shard_count_ - 1)];
}

int ControllerOrder::distance_from_leader_home() const {
  return (shard_count_ - 1 - own_index_ + shard_count_) % shard_count_;
}

}  // namespace rushtrestle::coordination
