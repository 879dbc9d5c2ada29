// Deals machines that nobody has a record of among the parts of the fleet.
#pragma once
#include <map>
#include <set>
#include <string>

#include "coordination/membership.h"

namespace rushtrestle::coordination {

/// Chooses the part that gets a machine which the cloud lists and the model does not have: the one with the most work, by
/// its teams' guarantees, for the machines of that type which it has. The counts are taken once and kept up to date: taken
/// for each machine, a fleet that was adopted whole took the square of its size.
class AdoptionShares {
 public:
  using Fresh = std::map<std::string, store::MachineRecord>;  // rented, record not durable yet

  /// The arguments must outlive this object.
  AdoptionShares(const Context& ctx, const store::Model& model, const Membership& members, const Fresh& fresh)
      : ctx_(ctx), model_(model), members_(members), fresh_(fresh) {}

  /// The part of the next machine of this type, which counts as given to it.
  int next_part(const std::string& type);

 private:
  using Load = std::map<int, double>;  // by part that has teams; the lowest gets the next machine
  Load count(const std::string& type) const;

  const Context& ctx_;
  const store::Model& model_;
  const Membership& members_;
  const Fresh& fresh_;
  std::map<std::string, Load> loads_;  // by type
};

}  // namespace rushtrestle::coordination
