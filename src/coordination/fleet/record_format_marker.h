// Opens a record format once every controller reads it: from then on no older controller serves.
// Invariant: the mark is written by the cluster leader alone and is never taken back. Called in
// each tick of the cluster leader.
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

  /// Writes the mark if it is missing and every controller reads the newest record format.
  void tick();

 private:
  bool ready_to_open() const;

  Context& context_;
  const store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
  bool write_in_flight_ = false;
};

}  // namespace rushtrestle::coordination
