// Trial eviction of the Expected Runtime design: changes the slots as if the victim had been
// evicted.
//
// Invariant: unless `commit` was called, the destructor restores the slots exactly, to the bit, so
// that all trials of a scan can share one list of slots. Nothing but the slots is changed. Used by
// the requeue action.
#pragma once
#include <vector>

#include "coordination/scheduling/slot_rollback.h"
#include "store/records.h"

namespace rushtrestle::coordination {

class TrialEviction {
 public:
  /// Adds the resources of the victim's tasks to the slots of their machines. `slots` must be
  /// sorted by machine id. Machines without a slot accept no tasks, so their resources are not
  /// counted.
  TrialEviction(const store::JobRecord& victim, std::vector<Slot>& slots);

  /// Keeps the changes, as the victim will be evicted. The list of slots may then be replaced.
  void commit() { rollback_.keep(); }

 private:
  SlotRollback rollback_;
};

}  // namespace rushtrestle::coordination
