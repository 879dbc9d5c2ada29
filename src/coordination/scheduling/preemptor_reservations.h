// Resources that a committed requeue frees for the preempting job. They are kept from other jobs
// until that job is placed or the reservation expires.
#pragma once
#include <string>
#include <vector>

#include "store/domain.h"

namespace rushtrestle::coordination {

struct PreemptorReservation {
  std::string job;  // The preempting job.
  std::string machine;
  store::Resources room;
  double expires_at = 0;  // Steady time in seconds at which the reservation expires.
};

class PreemptorReservations {
 public:
  void add(PreemptorReservation reservation) { reservations_.push_back(std::move(reservation)); }
  bool has(const std::string& job) const;
  void remove_job(const std::string& job);
  /// Removes the reservations for which `should_remove` returns true.
  template <class Predicate>
  void remove_if(Predicate should_remove) {
    std::erase_if(reservations_, should_remove);
  }
  const std::vector<PreemptorReservation>& all() const { return reservations_; }
  /// Removes the reservations that expired before `now`.
  void expire(double now);

 private:
  std::vector<PreemptorReservation> reservations_;
};

}  // namespace rushtrestle::coordination
