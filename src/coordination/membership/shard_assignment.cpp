#include "coordination/membership/shard_assignment.h"

#include <algorithm>
#include <utility>

namespace rushtrestle::coordination {

ShardAssignment::ShardAssignment(Context& context, const store::StateCache& state_cache,
                                 const ControllerOrder& order, const PeerDirectory& peers,
                                 LeaseClaims& claims, Events events)
    : context_(context),
      state_cache_(state_cache),
      order_(order),
      peers_(peers),
      claims_(claims),
      events_(std::move(events)) {
  for (const auto& team : context_.settings.teams) teams_.push_back(team.name);
  std::sort(teams_.begin(), teams_.end());
}

std::optional<int> ShardAssignment::shard_of_team(const std::string& team) const {
  const auto it = std::lower_bound(teams_.begin(), teams_.end(), team);
  if (it == teams_.end() || *it != team) return std::nullopt;
  return static_cast<int>(it - teams_.begin()) % order_.shard_count();
}

std::optional<uint64_t> ShardAssignment::fencing_token(int shard) const {
  const auto it = leases_.find(shard);
  if (it == leases_.end() || state_cache_.revision() < it->second.mod_revision) return std::nullopt;
  return it->second.mod_revision;
}

std::optional<std::string> ShardAssignment::leader_of(int shard) const {
  const auto* holder = state_cache_.lease_holder(store::shard_key(shard));
  if (!holder || !holder->present) return std::nullopt;
  return holder->record.node;
}

bool ShardAssignment::leads_a_shard(const std::string& node) const {
  for (int shard = 0; shard < order_.shard_count(); ++shard)
    if (leader_of(shard) == node) return true;
  return false;
}

// Work begins once the state cache covers all that earlier shard leaders wrote: the end of a job
// that was noticed before that could not be written and was lost.
void ShardAssignment::complete_acquisitions() {
  for (const int shard : shards_being_acquired()) {
    const auto token = fencing_token(shard);
    if (!token) continue;
    leases_.at(shard).acquiring = false;
    context_.info("shard_acquired shard=" + std::to_string(shard) +
                  " fencing_token=" + std::to_string(*token));
    events_.on_shard_acquired(shard);
  }
}

std::vector<int> ShardAssignment::shards_being_acquired() const {
  std::vector<int> shards;
  for (const auto& [shard, lease] : leases_)
    if (lease.acquiring) shards.push_back(shard);
  return shards;
}

void ShardAssignment::claim_vacant_shards() {
  for (int shard = 0; shard < order_.shard_count(); ++shard)
    claims_.claim_if_vacant(store::shard_key(shard), order_.home_of_shard(shard),
                            order_.distance_from_shard_home(shard));
}

void ShardAssignment::release_to_home_controllers() {
  for (const auto& [shard, lease] : leases_) release_if_home_is_stable(shard);
}

void ShardAssignment::release_if_home_is_stable(int shard) {
  const std::string& home = order_.home_of_shard(shard);
  if (home == context_.settings.node || !peers_.stable(home)) return;
  const std::string key = store::shard_key(shard);
  if (claims_.write_pending(key)) return;
  context_.info("shard_release_requested shard=" + std::to_string(shard) + " home=" + home);
  claims_.release(key, [this, shard] { return fencing_token(shard); });
}

// Returns none for a key that is not that of a shard. Other clients of the state store can write
// one, and parsing its number threw out of the controller.
std::optional<int> ShardAssignment::shard_of_key(const std::string& key) const {
  for (int shard = 0; shard < order_.shard_count(); ++shard)
    if (key == store::shard_key(shard)) return shard;
  return std::nullopt;
}

void ShardAssignment::on_lease_holder_changed(const std::string& key) {
  const std::optional<int> shard = shard_of_key(key);
  if (!shard) return;
  const auto own_revision = claims_.own_mod_revision(key);
  const auto it = leases_.find(*shard);
  const bool known = it != leases_.end();
  if (own_revision && !(known && it->second.mod_revision == *own_revision)) {
    // The key was lost and acquired again, without a change seen in between.
    if (known && !it->second.acquiring) events_.on_shard_lost(*shard);
    leases_[*shard] = {.mod_revision = *own_revision, .acquiring = true};
  } else if (!own_revision && known) {
    const bool was_acquired = !it->second.acquiring;
    leases_.erase(it);
    context_.info("shard_lost shard=" + std::to_string(*shard));
    if (was_acquired) events_.on_shard_lost(*shard);
  }
}

void ShardAssignment::on_lease_lost() {
  const auto lost = std::exchange(leases_, {});
  for (const auto& [shard, lease] : lost)
    if (!lease.acquiring) events_.on_shard_lost(shard);
}

}  // namespace rushtrestle::coordination
