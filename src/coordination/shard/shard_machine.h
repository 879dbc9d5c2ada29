// The in-memory state of a machine whose shard this controller leads: what its worker reported,
// which tasks are placed on it, and whether commands reach it. Times are steady times in seconds.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/runtime/context.h"
#include "coordination/shard/failure_attribution.h"

namespace rushtrestle::coordination {

/// Identifies a task by its job's id and its number in the job.
using TaskKey = std::pair<std::string, uint32_t>;
/// The attempt number of each task on a machine.
using TasksOnMachine = std::map<TaskKey, uint64_t>;

/// What this controller knows of a machine, and its commands and writes for it.
struct ShardMachine {
  std::string id;
  int shard = 0;
  /// When this controller became responsible for the machine.
  double responsible_since = 0;

  // What the worker reported.
  bool heartbeat_received = false;  // this controller has applied a heartbeat of the worker
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
  uint64_t highest_token_seen = 0;
  std::vector<ReportedTask> reported;
  /// Seconds until the cloud takes the machine back, as last reported; none: no notice.
  std::optional<double> notice_s;
  /// When the last newer heartbeat (by agent epoch and sequence number) arrived: sent directly,
  /// forwarded by another controller, or as the answer to commands.
  double last_seen = 0;
  /// When the last heartbeat arrived that the worker sent of its own accord. Answers to commands
  /// don't count, as they renew no lease.
  double last_heartbeat = 0;
  /// When the worker was last heard again after a silence.
  double heard_since = 0;
  /// When the last newer heartbeat arrived through another controller.
  double forwarded_at = kLongAgo;

  /// The address that the worker reported, else the one in the record. A reported address is
  /// written to the record when the write budget allows; a controller that takes over the shard
  /// before that learns the address from the worker's next heartbeat.
  std::string address;
  bool address_queued = false;

  // Commands that this controller pushes, not those in its answers to heartbeats.
  bool command_in_flight = false;
  bool start_in_flight = false;  // a start is among the commands in flight
  bool dispatch_wanted = false;
  double next_dispatch = 0;
  /// When commands began to fail; 0: the last command was answered.
  double commands_failing_since = 0;
  /// The worker's agent epoch when commands began to fail.
  uint64_t epoch_when_commands_failed = 0;
  /// Fencing token of a start command that was not answered: the worker may carry it out minutes
  /// later, as long as it has seen no token above this one. 0: none.
  uint64_t unacknowledged_start = 0;
  /// Fencing token of the last start command that this controller sent; 0: none. Earlier ones had
  /// no higher token.
  uint64_t last_start_token = 0;
  /// Fencing token that the StartFence has chosen; 0: none. ShardState::fencing_token uses the
  /// higher of this one and that of the records.
  uint64_t raised_token = 0;

  // Writes of the machine's record.
  bool marking_for_deletion = false;
  bool record_write_queued = false;

  // Evidence of a fault: the jobs that failed here since a task last completed here.
  std::set<std::string> failed_jobs;
  MachineVerdict verdict = MachineVerdict::healthy;
  double suspect_since = 0;
  bool quarantined() const { return verdict != MachineVerdict::healthy; }

  // The tasks placed on the machine and their sums; only ShardState changes these.
  TasksOnMachine placed;
  int non_preemptible = 0;  // number of tasks in `placed` that may not be preempted
  store::Resources used;
};

}  // namespace rushtrestle::coordination
