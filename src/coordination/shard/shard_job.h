// The in-memory state of a job whose shard this controller leads, shared by the shard's modules.
//
// `desired` is the record that this controller wants; the state cache holds the durable one. They
// agree once JobRecordWriter's write of `desired` is applied, or `desired` is reset.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "coordination/state/writes/write_cause.h"
#include "store/records.h"

namespace rushtrestle::coordination {

/// Steady times in seconds of the steps until all the job's tasks run for the first time, for the
/// log. 0: this controller has not seen the step.
struct FirstRunTimes {
  double adopted_at = 0;
  double first_placed_at = 0;
  double last_placed_at = 0;
  double first_written_at = 0;
  double all_running_at = 0;
  /// Number of tasks placed on machines that were not known to have their image.
  uint32_t image_fetches = 0;
};

/// A job's desired record, the state of its writes, and its retries.
struct ShardJob {
  store::JobRecord desired;
  int shard = 0;

  // Versions of `desired`: the latest one, the one in the write last prepared, and the one last
  // applied. A write that was refused for the request rate, or whose transaction failed because
  // another write in it conflicted, is prepared again, so a prepared version is not yet durable.
  uint64_t desired_version = 0;
  uint64_t prepared_version = 0;
  uint64_t durable_version = 0;
  bool dirty() const { return desired_version != durable_version; }
  /// Mod revision of the record for which a write by this controller got no answer: until the mod
  /// revision changes, the state store may still apply that write. 0: none.
  uint64_t indeterminate_revision = 0;
  /// Priority of the job's write that waits in the queue; none: no write waits.
  std::optional<WritePriority> queued_priority;

  /// Steady time in seconds before which the job's tasks are not placed.
  double retry_at = 0;
  /// Machines on which tasks of the job failed since one of its tasks last completed.
  std::set<std::string> failed_on;
  /// Number of backoffs because the job fails everywhere, up to a limit (FailureTracker).
  int backoff_level = 0;
  /// Machines on which the job's tasks are not placed before the steady time `avoid_until`.
  std::set<std::string> avoid;
  double avoid_until = 0;
  /// Machines from which tasks were unbound since the last write. Once that change is durable,
  /// their workers can be told to forget the tasks.
  std::set<std::string> vacated_machines;

  FirstRunTimes first_run;
  /// The part of the placement class that follows from the job's spec, which never changes; empty:
  /// not computed yet.
  std::string placement_shape;
  /// Seconds after its submission by which the job is due; set when the job is first sorted into
  /// the queue.
  std::optional<double> due_after_s;
};

}  // namespace rushtrestle::coordination
