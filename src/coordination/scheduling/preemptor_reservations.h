// Room that a committed requeue frees for its preemptor, kept from others until that is placed.
#pragma once
#include <string>
#include <vector>

#include "store/domain.h"

namespace rushtrestle::coordination {

struct PreemptorReservation {
  std::string job;
  std::string machine;
  store::Resources room;
  double until = 0;
};

class PreemptorReservations {
 public:
  void add(PreemptorReservation reservation) { reservations_.push_back(std::move(reservation)); }
  bool has(const std::string& job) const;
  void remove_job(const std::string& job);
  /// Removes the reservations for which `gone` holds.
  template <class Predicate>
  void remove_if(Predicate gone) {
    std::erase_if(reservations_, gone);
  }
  const std::vector<PreemptorReservation>& all() const { return reservations_; }
  void expire(double now);

 private:
  std::vector<PreemptorReservation> reservations_;
};

}  // namespace rushtrestle::coordination
