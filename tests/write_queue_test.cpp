// The order in which writes leave.
#include "coordination/state/writes/write_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rushtrestle::coordination {
namespace {

constexpr double kPlenty = 1;    // of the budget
constexpr double kShort = 0.2;   // enough for what is urgent
constexpr double kSpent = -0.9;  // only users and what is overdue may still overdraw
constexpr size_t kSlots = 8;

struct QueueFixture {
  store::Settings settings;
  store::OperatorSettings operators;
  std::unique_ptr<WriteQueue> queue;

  QueueFixture() {
    settings.heartbeat_interval_s = 2;
    settings.lease_s = 14;
    settings.cancel_s = 39;
    queue = std::make_unique<WriteQueue>(Tunables(settings), operators);
  }
  QueuedWritePtr add(const std::string& key, WriteCause cause, double now,
                     store::Rank rank = store::Rank::normal, const std::string& team = "red") {
    auto write = std::make_shared<QueuedWrite>();
    write->request.key = key;
    write->request.cause = cause;
    write->request.rank = rank;
    write->request.team = team;
    queue->add(write, now);
    return write;
  }
  std::vector<std::string> next(double now, double level, size_t slots = kSlots,
                                const std::set<std::string>& busy = {}) {
    std::vector<std::string> keys;
    const auto is_busy = [&](const std::string& key) { return busy.count(key) != 0; };
    for (const auto& write : queue->candidates(now, level, slots, is_busy))
      keys.push_back(write->request.key);
    return keys;
  }
};

using Keys = std::vector<std::string>;

TEST(WriteQueue, LeavesByPriorityThenRank) {
  QueueFixture fixture;
  fixture.add("display", WriteCause::running_mark, 0);
  fixture.add("end", WriteCause::job_done, 0);
  fixture.add("batch", WriteCause::placement, 0);
  fixture.add("urgent", WriteCause::placement, 0, store::Rank::high);
  fixture.add("accept", WriteCause::acceptance, 0);
  EXPECT_EQ(fixture.next(0.1, kPlenty), (Keys{"accept", "urgent", "batch", "end", "display"}));
  EXPECT_EQ(fixture.next(0.1, kPlenty, kSlots, {"urgent"}),
            (Keys{"accept", "batch", "end", "display"}));
}

// With one line a priority, a team's job waited behind a thousand of another team.
TEST(WriteQueue, ATeamsFirstWriteDoesNotWaitBehindAnothersFlood) {
  QueueFixture fixture;
  for (int i = 0; i < 100; ++i)
    fixture.add("flood-" + std::to_string(i), WriteCause::placement, 0, store::Rank::normal, "red");
  fixture.add("single", WriteCause::placement, 0, store::Rank::normal, "blue");
  const auto next = fixture.next(0.1, kPlenty, 2);
  EXPECT_NE(std::find(next.begin(), next.begin() + 2, "single"), next.begin() + 2);
}

// Ends of single tasks and what is for display leave one by one while nobody else needs the budget,
// and gather when it is short, each for its time.
TEST(WriteQueue, GathersOnlyWhileTheBudgetIsShort) {
  QueueFixture fixture;
  fixture.add("end", WriteCause::task_end, 0);
  fixture.add("display", WriteCause::running_mark, 0);
  EXPECT_EQ(fixture.next(0.1, kPlenty), (Keys{"end", "display"}));
  EXPECT_EQ(fixture.next(0.1, kShort), Keys{});
  EXPECT_EQ(fixture.queue->pressing(0.1), 0u);
  EXPECT_EQ(fixture.next(fixture.settings.heartbeat_interval_s, kShort), Keys{"end"});
  EXPECT_EQ(fixture.next(fixture.settings.lease_s / 2, kShort), (Keys{"end", "display"}));
  EXPECT_EQ(fixture.queue->pressing(fixture.settings.lease_s / 2), 2u);
}

// Acceptances may overdraw the budget and placements could not as far: a flood of the first kept
// the budget so low that nothing was placed at all.
TEST(WriteQueue, WhatIsOverdueGoesWithAFloodOfAcceptances) {
  QueueFixture fixture;
  for (int i = 0; i < 100; ++i)
    fixture.add("accept-" + std::to_string(i), WriteCause::acceptance, 0);
  fixture.add("placement", WriteCause::placement, 0);
  fixture.add("done", WriteCause::job_done, 0);
  fixture.add("display", WriteCause::running_mark, 0);
  // Of the smallest part, a twenty-fifth of the puts, one leaves in four transactions of eight.
  constexpr int kTransactions = 4;
  std::set<std::string> left;
  for (int t = 0; t < kTransactions; ++t) {
    fixture.queue->begin_transaction();
    size_t slots = kSlots;
    for (const auto& write :
         fixture.queue->candidates(20, kSpent, kSlots, [](const std::string&) { return false; })) {
      if (slots-- == 0) break;
      left.insert(write->request.key);
      fixture.queue->take(write);
    }
    EXPECT_TRUE(left.count("placement"));
  }
  for (const char* key : {"placement", "done", "display"}) EXPECT_TRUE(left.count(key)) << key;
}

// One that needs many conditions was passed over for small ones again and again.
TEST(WriteQueue, WhatDidNotFitBeginsTheNextTransaction) {
  QueueFixture fixture;
  for (int i = 0; i < 4; ++i) fixture.add("accept-" + std::to_string(i), WriteCause::acceptance, 0);
  const auto large = fixture.add("large", WriteCause::task_end, 0);
  fixture.queue->take(large);
  fixture.queue->put_first(large);
  EXPECT_EQ(fixture.next(0.1, kSpent).front(), "large");
  fixture.queue->take(large);
  EXPECT_EQ(fixture.next(0.1, kSpent).front(), "accept-0");
}

// Whatever comes, each write leaves within a number of transactions that follows from what stood
// before it, though the budget never stands above what users may overdraw.
RC_GTEST_PROP(WriteQueue, NothingStarves, ()) {
  QueueFixture fixture;
  const auto flood = *rc::gen::inRange<int>(1, 40);
  constexpr WriteCause kCauses[] = {WriteCause::acceptance, WriteCause::placement,
                                    WriteCause::job_done, WriteCause::task_end,
                                    WriteCause::running_mark};
  std::map<uint64_t, double> waiting;
  double now = 0;
  double longest = 0;
  for (int step = 0; step < 400; ++step, now += 0.1) {
    for (int i = 0; i < flood % 12; ++i) {
      const auto cause = kCauses[static_cast<size_t>(*rc::gen::inRange<int>(0, 5))];
      // Arrivals stop half-way: what is left has to leave.
      if (step < 200 && i < 3)
        fixture.add(std::to_string(step) + "/" + std::to_string(i), cause, now);
    }
    size_t slots = kSlots;
    fixture.queue->begin_transaction();
    for (const auto& write :
         fixture.queue->candidates(now, kSpent, kSlots, [](const std::string&) { return false; })) {
      if (slots-- == 0) break;
      longest = std::max(longest, now - write->queued_at);
      fixture.queue->take(write);
    }
  }
  // Alone and never overdue, ends and display wait for a budget; with the flood they went along.
  RC_ASSERT(fixture.queue->waiting(WritePriority::request) == 0u);
  RC_ASSERT(fixture.queue->waiting(WritePriority::placement) == 0u);
  RC_ASSERT(longest < 20.0);
}

}  // namespace
}  // namespace rushtrestle::coordination
