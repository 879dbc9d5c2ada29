#include "store/task_set.h"

#include <iterator>

#include "store/domain.h"

namespace rushtrestle::store {

bool TaskSet::contains(uint32_t task) const {
  const auto after = runs_.upper_bound(task);
  return after != runs_.begin() && std::prev(after)->second >= task;
}

void TaskSet::insert(uint32_t task) {
  if (contains(task)) return;
  ++size_;
  const auto next = runs_.upper_bound(task);
  const bool joins_next = next != runs_.end() && next->first == task + 1;
  if (next != runs_.begin() && std::prev(next)->second + 1 == task) {
    const auto previous = std::prev(next);
    previous->second = joins_next ? next->second : task;
    if (joins_next) runs_.erase(next);
  } else if (joins_next) {
    const uint32_t last = next->second;
    runs_.erase(next);
    runs_[task] = last;
  } else {
    runs_[task] = task;
  }
}

uint32_t TaskSet::first_missing(uint32_t from) const {
  const auto after = runs_.upper_bound(from);
  if (after == runs_.begin()) return from;
  const uint32_t last = std::prev(after)->second;
  return last >= from ? last + 1 : from;
}

Json TaskSet::to_json() const {
  Json flat = Json::array();
  for (const auto& [first, last] : runs_) {
    flat.push_back(first);
    flat.push_back(last);
  }
  return flat;
}

TaskSet TaskSet::from_json(const Json& json) {
  TaskSet set;
  for (size_t i = 0; i + 1 < json.size(); i += 2) {
    const auto first = json[i].get<uint32_t>();
    const auto last = json[i + 1].get<uint32_t>();
    const bool ordered = set.runs_.empty() || first > set.runs_.rbegin()->second;
    if (last < first || last >= kMaxTasks || !ordered)
      throw Json::out_of_range::create(kOutOfRange, "not runs of tasks", &json);
    set.runs_[first] = last;
    set.size_ += last - first + 1;
  }
  return set;
}

}  // namespace rushtrestle::store
