// Undoes changes of free room on a picture of the machines.
//
// Invariant: unless `keep` was called, each recorded slot has the free room of its first record
// again once this object is destroyed, to the bit: the old values are put back, as adding and
// subtracting the same room would leave rounding errors behind. Used by trials that share one
// picture: the trial eviction, and the search for room for a whole job.
#pragma once
#include <vector>

#include "coordination/scheduling/placement.h"

namespace rushtrestle::coordination {

class SlotRollback {
 public:
  SlotRollback() = default;
  SlotRollback(const SlotRollback&) = delete;
  SlotRollback& operator=(const SlotRollback&) = delete;
  ~SlotRollback() {
    for (auto change = changes_.rbegin(); change != changes_.rend(); ++change)
      change->slot->free = change->free_before;
  }

  /// To be called before each change of the slot's free room. The slot must outlive this object
  /// unless `keep` is called.
  void record(Slot& slot) { changes_.push_back({&slot, slot.free}); }
  /// The changes made so far stay.
  void keep() { changes_.clear(); }

 private:
  struct Change {
    Slot* slot;
    store::Resources free_before;
  };
  std::vector<Change> changes_;
};

}  // namespace rushtrestle::coordination
