#include "store/task_set.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <vector>

namespace rushtrestle::store {
namespace {

RC_GTEST_PROP(TaskSet, BehavesLikeASet, ()) {
  TaskSet runs;
  std::set<uint32_t> plain;
  for (const auto t :
       *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange<uint32_t>(0, 60))) {
    runs.insert(t);
    plain.insert(t);
  }
  const auto back = TaskSet::from_json(runs.to_json());
  RC_ASSERT(back.size() == plain.size());
  for (uint32_t t = 0; t < 62; ++t) {
    RC_ASSERT(back.contains(t) == (plain.count(t) == 1));
    uint32_t missing = t;
    while (plain.count(missing)) ++missing;
    RC_ASSERT(back.first_missing(t) == missing);
  }
  // Runs are as few as can be, or records would outgrow their limit.
  size_t expected = 0;
  for (const auto t : plain) expected += t == 0 || !plain.count(t - 1);
  RC_ASSERT(back.runs().size() == expected);
}

}  // namespace
}  // namespace rushtrestle::store
