// Fetches the machine types that the cloud offers, with their prices, and records them for all
// controllers. Prices move, shapes (all other properties) do not: the record is written only when a
// shape has changed. Run by the cluster leader; the capacity planner takes the prices from here.
#pragma once
#include <vector>

#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

class TypeCatalogue {
 public:
  /// The arguments must outlive this object.
  TypeCatalogue(Context& context, const store::StateCache& state_cache,
                StateStoreClient& state_store, const Membership& membership,
                TokenBucket& cloud_budget)
      : context_(context),
        state_cache_(state_cache),
        state_store_(state_store),
        membership_(membership),
        cloud_budget_(cloud_budget) {}

  /// Makes a fetch due at once; the last prices are kept until it succeeds. Called at the start of
  /// a leadership.
  void reset();
  /// Fetches the types if a fetch is due and the budget of cloud calls allows it.
  void tick();
  /// Steady time of the next fetch, in seconds; kNoDueTime while one is in flight.
  double next_due() const {
    if (fetch_in_flight_) return kNoDueTime;
    return next_fetch_;
  }
  /// Returns the machine types, with prices, of the last fetch; empty before the first one.
  const std::vector<store::MachineType>& prices() const { return prices_; }

 private:
  void fetch();
  void on_fetched(const CallDone& done);
  void record_types();

  Context& context_;
  const store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
  TokenBucket& cloud_budget_;
  double next_fetch_ = 0;
  bool fetch_in_flight_ = false;
  std::vector<store::MachineType> prices_;
};

}  // namespace rushtrestle::coordination
