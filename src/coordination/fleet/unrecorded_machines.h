// Machines that exist at the cloud and whose records are not durable yet. Owns these records until
// their writes end; after a successful write the record is in the state cache. The provisioner and
// the cloud inventory add machines; the plan counts them as capacity.
#pragma once
#include <map>
#include <string>

#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

class UnrecordedMachines {
 public:
  using RecordsById = std::map<std::string, store::MachineRecord>;

  /// The arguments must outlive this object.
  UnrecordedMachines(const store::StateCache& state_cache, StateStoreClient& state_store,
                     const Membership& membership)
      : state_cache_(state_cache), state_store_(state_store), membership_(membership) {}

  /// Forgets all machines. Called at the start of a leadership.
  void reset() { records_.clear(); }
  /// Adds the machine and writes its record.
  void record(const store::MachineRecord& machine);
  bool contains(const std::string& machine) const { return records_.count(machine) != 0; }
  const RecordsById& records() const { return records_; }

 private:
  const store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
  RecordsById records_;
};

}  // namespace rushtrestle::coordination
