// Writes the cluster leader's changes of machine records. Invariant: a write takes effect only
// while this controller is the cluster leader and only on the version of the record that it was
// computed from. Used by every module of the fleet package that changes existing machine records.
#pragma once
#include <functional>
#include <string>

#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

class FleetRecordWriter {
 public:
  /// Changes the record just before the write is sent; returns false if nothing is to be written.
  using Change = std::function<bool(store::MachineRecord&)>;
  using Done = std::function<void(WriteOutcome, uint64_t mod_revision)>;

  /// The arguments must outlive this object.
  FleetRecordWriter(const store::StateCache& state_cache, StateStoreClient& state_store,
                    const Membership& membership)
      : state_cache_(state_cache), state_store_(state_store), membership_(membership) {}

  /// Writes the record as changed by `change`. Skipped if the state cache has no such machine.
  void update(
      const std::string& machine, WriteCause cause, Change change,
      Done done = [](WriteOutcome, uint64_t) {});

 private:
  const store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
};

}  // namespace rushtrestle::coordination
