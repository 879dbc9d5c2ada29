// Machines kept for a large gang that has waited too long, until all of it fits.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "coordination/scheduling/placement.h"

namespace rushtrestle::coordination {

/// What a machine will have free once the work on it that ends by itself has ended.
struct RoomToCome {
  std::string machine;
  std::string zone;
  std::string type;
  bool spot = false;
  store::Resources room;
};

/// A gang takes room only when all of it fits, so a stream of small jobs that takes each piece as
/// it comes free would keep it waiting for ever. Nothing of the same or a lower rank is placed on
/// the reserved machines but the gang. One reservation a shard, and for a limited time: the rest of
/// the shard goes on beside it.
struct GangReservation {
  std::string job;
  store::Rank rank = store::Rank::low;
  std::set<std::string> machines;
  double until = 0;

  bool keeps_out(const store::JobSpec& spec) const { return spec.id != job && spec.rank <= rank; }
};

/// The fewest machines, in one zone if the gang needs that, on which all of it will fit; empty if
/// there are none, or more than `most`.
std::set<std::string> machines_to_reserve(const store::JobSpec& gang,
                                          const std::vector<RoomToCome>& room,
                                          const std::vector<std::string>& zones, size_t most);

}  // namespace rushtrestle::coordination
