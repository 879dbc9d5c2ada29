// Why a record is written, and how urgent that makes it.
#pragma once
#include <cstddef>

namespace rushtrestle::coordination {

enum class WriteCause {
  acceptance,
  cancellation,
  holder,      // a part or the leadership is taken or handed back
  placement,   // tasks are placed on machines
  stop,        // tasks are to be stopped: an eviction, a drain, a notice
  gang_phase,  // a gang's attempt runs, or is over
  job_done,
  task_end,      // of a job that goes on or was cancelled
  running_mark,  // a task was seen running: for display and for the last start
  machine_rented,
  machine_address,
  machine_offer,    // the leader asks a part's holder for a machine
  machine_settled,  // the holder's answer: released, moved or kept
  machine_condemned,
  machine_gone,        // deleted while tasks may have been on it
  machine_given_back,  // deleted after its release, empty
  other
};
inline constexpr size_t kWriteCauses = static_cast<size_t>(WriteCause::other) + 1;

/// As in `/stats`.
constexpr const char* name_of(WriteCause cause) {
  constexpr const char* kNames[kWriteCauses] = {
      "acceptance",         "cancellation",  "holder",          "placement",         "stop",
      "gang_phase",         "job_done",      "task_end",        "running_mark",      "machine_rented",
      "machine_address",    "machine_offer", "machine_settled", "machine_condemned", "machine_gone",
      "machine_given_back", "other"};
  return kNames[static_cast<size_t>(cause)];
}

/// In the order in which writes leave when the budget is short.
enum class WritePriority {
  request,    // users and the keys of parts wait for it
  placement,  // placements, stops that make room, machines that work waits for
  end,        // ends that somebody waits for, machines offered and settled
  gathered,   // ends of single tasks: wait a while for other changes of the same record
  display     // wait longer: nobody needs them soon
};
inline constexpr size_t kWritePriorities = static_cast<size_t>(WritePriority::display) + 1;

constexpr WritePriority priority_of(WriteCause cause) {
  switch (cause) {
    case WriteCause::placement:
    case WriteCause::stop:
    case WriteCause::machine_rented: return WritePriority::placement;
    case WriteCause::gang_phase:
    case WriteCause::job_done:
    case WriteCause::machine_offer:
    case WriteCause::machine_settled: return WritePriority::end;
    case WriteCause::task_end: return WritePriority::gathered;
    case WriteCause::running_mark:
    case WriteCause::machine_address:
    case WriteCause::machine_given_back: return WritePriority::display;
    default: return WritePriority::request;
  }
}

}  // namespace rushtrestle::coordination
