#include "coordination/scheduling/preemptor_reservations.h"

#include <algorithm>

namespace rushtrestle::coordination {

bool PreemptorReservations::has(const std::string& job) const {
  return std::any_of(
      reservations_.begin(), reservations_.end(),
      [&](const PreemptorReservation& reservation) { return reservation.job == job; });
}

void PreemptorReservations::remove_job(const std::string& job) {
  std::erase_if(reservations_,
                [&](const PreemptorReservation& reservation) { return reservation.job == job; });
}

void PreemptorReservations::expire(double now) {
  std::erase_if(reservations_, [&](const PreemptorReservation& reservation) {
    return now > reservation.expires_at;
  });
}

}  // namespace rushtrestle::coordination
