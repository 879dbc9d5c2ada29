// A machine of a shard that this controller leads: what its worker told, what is placed on it and
// how far it can be reached.
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

/// Job and number of a task.
using TaskKey = std::pair<std::string, uint32_t>;
/// Attempt by task.
using TasksOnMachine = std::map<TaskKey, uint64_t>;

struct ShardMachine {
  std::string id;
  int shard = 0;
  /// When this controller began to be responsible for it.
  double since = 0;

  // What the worker told.
  bool known = false;  // sent a heartbeat to this controller
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
  uint64_t highest_token_seen = 0;
  std::vector<ReportedTask> reported;
  std::optional<double> notice_s;
  /// Last newer heartbeat, however it came.
  double last_seen = 0;
  /// Last one that the worker sent by itself: answers to commands renew no lease.
  double last_heartbeat = 0;
  /// When a silence last ended.
  double heard_since = 0;
  /// Last newer heartbeat that came through another controller.
  double forwarded_at = kLongAgo;

  /// As reported, or else by the record, which gets it when the budget allows. Who takes over the
  /// shard before that learns it from the worker's next heartbeat.
  std::string address;
  bool address_queued = false;

  // Commands that this controller sends by itself.
  bool command_in_flight = false;
  bool dispatch_wanted = false;
  double next_dispatch = 0;
  /// 0: the last command was answered.
  double commands_failing_since = 0;
  /// Agent epoch when commands began to fail.
  uint64_t epoch_when_unreachable = 0;
  /// Fencing token of a start that was not answered: it may be carried out minutes later, as long
  /// as the worker has seen no token above this one. 0: none.
  uint64_t unacknowledged_start = 0;

  // Its record.
  bool marking_for_deletion = false;
  bool record_write_queued = false;

  // Failed tasks.
  std::set<std::string> failed_jobs;
  MachineVerdict verdict = MachineVerdict::healthy;
  double suspect_since = 0;
  bool quarantined() const { return verdict != MachineVerdict::healthy; }

  // What is placed on it; ShardState keeps these.
  TasksOnMachine placed;
  int non_preemptible = 0;  // of `placed`
  store::Resources used;
};

}  // namespace rushtrestle::coordination
