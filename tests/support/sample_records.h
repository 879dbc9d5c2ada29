// Sample records for tests of the store.
#pragma once
#include <string>
#include <vector>

#include "store/records.h"

namespace rushtrestle::store {

/// Returns a service of four tasks: one is done, one runs, one is being stopped, one waits.
inline JobRecord sample_job_record() {
  JobRecord record;
  record.spec.id = "job-7";
  record.spec.job_class = "c";
  record.spec.team = "red";
  record.spec.kind = JobKind::service;
  record.spec.tasks = 4;
  record.spec.per_task = {2, 1, 8};
  record.spec.types = std::vector<std::string>{"g"};
  record.spec.zone = "a";
  record.spec.spread = true;
  record.spec.image = "i";
  record.spec.estimate_s = 12;
  record.spec.deadline_s = 40;
  record.submitted = 1e9;
  record.not_before = 1e9 + 60;
  record.attempts = 9;
  record.done.insert(2);
  record.placed = {{0, "n-1", 8, true, false}, {1, "n-2", 9, false, true}};
  return record;
}

}  // namespace rushtrestle::store
