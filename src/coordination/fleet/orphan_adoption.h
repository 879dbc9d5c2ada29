// Divides orphans, machines that the cloud lists and nobody has a record of, among the shards. Used
// by the cloud inventory, one object for each page that the cloud lists.
#pragma once
#include <map>
#include <string>

#include "coordination/fleet/unrecorded_machines.h"
#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

/// Chooses the shard that gets a machine which the cloud lists and the state cache does not have:
/// the one with the most work, by its teams' guarantees, for the machines of that type which it
/// has. The counts are taken once and kept up to date: taken for each machine, a fleet that was
/// adopted whole took the square of its size.
class AdoptionShares {
 public:
  /// The arguments must outlive this object.
  AdoptionShares(const Context& context, const store::StateCache& state_cache,
                 const Membership& membership, const UnrecordedMachines& unrecorded)
      : context_(context),
        state_cache_(state_cache),
        membership_(membership),
        unrecorded_(unrecorded) {}

  /// The shard of the next machine of this type, which counts as given to it.
  int next_shard(const std::string& type);

 private:
  using Load = std::map<int, double>;  // by shard that has teams; the lowest gets the next machine
  Load count(const std::string& type) const;

  const Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  const UnrecordedMachines& unrecorded_;
  std::map<std::string, Load> loads_;  // by type
};

}  // namespace rushtrestle::coordination
