// TaskSet: a set of task numbers, which holds the done tasks of a job.
//
// Invariant: `runs_` holds disjoint, non-adjacent runs of consecutive numbers (the minimum number
// of runs), and `size_` is the sum of their lengths. Tasks start in order, so there are few gaps
// and the record of a job with 100,000 tasks still fits into one value of the state store. TaskSet
// is a part of JobRecord.
#pragma once
#include <cstdint>
#include <map>

#include "store/json.h"

namespace rushtrestle::store {

class TaskSet {
 public:
  bool contains(uint32_t task) const;
  /// Does nothing if the set already contains the task.
  void insert(uint32_t task);
  uint32_t size() const { return size_; }
  /// Returns the lowest task number at or after `from` that is not in the set.
  uint32_t first_missing(uint32_t from) const;
  /// Returns a flat array with the first and last number of each run.
  Json to_json() const;
  /// Throws Json::exception for an element that is not a number.
  static TaskSet from_json(const Json& json);
  /// Returns the runs as a map of first to last number.
  const std::map<uint32_t, uint32_t>& runs() const { return runs_; }

 private:
  std::map<uint32_t, uint32_t> runs_;  // first to last number
  uint32_t size_ = 0;
};

}  // namespace rushtrestle::store
