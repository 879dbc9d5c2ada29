// The state machine of a gang's attempt, on its record alone.
#include "coordination/scheduling/gang_lifecycle.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rushtrestle::coordination {
namespace {

store::JobRecord gang_record(uint32_t tasks) {
  store::JobRecord r;
  r.spec.id = "job-1";
  r.spec.kind = store::JobKind::gang;
  r.spec.tasks = tasks;
  r.spec.save_s = 3;
  r.attempts = 1;
  for (uint32_t t = 0; t < tasks; ++t)
    r.placed.push_back({t, "n-" + std::to_string(t), 1, false, false});
  return r;
}

/// As another controller reads it.
store::JobRecord reread(const store::JobRecord& r) {
  return store::job_record_from_json(to_json(r));
}

TEST(GangLifecycle, FollowsFromTheRecord) {
  auto r = gang_record(3);
  EXPECT_EQ(gang_phase(r), GangPhase::gathering);
  r.placed[1].running = true;
  EXPECT_EQ(gang_phase(reread(r)), GangPhase::running);
  end_attempt(r);
  EXPECT_EQ(gang_phase(reread(r)), GangPhase::ending);
  r.placed.clear();
  EXPECT_EQ(gang_phase(reread(r)), GangPhase::idle);
}

TEST(GangLifecycle, AStopOfOneMemberIsAStopOfAll) {
  auto r = gang_record(4);
  stop_all_if_any_stopping(r);
  EXPECT_EQ(gang_phase(r), GangPhase::gathering) << "nobody is to stop";
  r.placed[2].stopping = true;
  stop_all_if_any_stopping(r);
  for (const auto& p : reread(r).placed) EXPECT_TRUE(p.stopping) << p.task;
}

TEST(GangLifecycle, GivesTimeToSaveOnlyWhileAllMembersAreThere) {
  auto r = gang_record(2);
  EXPECT_DOUBLE_EQ(stop_grace_s(r), 3);
  r.placed.pop_back();
  EXPECT_DOUBLE_EQ(stop_grace_s(r), 0);
  r.spec.kind = store::JobKind::array;
  EXPECT_DOUBLE_EQ(stop_grace_s(r), 3) << "an array's tasks save one by one";
}

TEST(GangLifecycle, ConcernsNoOtherJobs) {
  for (const auto kind : {store::JobKind::array, store::JobKind::service}) {
    auto r = gang_record(3);
    r.spec.kind = kind;
    r.placed[0].stopping = true;
    stop_all_if_any_stopping(r);
    end_attempt(r);
    EXPECT_FALSE(r.placed[1].stopping);
  }
}

// Whatever order of events: once a member has run or ended, the attempt never gathers again, nor
// for whoever reads the record.
RC_GTEST_PROP(GangLifecycle, AnAttemptNeverGoesBack, (const std::vector<uint8_t>& events)) {
  auto r = gang_record(4);
  GangPhase last = gang_phase(r);
  for (const uint8_t e : events) {
    if (r.placed.empty()) break;
    const size_t at = (e / 4) % r.placed.size();
    switch (e % 4) {
      case 0: r.placed[at].running = true; break;
      case 1: r.placed[at].stopping = true; break;
      case 2:  // it ended
        r.placed.erase(r.placed.begin() + static_cast<long>(at));
        end_attempt(r);
        break;
      default: break;
    }
    stop_all_if_any_stopping(r);
    r = reread(r);
    const GangPhase phase = gang_phase(r);
    RC_ASSERT(phase == GangPhase::idle || phase >= last);
    last = phase;
  }
}

}  // namespace
}  // namespace rushtrestle::coordination
