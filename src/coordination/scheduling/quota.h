// What teams may use, and how much of their share they use, in the shards of this controller.
// Called by the scheduler and the modules that look for room.
#pragma once
#include <string>

#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

class TeamQuotas {
 public:
  TeamQuotas(const Context& context, ShardState& state) : context_(context), state_(state) {}

  /// May the team use that much more than now? Not so for an unknown team.
  bool within_quota(const std::string& team, const store::Resources& more) const;
  /// What the team uses, as a part of its guarantee and by its share; for best-effort teams, by
  /// what they use. Higher than that of any other for an unknown team.
  double team_load(const std::string& team);

 private:
  const Context& context_;
  ShardState& state_;
};

}  // namespace rushtrestle::coordination
