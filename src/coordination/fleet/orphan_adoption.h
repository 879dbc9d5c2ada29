// Chooses a shard for each orphan (a machine that the cloud lists and that has no record). Used by
// the cloud inventory, with a new object for each page of the cloud's list.
#pragma once
#include <map>
#include <string>

#include "coordination/fleet/unrecorded_machines.h"
#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

/// Balances orphans over the shards that have teams: an orphan goes to the shard with the fewest
/// machines of its type, and among equals to the one whose teams have the largest CPU guarantees.
/// Machines are counted once per type and each choice is added to the count: counting for each
/// orphan took time quadratic in the fleet's size when a whole fleet was adopted.
class OrphanShardSelector {
 public:
  /// The arguments must outlive this object.
  OrphanShardSelector(const Context& context, const store::StateCache& state_cache,
                      const Membership& membership, const UnrecordedMachines& unrecorded)
      : context_(context),
        state_cache_(state_cache),
        membership_(membership),
        unrecorded_(unrecorded) {}

  /// Returns the shard for the next orphan of this type and counts the orphan as a machine of it.
  int select_shard(const std::string& type);

 private:
  // By shard that has teams. The shard with the lowest load gets the next orphan.
  using Load = std::map<int, double>;
  Load count_load(const std::string& type) const;

  const Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  const UnrecordedMachines& unrecorded_;
  std::map<std::string, Load> loads_;  // by machine type
};

}  // namespace rushtrestle::coordination
