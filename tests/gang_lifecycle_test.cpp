// Tests the state machine of a gang's attempt, which is derived from the job's record alone.
#include "coordination/scheduling/gang_lifecycle.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rushtrestle::coordination {
namespace {

store::JobRecord gang_record(uint32_t tasks) {
  store::JobRecord record;
  record.spec.id = "job-1";
  record.spec.kind = store::JobKind::gang;
  record.spec.tasks = tasks;
  record.spec.save_s = 3;
  record.attempts = 1;
  for (uint32_t task = 0; task < tasks; ++task)
    record.placed.push_back({task, "n-" + std::to_string(task), 1, false, false});
  return record;
}

/// Returns the record as another controller reads it from the state store.
store::JobRecord reread(const store::JobRecord& record) {
  return store::job_record_from_json(to_json(record));
}

TEST(GangLifecycle, PhaseIsDerivedFromTheRecord) {
  auto record = gang_record(3);
  EXPECT_EQ(gang_phase(record), GangPhase::gathering);
  record.placed[1].running = true;
  EXPECT_EQ(gang_phase(reread(record)), GangPhase::running);
  end_attempt(record);
  EXPECT_EQ(gang_phase(reread(record)), GangPhase::ending);
  record.placed.clear();
  EXPECT_EQ(gang_phase(reread(record)), GangPhase::idle);
}

TEST(GangLifecycle, StoppingOneMemberStopsAllMembers) {
  auto record = gang_record(4);
  stop_all_if_any_stopping(record);
  EXPECT_EQ(gang_phase(record), GangPhase::gathering) << "no member is to stop";
  record.placed[2].stopping = true;
  stop_all_if_any_stopping(record);
  for (const auto& placement : reread(record).placed)
    EXPECT_TRUE(placement.stopping) << placement.task;
}

TEST(GangLifecycle, GracePeriodIsZeroOnceAMemberIsMissing) {
  auto record = gang_record(2);
  EXPECT_DOUBLE_EQ(stop_grace_s(record), 3);
  record.placed.pop_back();
  EXPECT_DOUBLE_EQ(stop_grace_s(record), 0);
  record.spec.kind = store::JobKind::array;
  EXPECT_DOUBLE_EQ(stop_grace_s(record), 3) << "an array's tasks save independently of each other";
}

TEST(GangLifecycle, DoesNotAffectJobsThatAreNotGangs) {
  for (const auto kind : {store::JobKind::array, store::JobKind::service}) {
    auto record = gang_record(3);
    record.spec.kind = kind;
    record.placed[0].stopping = true;
    stop_all_if_any_stopping(record);
    end_attempt(record);
    EXPECT_FALSE(record.placed[1].stopping);
  }
}

// In any order of events: once a member has run or ended, the attempt never returns to the
// gathering phase, neither for the writer nor for a reader of the record.
RC_GTEST_PROP(GangLifecycle, AnAttemptNeverReturnsToAnEarlierPhase,
              (const std::vector<uint8_t>& events)) {
  auto record = gang_record(4);
  GangPhase last = gang_phase(record);
  for (const uint8_t event : events) {
    if (record.placed.empty()) break;
    const size_t index = (event / 4) % record.placed.size();
    switch (event % 4) {
      case 0: record.placed[index].running = true; break;
      case 1: record.placed[index].stopping = true; break;
      case 2:  // the member ends
        record.placed.erase(record.placed.begin() + static_cast<long>(index));
        end_attempt(record);
        break;
      default: break;
    }
    stop_all_if_any_stopping(record);
    record = reread(record);
    const GangPhase phase = gang_phase(record);
    RC_ASSERT(phase == GangPhase::idle || phase >= last);
    last = phase;
  }
}

}  // namespace
}  // namespace rushtrestle::coordination
