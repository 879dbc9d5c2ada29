// Finds machines that are silent, unreachable or faulty, and marks them for deletion.
//
// Invariant: a lost machine is marked only if nothing points to a network partition (a peer that
// hears the machine, many silent machines in its zone) or after `correlated_silence_limit_s`, and
// only a few are marked at a time: a partition must not cost a zone its machines. Called by
// ShardController, in rounds over all machines.
#pragma once
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "coordination/shard/failure_tracker.h"
#include "coordination/shard/machine_record_writer.h"

namespace rushtrestle::coordination {

/// Checks the health of the machines of the shards that this controller leads.
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

  /// Counts the silent machines of each zone. Called before each round of `check`.
  void count_silent_machines();
  /// Probes the machine if it is silent, and marks it for deletion if it is lost or faulty.
  void check(ShardMachine& machine);

 private:
  /// Number of a zone's machines with a known address, and how many of them are silent.
  struct ZoneSilence {
    int machines = 0;
    int silent = 0;
  };
  /// For how many seconds a machine has not been heard or reached, and which limits this exceeds.
  struct Reachability {
    /// Since the last newer heartbeat: direct, forwarded or the answer to commands.
    double silent_s = 0;
    /// Since commands began to fail or, if later, since the worker was heard again; 0 if commands
    /// are answered.
    double unreachable_s = 0;
    /// Since the last heartbeat that the worker sent of its own accord.
    double unreported_s = 0;
    bool silent = false;
    bool unreachable = false;
    bool reaches_no_controller = false;

    bool lost() const { return silent || unreachable || reaches_no_controller; }
    double longest_s() const { return std::max({silent_s, unreachable_s, unreported_s}); }
  };

  void check_boot_timeout(ShardMachine& machine, const store::MachineRecord& durable);
  void check_reachability(ShardMachine& machine);
  bool proven_faulty(const ShardMachine& machine) const;
  Reachability reachability_of(const ShardMachine& machine) const;
  bool reached_through_peers(const ShardMachine& machine, const Reachability& reachability) const;
  bool suspected_partition(const ShardMachine& machine, const Reachability& reachability) const;
  /// Whether fewer machines than the limit were marked for silence within `silence_limit_s`.
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
  std::map<std::string, ZoneSilence> silence_by_zone_;  // as of the last count
  // Steady times in seconds of the marks for silence within the last `silence_limit_s`.
  std::vector<double> silence_marked_at_;
};

}  // namespace rushtrestle::coordination
