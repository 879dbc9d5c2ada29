// Reservation of machines for a large gang that has waited too long, until the whole gang fits.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "coordination/scheduling/placement.h"

namespace rushtrestle::coordination {

/// The resources that a machine will have free once all work on it except services has ended.
struct FutureCapacity {
  std::string machine;
  std::string zone;
  std::string type;
  bool spot = false;
  store::Resources free;
};

/// Keeps machines free for one gang. A gang is placed only when all of its tasks fit, so a stream
/// of small jobs that takes each free piece of capacity would keep it waiting for ever. No other
/// job of the same or a lower rank is placed on the reserved machines. A shard has at most one
/// reservation, for a limited time, so that scheduling on its other machines continues.
struct GangReservation {
  std::string job;
  store::Rank rank = store::Rank::low;
  std::set<std::string> machines;
  double expires_at = 0;  // seconds, by the clock of `Context::now`

  /// Returns true if the job must not be placed on the reserved machines.
  bool excludes(const store::JobSpec& spec) const { return spec.id != job && spec.rank <= rank; }
};

/// Returns the smallest set of machines, in one zone if the gang requires that, on which the whole
/// gang will fit. Empty: there is none, or it has more than `max_machines` machines.
std::set<std::string> machines_to_reserve(const store::JobSpec& gang,
                                          const std::vector<FutureCapacity>& future_capacity,
                                          const std::vector<std::string>& zones,
                                          size_t max_machines);

}  // namespace rushtrestle::coordination
