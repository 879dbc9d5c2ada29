// Tests of the order in which queued writes are sent.
#include "coordination/state/writes/write_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/state/writes/transaction_batch.h"

namespace rushtrestle::coordination {
namespace {

// Budget levels, in seconds of the write rate.
constexpr double kFullBudget = 1;
constexpr double kLowBudget = 0.2;         // enough for the first three priorities
constexpr double kOverdrawnBudget = -0.9;  // enough for user requests and overdue placements
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

// The size of a value was that of its JSON text, and making the text of a value with a byte that is
// not UTF-8 threw out of the controller: a value that any earlier version stored must be writable.
TEST(TransactionBatch, TakesAValueWithTextThatIsNotUtf8) {
  TransactionBatch batch(kSlots);
  auto write = std::make_shared<QueuedWrite>();
  write->request.key = "job/job-1";
  write->prepared.value = store::Json{{"image", "img-caf\xe9"}};
  EXPECT_TRUE(batch.try_add(write));
  EXPECT_EQ(batch.to_transaction().writes.size(), 1u);
}

TEST(WriteQueue, LeavesByPriorityThenRank) {
  QueueFixture fixture;
  fixture.add("display", WriteCause::running_mark, 0);
  fixture.add("end", WriteCause::job_done, 0);
  fixture.add("batch", WriteCause::placement, 0);
  fixture.add("urgent", WriteCause::placement, 0, store::Rank::high);
  fixture.add("accept", WriteCause::acceptance, 0);
  EXPECT_EQ(fixture.next(0.1, kFullBudget), (Keys{"accept", "urgent", "batch", "end", "display"}));
  EXPECT_EQ(fixture.next(0.1, kFullBudget, kSlots, {"urgent"}),
            (Keys{"accept", "batch", "end", "display"}));
}

// Guards against a single first-in-first-out queue per priority, in which a team's job waited
// behind a thousand jobs of another team.
TEST(WriteQueue, FirstWriteOfATeamDoesNotWaitBehindAnotherTeamsBacklog) {
  QueueFixture fixture;
  for (int i = 0; i < 100; ++i)
    fixture.add("flood-" + std::to_string(i), WriteCause::placement, 0, store::Rank::normal, "red");
  fixture.add("single", WriteCause::placement, 0, store::Rank::normal, "blue");
  const auto next = fixture.next(0.1, kFullBudget, 2);
  EXPECT_NE(std::find(next.begin(), next.begin() + 2, "single"), next.begin() + 2);
}

// Task ends and display marks are sent immediately while budget is left. While it is short, each
// waits for the coalescing time of its priority.
TEST(WriteQueue, CoalescesOnlyWhileTheBudgetIsShort) {
  QueueFixture fixture;
  fixture.add("end", WriteCause::task_end, 0);
  fixture.add("display", WriteCause::running_mark, 0);
  EXPECT_EQ(fixture.next(0.1, kFullBudget), (Keys{"end", "display"}));
  EXPECT_EQ(fixture.next(0.1, kLowBudget), Keys{});
  EXPECT_EQ(fixture.queue->waiting_for_budget(0.1), 0u);
  EXPECT_EQ(fixture.next(fixture.settings.heartbeat_interval_s, kLowBudget), Keys{"end"});
  EXPECT_EQ(fixture.next(fixture.settings.lease_s / 2, kLowBudget), (Keys{"end", "display"}));
  EXPECT_EQ(fixture.queue->waiting_for_budget(fixture.settings.lease_s / 2), 2u);
}

// Guards against starvation by acceptances, which may overdraw the budget further than placements:
// a flood of acceptances kept the budget so low that no task was placed.
TEST(WriteQueue, OverdueWritesAreSentDuringAFloodOfAcceptances) {
  QueueFixture fixture;
  for (int i = 0; i < 100; ++i)
    fixture.add("accept-" + std::to_string(i), WriteCause::acceptance, 0);
  fixture.add("placement", WriteCause::placement, 0);
  fixture.add("done", WriteCause::job_done, 0);
  fixture.add("display", WriteCause::running_mark, 0);
  // The smallest share, a twenty-fifth of the writes, sends one write in four transactions of
  // eight.
  constexpr int kTransactions = 4;
  std::set<std::string> left;
  for (int t = 0; t < kTransactions; ++t) {
    fixture.queue->begin_transaction();
    size_t slots = kSlots;
    for (const auto& write : fixture.queue->candidates(20, kOverdrawnBudget, kSlots,
                                                       [](const std::string&) { return false; })) {
      if (slots-- == 0) break;
      left.insert(write->request.key);
      fixture.queue->remove(write);
    }
    EXPECT_TRUE(left.count("placement"));
  }
  for (const char* key : {"placement", "done", "display"}) EXPECT_TRUE(left.count(key)) << key;
}

// Guards against a write with many preconditions being passed over repeatedly for small writes.
TEST(WriteQueue, WriteThatDidNotFitBeginsTheNextTransaction) {
  QueueFixture fixture;
  for (int i = 0; i < 4; ++i) fixture.add("accept-" + std::to_string(i), WriteCause::acceptance, 0);
  const auto large = fixture.add("large", WriteCause::task_end, 0);
  fixture.queue->remove(large);
  fixture.queue->put_back_first(large);
  EXPECT_EQ(fixture.next(0.1, kOverdrawnBudget).front(), "large");
  fixture.queue->remove(large);
  EXPECT_EQ(fixture.next(0.1, kOverdrawnBudget).front(), "accept-0");
}

// Whatever arrives, each write is sent within a number of transactions that is bounded by the
// writes queued before it, although the budget stays overdrawn as far as only users may overdraw
// it.
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
      // Arrivals stop after half of the steps; the remaining writes still have to be sent.
      if (step < 200 && i < 3)
        fixture.add(std::to_string(step) + "/" + std::to_string(i), cause, now);
    }
    size_t slots = kSlots;
    fixture.queue->begin_transaction();
    for (const auto& write : fixture.queue->candidates(now, kOverdrawnBudget, kSlots,
                                                       [](const std::string&) { return false; })) {
      if (slots-- == 0) break;
      longest = std::max(longest, now - write->queued_at);
      fixture.queue->remove(write);
    }
  }
  // Completion, coalesced and background writes may remain: at this budget level they are sent only
  // together with other writes, as during the flood.
  RC_ASSERT(fixture.queue->waiting(WritePriority::request) == 0u);
  RC_ASSERT(fixture.queue->waiting(WritePriority::placement) == 0u);
  RC_ASSERT(longest < 20.0);
}

}  // namespace
}  // namespace rushtrestle::coordination
