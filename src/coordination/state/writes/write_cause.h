// Why a record is written, and how urgent that makes it.
//
// The names of causes in `/stats` are frozen: operators' dashboards read them. A new cause goes
// before `other`, with a name and, unless users wait for it, a priority.
#pragma once
#include <cstddef>

namespace rushtrestle::coordination {

enum class WriteCause {
  acceptance,
  cancellation,
  lease_holder,  // a shard or the cluster's leadership is acquired or released
  placement,     // tasks are placed on machines
  stop,          // tasks are to be stopped: an eviction, a drain, a notice
  gang_phase,    // an attempt of a gang runs, or is over
  job_done,
  task_end,      // of a job that goes on, or that was cancelled
  running_mark,  // a task was seen running: for display and for the last start
  machine_rented,
  machine_address,
  machine_reassignment_request,  // the cluster leader asks a shard's leader for a machine
  machine_reassignment_answer,   // the shard leader's answer: released, moved or kept
  machine_marked_for_deletion,
  machine_deleted_with_tasks,  // deleted while tasks may have been on it
  machine_deleted_empty,       // deleted after its release, empty
  other
};
inline constexpr size_t kWriteCauses = static_cast<size_t>(WriteCause::other) + 1;

/// The cause's name in `/stats`.
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

/// In the order in which writes leave when the budget is short.
enum class WritePriority {
  request,    // users or leases of shards wait for it
  placement,  // placements, stops that make room, machines that work waits for
  end,        // ends that somebody waits for, reassignments of machines
  coalesced,  // ends of single tasks: wait a while for other changes of the same record
  background  // wait longer: nobody needs them soon
};
inline constexpr size_t kWritePriorities = static_cast<size_t>(WritePriority::background) + 1;

/// A cause that is not listed is urgent: to wait for it unasked would be worse than to hurry.
constexpr WritePriority priority_of(WriteCause cause) {
  switch (cause) {
    case WriteCause::placement:
    case WriteCause::stop:
    case WriteCause::machine_rented: return WritePriority::placement;
    case WriteCause::gang_phase:
    case WriteCause::job_done:
    case WriteCause::machine_reassignment_request:
    case WriteCause::machine_reassignment_answer: return WritePriority::end;
    case WriteCause::task_end: return WritePriority::coalesced;
    case WriteCause::running_mark:
    case WriteCause::machine_address:
    case WriteCause::machine_deleted_empty: return WritePriority::background;
    default: return WritePriority::request;
  }
}

}  // namespace rushtrestle::coordination
