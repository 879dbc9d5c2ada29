// The trial eviction of the Expected Runtime design: the picture of the machines as if the victim
// had been evicted.
//
// Invariant: unless `commit` was called, the picture is rolled back to the bit on destruction, so
// that one picture serves all trials of a scan. Nothing but the picture is changed. Used by the
// requeue action.
#pragma once
#include <vector>

#include "coordination/scheduling/slot_rollback.h"
#include "store/records.h"

namespace rushtrestle::coordination {

class TrialEviction {
 public:
  /// Adds the room of the victim's tasks to the slots of their machines. `picture` is sorted by
  /// machine id; machines that are not in it take no work, so their room does not count.
  TrialEviction(const store::JobRecord& victim, std::vector<Slot>& picture);

  /// The victim will be evicted: the picture is not rolled back and may be replaced.
  void commit() { rollback_.keep(); }

 private:
  SlotRollback rollback_;
};

}  // namespace rushtrestle::coordination
