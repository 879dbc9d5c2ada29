// The gang reservations of the shards that this controller leads: at most one a shard.
//
// Invariant: a reservation that has not helped in its time gives way to other work for as long
// before the next one in its shard. Called by the scheduler and the modules that look for room.
#pragma once
#include <map>

#include "coordination/scheduling/gang_reservation.h"
#include "coordination/scheduling/placement_limits.h"
#include "coordination/scheduling/quota.h"

namespace rushtrestle::coordination {

class GangReservationTable {
 public:
  GangReservationTable(Context& context, const store::StateCache& state_cache, ShardState& state,
                       const TeamQuotas& quotas, const PlacementLimits& limits)
      : context_(context),
        state_cache_(state_cache),
        state_(state),
        quotas_(quotas),
        limits_(limits) {}

  /// The reservation that keeps this job off the reserved machines; null: there is none.
  const GangReservation* reservation_against(const ShardJob& job) const;
  /// Reserves machines of its shard for a gang that finds no room, if the shard has no reservation,
  /// none has just ended without effect, and the gang is within its team's quota.
  void reserve_for(const ShardJob& gang);
  /// Ends the shard's reservation if its gang waits no more or its time is over.
  void end_if_over(int shard);

 private:
  bool within_quota(const ShardJob& gang) const;
  std::vector<RoomToCome> room_to_come(int shard) const;

  Context& context_;
  const store::StateCache& state_cache_;
  ShardState& state_;
  const TeamQuotas& quotas_;
  const PlacementLimits& limits_;
  std::map<int, GangReservation> reservations_;  // by shard
  std::map<int, double> no_reservation_until_;   // by shard
};

}  // namespace rushtrestle::coordination
