// The record of a job in the state store (`job/<id>`), and its JSON form.
//
// Invariant: a final status (cancelled, done) never changes; attempts are numbered through the
// whole job, so that (job, task, attempt) names one placement for ever. Accepted by any controller
// (JobService); from then on written by the shard leader of the job's team, but for cancellations.
// The JSON form is frozen: earlier versions read and write it.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "store/domain.h"
#include "store/task_set.h"

namespace rushtrestle::store {

/// A task that is bound to a machine.
struct Placement {
  uint32_t task = 0;
  std::string machine;
  uint64_t attempt = 0;
  bool running = false;   // reported running; for display and for last_start
  bool stopping = false;  // an eviction was committed: stop it, then queue it again
};

struct JobRecord {
  JobSpec spec;
  JobStatus status = JobStatus::open;
  double submitted = 0;   // time of day
  double last_start = 0;  // time of day, rewritten at every start; 0: never started
  double not_before = 0;  // time of day; cooldown after a committed requeue
  uint64_t attempts = 0;  // attempts are numbered through the whole job
  TaskSet done;
  std::vector<Placement> placed;

  /// Cancelled or done. Placements may be left that have to be stopped.
  bool final_state() const { return status != JobStatus::open; }
  /// None if the task is not placed.
  const Placement* placement_of(uint32_t task) const;
  /// The very same: a placement that was given up and then carried out late has this one's attempt
  /// number, too.
  const Placement* same_placement(const Placement& placement) const;
  /// How many placements were reported running.
  uint32_t running() const;
};

Json to_json(const JobSpec& spec);
/// Throws Json::exception for a field that is missing or of another type, as do all of these.
JobSpec job_spec_from_json(const Json& json);

Json to_json(const JobRecord& record);
JobRecord job_record_from_json(const Json& json);

/// The value of a cancellation beside a job record (`cancel/<id>`); its key says all that counts.
/// `cancelled_at`: time of day.
Json cancellation_to_json(double cancelled_at);

}  // namespace rushtrestle::store
