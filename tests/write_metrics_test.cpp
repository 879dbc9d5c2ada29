// Tests of the statistics of the write path.
#include "coordination/state/writes/write_metrics.h"

#include <gtest/gtest.h>

namespace rushtrestle::coordination {
namespace {

TEST(WriteMetrics, ReportsWaitTimesByCauseAndUnusedWritesByStallReason) {
  WriteMetrics write_metrics;
  write_metrics.record_change(WriteCause::task_end);
  write_metrics.record_change(WriteCause::task_end);
  for (int i = 0; i < 100; ++i) write_metrics.record_write(WriteCause::task_end, 0.01 * i);
  write_metrics.record_stall(StallReason::in_flight, 10, 5);
  write_metrics.record_stall(StallReason::write_rate, 12, 5);
  write_metrics.record_stall(StallReason::none, 15, 5);
  const auto j = write_metrics.to_json();
  EXPECT_EQ(j["causes"]["task_end"]["changes"], 2);
  EXPECT_EQ(j["causes"]["task_end"]["puts"], 100);
  EXPECT_NEAR(j["causes"]["task_end"]["wait_p50_s"].get<double>(), 0.5, 0.05);
  EXPECT_NEAR(j["causes"]["task_end"]["wait_max_s"].get<double>(), 0.99, 1e-9);
  EXPECT_EQ(j["hindered"]["in_flight"]["idle_puts"], 10);
  EXPECT_EQ(j["hindered"]["write_rate"]["idle_puts"], 0);
  EXPECT_EQ(j["hindered"]["write_rate"]["seconds"], 3);
}

}  // namespace
}  // namespace rushtrestle::coordination
