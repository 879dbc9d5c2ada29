// Writes of machine records by the cluster leader. Invariant: a write takes effect only while this
// controller is the cluster leader, on the version of the record that it was worked out from. Used
// by every module of the fleet package that changes machine records.
#pragma once
#include <functional>
#include <string>

#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

class FleetRecordWriter {
 public:
  /// Changes the record when the write is about to leave; false: nothing is to be written.
  using Change = std::function<bool(store::MachineRecord&)>;
  using Done = std::function<void(WriteOutcome, uint64_t mod_revision)>;

  /// The arguments must outlive this object.
  FleetRecordWriter(const store::StateCache& state_cache, StateStoreClient& state_store,
                    const Membership& membership)
      : state_cache_(state_cache), state_store_(state_store), membership_(membership) {}

  /// Writes the record as `change` leaves it. Skipped if the state cache has no such machine.
  void update(
      const std::string& machine, WriteCause cause, Change change,
      Done done = [](WriteOutcome, uint64_t) {});

 private:
  const store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
};

}  // namespace rushtrestle::coordination
