// The record of a job in the state store (`job/<id>`), and its JSON form.
//
// Invariant: a final status (cancelled, done) never changes. Attempts are numbered across the whole
// job, so (job, task, attempt) identifies one placement permanently. Any controller may create the
// record (JobService); afterwards only the shard leader of the job's team writes it, except for
// cancellations. The JSON form is frozen: earlier versions read and write it.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "store/domain.h"
#include "store/task_set.h"

namespace rushtrestle::store {

/// The assignment of a task to a machine.
struct Placement {
  uint32_t task = 0;
  std::string machine;
  uint64_t attempt = 0;
  bool running = false;   // reported running; used for display and for last_start
  bool stopping = false;  // an eviction was committed: the task is stopped, then requeued
};

struct JobRecord {
  JobSpec spec;
  JobStatus status = JobStatus::open;
  double submitted = 0;   // time of day
  double last_start = 0;  // time of day of the latest start; 0: never started
  double not_before = 0;  // time of day at which the cooldown after a committed requeue ends
  uint64_t attempts = 0;  // number of attempts so far, across all tasks of the job
  TaskSet done;
  std::vector<Placement> placed;

  /// Whether the job is cancelled or done. Placements that still have to be stopped may remain.
  bool final_state() const { return status != JobStatus::open; }
  /// Returns null if the task is not placed.
  const Placement* placement_of(uint32_t task) const;
  /// Returns this record's placement with the same task, attempt and machine, or null. The machine
  /// is compared too, because a placement that was given up and then carried out late has the same
  /// attempt number as its replacement.
  const Placement* same_placement(const Placement& placement) const;
  /// Returns the number of placements that were reported running.
  uint32_t running() const;
};

Json to_json(const JobSpec& spec);
/// Throws Json::exception for a field that is missing or of the wrong type, as do all functions
/// that read JSON here.
JobSpec job_spec_from_json(const Json& json);

Json to_json(const JobRecord& record);
JobRecord job_record_from_json(const Json& json);

/// Returns the value stored for a cancellation beside a job record (`cancel/<id>`). The key
/// alone cancels the job; readers do not need the value. `cancelled_at`: time of day.
Json cancellation_to_json(double cancelled_at);

}  // namespace rushtrestle::store
