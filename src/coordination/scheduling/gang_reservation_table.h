// Gang reservations of the shards that this controller leads, at most one per shard.
//
// Invariant: after a reservation has expired, no other is made in its shard for as long as it
// lasted, so that other jobs get the machines. Called by the scheduler, the gang scheduler and the
// slot finder.
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

  /// Returns the reservation on whose machines this job must not be placed; null: there is none.
  const GangReservation* reservation_excluding(const ShardJob& job) const;
  /// Reserves machines of the gang's shard if the shard has no reservation, none has just expired
  /// there without effect, and the gang is within its team's quota.
  void reserve_for(const ShardJob& gang);
  /// Removes the shard's reservation if its gang no longer waits or the reservation has expired.
  void remove_if_finished(int shard);

 private:
  bool within_quota(const ShardJob& gang) const;
  std::vector<FutureCapacity> future_capacity(int shard) const;

  Context& context_;
  const store::StateCache& state_cache_;
  ShardState& state_;
  const TeamQuotas& quotas_;
  const PlacementLimits& limits_;
  std::map<int, GangReservation> reservations_;  // by shard
  std::map<int, double> no_reservation_until_;   // by shard, in seconds of `Context::now`
};

}  // namespace rushtrestle::coordination
