// A team without a guarantee, as guests are: it is served, and from what the others leave.
#include <gtest/gtest.h>

#include "world.h"

namespace rushtrestle::testing {
namespace {

const store::TeamSettings kGuest{"guest", {}, {store::kNoLimit, store::kNoLimit, 0}};
const store::TeamSettings kRed{"red", {64, 16, 0}, {144, 40, 0}};

store::JobSpec array_of(const std::string& id, const std::string& team, uint32_t tasks, double run_s) {
  store::JobSpec spec;
  spec.id = id;
  spec.job_class = "batch";
  spec.team = team;
  spec.kind = store::JobKind::array;
  spec.rank = store::Rank::low;
  spec.tasks = tasks;
  spec.per_task = {4, 0, 8};
  spec.image = "image";
  spec.image_gb = 0.5;
  spec.estimate_s = run_s;
  spec.spot = true;
  return spec;
}

TEST(Guests, WithoutAGuaranteeOrALimitAreServed) {
  World::Options options;
  options.teams = {kRed, kGuest};
  World w(options);
  w.submit(array_of("job-1", "guest", 40, 10), 2);
  w.run_until(200);
  EXPECT_TRUE(w.broken.empty());
  EXPECT_EQ(w.told("job-1").value_or(""), "done");
}

}  // namespace
}  // namespace rushtrestle::testing
