// Finds machines that are lost, faulty or unreachable, and marks them for deletion.
//
// Invariant: a machine is given up only for a silence that peers don't contradict or that lasts
// very long, and only a few at a time: a partition of the network must not cost a zone's machines.
// Called by ShardController, in rounds over all machines.
#pragma once
#include <algorithm>
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
  /// Probes the machine if it is silent, and marks it for deletion if it is given up.
  void check(ShardMachine& machine);

 private:
  struct ZoneSilence {
    int machines = 0;
    int silent = 0;
  };
  /// How long a machine has not been reached or heard, and which limits that exceeds.
  struct Reachability {
    /// Since the last newer heartbeat, however it came.
    double silent_s = 0;
    /// For how long it has been heard though commands fail.
    double unreachable_s = 0;
    /// Since the last heartbeat that the worker sent by itself.
    double unreported_s = 0;
    bool silent = false;
    bool unreachable = false;
    bool reaches_no_controller = false;

    bool lost() const { return silent || unreachable || reaches_no_controller; }
    double longest_s() const { return std::max({silent_s, unreachable_s, unreported_s}); }
  };

  void check_boot(ShardMachine& machine, const store::MachineRecord& durable);
  void check_reachability(ShardMachine& machine);
  bool proven_faulty(const ShardMachine& machine) const;
  Reachability reachability_of(const ShardMachine& machine) const;
  bool reached_through_peers(const ShardMachine& machine, const Reachability& reachability) const;
  bool suspected_partition(const ShardMachine& machine, const Reachability& reachability) const;
  /// Fewer machines than the limit were marked for deletion of late because of silence.
  bool deletion_budget_left();
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
