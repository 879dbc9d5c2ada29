// Causes of record writes and their priorities.
//
// The names of causes in `/stats` are frozen, as operators' dashboards read them. Add a new cause
// before `other`, with a name and, unless users wait for the write, a priority.
#pragma once
#include <cstddef>

namespace rushtrestle::coordination {

enum class WriteCause {
  acceptance,
  cancellation,
  lease_holder,  // a shard or the cluster leadership is acquired or released
  placement,     // tasks are placed on machines
  stop,          // tasks are told to stop, by an eviction, a drain or a notice
  gang_phase,    // an attempt of a gang has started running or has ended
  job_done,
  task_end,      // a task ended in a job that continues or was cancelled
  running_mark,  // a task was seen running; recorded for display and as the last start
  machine_provisioned,
  machine_address,
  machine_reassignment_request,  // the cluster leader asks a shard leader for a machine
  machine_reassignment_answer,   // the shard leader's answer: released, moved or kept
  machine_marked_for_deletion,
  machine_deleted_with_tasks,  // deleted while tasks may have been running on it
  machine_deleted_empty,       // deleted after its release, empty
  other
};
inline constexpr size_t kWriteCauses = static_cast<size_t>(WriteCause::other) + 1;

/// Returns the name of the cause in `/stats`.
constexpr const char* name_of(WriteCause cause) {
  constexpr const char* kNames[kWriteCauses] = {"acceptance",
                                                "cancellation",
                                                "holder",
                                                "placement",
                                                "stop",
                                                "gang_phase",
                                                "job_done",
                                                "task_end",
                                                "running_mark",
                                                "machine_rented",
                                                "machine_address",
                                                "machine_offer",
                                                "machine_settled",
                                                "machine_condemned",
                                                "machine_gone",
                                                "machine_given_back",
                                                "other"};
  return kNames[static_cast<size_t>(cause)];
}

/// Priorities of writes, in the order in which writes are sent while the budget is short.
enum class WritePriority {
  request,     // users or shard leases wait for the write
  placement,   // placements, stops that free capacity, new machines that tasks wait for
  completion,  // completions that a caller waits for, machine reassignments
  coalesced,   // ends of single tasks, delayed to be merged with other changes of the same record
  background   // delayed longer, as no reader needs the change soon
};
inline constexpr size_t kWritePriorities = static_cast<size_t>(WritePriority::background) + 1;

/// Returns the priority of a cause. A cause that is not listed is urgent, as an unneeded delay does
/// more harm than an unneeded hurry.
constexpr WritePriority priority_of(WriteCause cause) {
  switch (cause) {
    case WriteCause::placement:
    case WriteCause::stop:
    case WriteCause::machine_provisioned: return WritePriority::placement;
    case WriteCause::gang_phase:
    case WriteCause::job_done:
    case WriteCause::machine_reassignment_request:
    case WriteCause::machine_reassignment_answer: return WritePriority::completion;
    case WriteCause::task_end: return WritePriority::coalesced;
    case WriteCause::running_mark:
    case WriteCause::machine_address:
    case WriteCause::machine_deleted_empty: return WritePriority::background;
    default: return WritePriority::request;
  }
}

}  // namespace rushtrestle::coordination
