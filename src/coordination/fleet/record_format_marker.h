// Enables the newest record format once every controller reads it, by writing its number to the
// state store; from then on, no controller that does not read this format may serve. Invariant:
// only the cluster leader writes this number, and it never decreases. Called in each tick of the
// cluster leader.
#pragma once
#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

class RecordFormatMarker {
 public:
  /// The arguments must outlive this object.
  RecordFormatMarker(Context& context, const store::StateCache& state_cache,
                     StateStoreClient& state_store, const Membership& membership)
      : context_(context),
        state_cache_(state_cache),
        state_store_(state_store),
        membership_(membership) {}

  /// Enables the newest record format if it is not enabled yet and every controller reads it.
  void tick();

 private:
  bool ready_to_enable() const;

  Context& context_;
  const store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
  bool write_in_flight_ = false;
};

}  // namespace rushtrestle::coordination
