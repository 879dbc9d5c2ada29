// A job of a shard that this controller leads, as the shard's modules work on it.
//
// `desired` is what shall be; the state cache holds what is durable. Only a write that was applied
// brings the two together (JobRecordWriter).
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "coordination/state/writes/write_cause.h"
#include "store/records.h"

namespace rushtrestle::coordination {

/// When this controller saw the steps to the job's first whole run, for the log; 0: not seen.
struct FirstRunTimes {
  double adopted_at = 0;
  double first_placed_at = 0;
  double last_placed_at = 0;
  double first_written_at = 0;
  double whole_at = 0;
  /// Tasks placed where their image was not known to be.
  uint32_t image_fetches = 0;
};

struct ShardJob {
  store::JobRecord desired;
  int shard = 0;

  // A write may be prepared more than once before it is carried out (refused for the rate, or
  // beside another's conflict): only what was applied counts as durable.
  uint64_t desired_version = 0;
  uint64_t prepared_version = 0;
  uint64_t durable_version = 0;
  bool dirty() const { return desired_version != durable_version; }
  /// Mod revision of the record under which a write of ours had no answer: until the mod revision
  /// has moved, that write may replace what the record says now. 0: none.
  uint64_t unsettled_revision = 0;
  /// Priority of its write that waits in the queue.
  std::optional<WritePriority> queued_priority;

  /// Not tried again before this steady time.
  double retry_at = 0;
  /// Machines on which tasks failed since a task of it was last completed.
  std::set<std::string> failed_on;
  /// How many times it was set aside because it fails everywhere.
  int backoff_level = 0;
  /// Machines that it is not placed on until `avoid_until`.
  std::set<std::string> avoid;
  double avoid_until = 0;
  /// Machines that its tasks have left since the last write: they may forget them after it.
  std::set<std::string> left_machines;

  FirstRunTimes first_run;
  /// What its placement class says of its description, which never changes; empty: not asked yet.
  std::string placement_shape;
  /// Seconds after its submission by which it is due; set once it was looked at in queue order.
  std::optional<double> due_after_s;
};

}  // namespace rushtrestle::coordination
