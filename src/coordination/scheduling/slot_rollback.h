// Undoes changes of the free resources in a snapshot of the machines.
//
// Invariant: unless `keep` was called, the destructor restores the free resources that each slot
// had at its first call of `record`, bit for bit. It puts the old values back, as adding and
// subtracting the same resources would leave rounding errors. Used by trials that share one
// snapshot: the trial eviction, and the search for room for a whole job.
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

  /// Must be called before each change of the slot's free resources. The slot must outlive this
  /// object unless `keep` is called.
  void record(Slot& slot) { changes_.push_back({&slot, slot.free}); }
  /// Keeps the changes recorded so far.
  void keep() { changes_.clear(); }

 private:
  struct Change {
    Slot* slot;
    store::Resources free_before;
  };
  std::vector<Change> changes_;
};

}  // namespace rushtrestle::coordination
