// The machine types that the cloud offers: fetches them with their prices and records their shapes
// for all controllers. Prices move, shapes do not: only a change of shape is written. Run by the
// cluster leader; the capacity planner takes the prices.
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

  /// At the start of a leadership: the types are fetched anew. The last prices are kept until then.
  void reset();
  /// Fetches the types if that is due and the cloud's budget allows.
  void tick();
  /// Steady time of the next fetch; none while one is under way.
  double next_due() const {
    if (fetch_in_flight_) return kNoDueTime;
    return next_fetch_;
  }
  /// As fetched last; empty: none were fetched yet.
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
