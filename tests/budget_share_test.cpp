// Tests the division of the state store's write budget among the controllers by need.
#include "coordination/membership/budget_share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace rushtrestle::coordination {
namespace {

TEST(BudgetShare, IdleControllersLeaveTheirUnusedShare) {
  // Two of ten controllers need more than an even share: each gets half of what the idle ones
  // leave, 0.4 instead of 0.1.
  EXPECT_NEAR(fair_share(2, {2, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025}), 0.4,
              1e-9);
  EXPECT_NEAR(fair_share(0.025, {2, 2, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025}), 0.025,
              1e-9);
  // A cluster leader that records a whole fleet gets more than a shard leader with few jobs.
  EXPECT_GT(fair_share(0.9, {0.4, 0.4}), 0.45);
}

RC_GTEST_PROP(BudgetShare, SharesAddUpAndMeetTheGuarantee, ()) {
  const auto needs =
      *rc::gen::suchThat(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400)),
                         [](const auto& v) { return !v.empty() && v.size() < 20; });
  double sum = 0;
  for (size_t i = 0; i < needs.size(); ++i) {
    std::vector<double> others;
    for (size_t k = 0; k < needs.size(); ++k)
      if (k != i) others.push_back(needs[k] / 100.0);
    const double share = fair_share(needs[i] / 100.0, others);
    RC_ASSERT(share >= std::min(needs[i] / 100.0, 0.5 / static_cast<double>(needs.size())) - 1e-9);
    sum += share;
  }
  RC_ASSERT(std::abs(sum - 1) < 1e-6);
}

}  // namespace
}  // namespace rushtrestle::coordination
