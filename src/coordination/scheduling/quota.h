// Checks teams' quotas and computes their load, over the shards that this controller leads. Called
// by the scheduler and the modules that search for free resources.
#pragma once
#include <string>

#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

class TeamQuotas {
 public:
  TeamQuotas(const Context& context, ShardState& state) : context_(context), state_(state) {}

  /// Returns whether the team may use `more` resources in addition to what it uses now; false for
  /// an unknown team.
  bool within_quota(const std::string& team, const store::Resources& more) const;
  /// Returns the larger of the team's CPU and GPU usage relative to its guarantee, divided by its
  /// share. Best-effort teams have no guarantee: their load is the larger of their CPUs and GPUs in
  /// use, divided by their share. An unknown team has a higher load than any other.
  double team_load(const std::string& team);

 private:
  const Context& context_;
  ShardState& state_;
};

}  // namespace rushtrestle::coordination
