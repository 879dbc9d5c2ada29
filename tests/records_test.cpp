#include "store/records.h"

#include <gtest/gtest.h>

#include "support/sample_records.h"

namespace rushtrestle::store {
namespace {

TEST(Records, RoundTripThroughJson) {
  const Json json = to_json(sample_job_record());
  EXPECT_EQ(to_json(job_record_from_json(json)), json);
  const MachineRecord machine{
      "n-1", "1.2.3.4:5", "g", "a", true, 2, 1, true, MachinePhase::reassignment_requested, 5};
  EXPECT_EQ(to_json(machine_record_from_json(to_json(machine))), to_json(machine));
}

// Earlier versions read these records, too, so the JSON keys in them must not change.
TEST(Records, ClusterRecordsKeepTheirJsonKeys) {
  const MachineType type{"g", {8, 2, 64}, 100, 0.5, 3, 1, 40, {"a", "b"}};
  const Json types = types_record_to_json({type});
  EXPECT_EQ(types, (Json{{"types", to_json(std::vector<MachineType>{type})}}));
  EXPECT_EQ(types_record_to_json(types_record_from_json(types)), types);
  EXPECT_EQ(record_format_to_json(1), (Json{{"reads", 1}}));
  EXPECT_EQ(record_format_from_json(record_format_to_json(7)), 7u);
  EXPECT_EQ(cancellation_to_json(12.5), (Json{{"at", 12.5}}));
}

}  // namespace
}  // namespace rushtrestle::store
