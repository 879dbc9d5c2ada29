#include "store/task_set.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <vector>

namespace rushtrestle::store {
namespace {

RC_GTEST_PROP(TaskSet, BehavesLikeASet, ()) {
  TaskSet set;
  std::set<uint32_t> reference;
  for (const auto t :
       *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange<uint32_t>(0, 60))) {
    set.insert(t);
    reference.insert(t);
  }
  const auto decoded = TaskSet::from_json(set.to_json());
  RC_ASSERT(decoded.size() == reference.size());
  for (uint32_t t = 0; t < 62; ++t) {
    RC_ASSERT(decoded.contains(t) == (reference.count(t) == 1));
    uint32_t missing = t;
    while (reference.count(missing)) ++missing;
    RC_ASSERT(decoded.first_missing(t) == missing);
  }
  // The number of runs is minimal; otherwise job records would exceed their size limit.
  size_t expected = 0;
  for (const auto t : reference) expected += t == 0 || !reference.count(t - 1);
  RC_ASSERT(decoded.runs().size() == expected);
}

}  // namespace
}  // namespace rushtrestle::store
