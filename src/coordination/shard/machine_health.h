// Finds machines that are lost, faulty or unreachable, and marks them for deletion.
//
// Invariant: a machine is given up only for a silence that peers don't contradict or that lasts
// very long, and only a few at a time: a cut of the network must not cost a zone's machines.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "coordination/shard/failure_tracker.h"
#include "coordination/shard/machine_record_writer.h"

namespace rushtrestle::coordination {

class MachineHealth {
 public:
  MachineHealth(Context& context, store::StateCache& state_cache,
                const StateStoreClient& state_store, const Membership& membership,
                ShardState& state, DispatchQueue& dispatch_queue,
                MachineRecordWriter& machine_writer, FailureTracker& failures)
      : context_(context),
        state_cache_(state_cache),
        state_store_(state_store),
        membership_(membership),
        state_(state),
        dispatch_queue_(dispatch_queue),
        machine_writer_(machine_writer),
        failures_(failures) {}

  /// Counts the silent machines of each zone; to be called before a round of `check`.
  void count_silent();
  void check(ShardMachine& machine);

 private:
  struct ZoneSilence {
    int machines = 0;
    int silent = 0;
  };
  bool correlated_silence(const ShardMachine& machine) const;
  void mark_for_deletion(ShardMachine& machine, const std::string& reason);

  Context& context_;
  store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
  const Membership& membership_;
  ShardState& state_;
  DispatchQueue& dispatch_queue_;
  MachineRecordWriter& machine_writer_;
  FailureTracker& failures_;
  std::map<std::string, ZoneSilence> silence_;  // by zone, as of the last count
  std::vector<double> marked_for_deletion_at_;  // for silence, of late
};

}  // namespace rushtrestle::coordination
