// TaskSet: the numbers of a job's tasks that are done.
//
// Invariant: `runs_` holds disjoint runs of numbers that do not touch one another (as few runs as
// can be), and `size_` is the sum of their lengths. Tasks start in order, so few holes appear and a
// job of 100,000 tasks still fits into one value of the state store. Part of JobRecord.
#pragma once
#include <cstdint>
#include <map>

#include "store/json.h"

namespace rushtrestle::store {

class TaskSet {
 public:
  bool contains(uint32_t task) const;
  /// Does nothing if the set has the task.
  void insert(uint32_t task);
  uint32_t size() const { return size_; }
  /// The lowest task at or after `from` that is not in the set.
  uint32_t first_missing(uint32_t from) const;
  /// A flat list: first and last number of each run.
  Json to_json() const;
  /// Throws Json::exception for what is no list of numbers.
  static TaskSet from_json(const Json& json);
  /// First number of each run -> its last.
  const std::map<uint32_t, uint32_t>& runs() const { return runs_; }

 private:
  std::map<uint32_t, uint32_t> runs_;  // first -> last
  uint32_t size_ = 0;
};

}  // namespace rushtrestle::store
