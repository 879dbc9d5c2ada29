#include "coordination/scheduling/quota.h"

#include <algorithm>

namespace rushtrestle::coordination {

namespace {
constexpr double kLoadOfUnknownTeam = 1e9;
}  // namespace

bool TeamQuotas::within_quota(const std::string& team, const store::Resources& more) const {
  const auto* team_settings = context_.team(team);
  if (!team_settings) return false;
  store::Resources used = more;
  const auto usage = state_.team_usage().find(team);
  if (usage != state_.team_usage().end()) used.add(usage->second);
  const auto& quota = team_settings->quota;
  return used.cpus <= quota.cpus + store::Resources::kSlack &&
         used.gpus <= quota.gpus + store::Resources::kSlack;
}

double TeamQuotas::team_load(const std::string& team) {
  const auto* team_settings = context_.team(team);
  if (!team_settings) return kLoadOfUnknownTeam;
  const auto& used = state_.team_usage()[team];
  double share = 1;
  for (const auto& [name, operators_share] : context_.operators.team_shares)
    if (name == team) share = operators_share;
  if (!team_settings->has_guarantee()) return std::max(used.cpus, used.gpus) / share;
  const auto& guarantee = team_settings->guarantee;
  return std::max(guarantee.cpus > 0 ? used.cpus / guarantee.cpus : 0,
                  guarantee.gpus > 0 ? used.gpus / guarantee.gpus : 0) /
         share;
}

}  // namespace rushtrestle::coordination
