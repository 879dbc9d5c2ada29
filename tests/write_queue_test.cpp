// The order in which writes leave, and how the budget is divided.
#include "coordination/state/writes/write_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

#include "coordination/membership/budget_share.h"
#include "coordination/state/writes/write_metrics.h"

namespace rushtrestle::coordination {
namespace {

constexpr double kPlenty = 1;    // of the budget
constexpr double kShort = 0.2;   // enough for what is urgent
constexpr double kSpent = -0.9;  // only users and what is overdue may still overdraw
constexpr size_t kSlots = 8;

struct Queue {
  store::Settings settings;
  store::OperatorSettings operators;
  std::unique_ptr<WriteQueue> queue;

  Queue() {
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
    for (const auto& w : queue->candidates(now, level, slots, is_busy))
      keys.push_back(w->request.key);
    return keys;
  }
};

using Keys = std::vector<std::string>;

TEST(WriteQueue, LeavesByPriorityThenRank) {
  Queue q;
  q.add("display", WriteCause::running_mark, 0);
  q.add("end", WriteCause::job_done, 0);
  q.add("batch", WriteCause::placement, 0);
  q.add("urgent", WriteCause::placement, 0, store::Rank::high);
  q.add("accept", WriteCause::acceptance, 0);
  EXPECT_EQ(q.next(0.1, kPlenty), (Keys{"accept", "urgent", "batch", "end", "display"}));
  EXPECT_EQ(q.next(0.1, kPlenty, kSlots, {"urgent"}), (Keys{"accept", "batch", "end", "display"}));
}

// With one line a priority, a team's job waited behind a thousand of another team.
TEST(WriteQueue, ATeamsFirstWriteDoesNotWaitBehindAnothersFlood) {
  Queue q;
  for (int i = 0; i < 100; ++i)
    q.add("flood-" + std::to_string(i), WriteCause::placement, 0, store::Rank::normal, "red");
  q.add("single", WriteCause::placement, 0, store::Rank::normal, "blue");
  const auto next = q.next(0.1, kPlenty, 2);
  EXPECT_NE(std::find(next.begin(), next.begin() + 2, "single"), next.begin() + 2);
}

// Ends of single tasks and what is for display leave one by one while nobody else needs the budget,
// and gather when it is short, each for its time.
TEST(WriteQueue, GathersOnlyWhileTheBudgetIsShort) {
  Queue q;
  q.add("end", WriteCause::task_end, 0);
  q.add("display", WriteCause::running_mark, 0);
  EXPECT_EQ(q.next(0.1, kPlenty), (Keys{"end", "display"}));
  EXPECT_EQ(q.next(0.1, kShort), Keys{});
  EXPECT_EQ(q.queue->pressing(0.1), 0u);
  EXPECT_EQ(q.next(q.settings.heartbeat_interval_s, kShort), Keys{"end"});
  EXPECT_EQ(q.next(q.settings.lease_s / 2, kShort), (Keys{"end", "display"}));
  EXPECT_EQ(q.queue->pressing(q.settings.lease_s / 2), 2u);
}

// Acceptances may overdraw the budget and placements could not as far: a flood of the first kept
// the budget so low that nothing was placed at all.
TEST(WriteQueue, WhatIsOverdueGoesWithAFloodOfAcceptances) {
  Queue q;
  for (int i = 0; i < 100; ++i) q.add("accept-" + std::to_string(i), WriteCause::acceptance, 0);
  q.add("placement", WriteCause::placement, 0);
  q.add("done", WriteCause::job_done, 0);
  q.add("display", WriteCause::running_mark, 0);
  // Of the smallest part, a twenty-fifth of the puts, one leaves in four transactions of eight.
  constexpr int kTransactions = 4;
  std::set<std::string> left;
  for (int t = 0; t < kTransactions; ++t) {
    q.queue->begin_transaction();
    size_t slots = kSlots;
    for (const auto& w :
         q.queue->candidates(20, kSpent, kSlots, [](const std::string&) { return false; })) {
      if (slots-- == 0) break;
      left.insert(w->request.key);
      q.queue->take(w);
    }
    EXPECT_TRUE(left.count("placement"));
  }
  for (const char* key : {"placement", "done", "display"}) EXPECT_TRUE(left.count(key)) << key;
}

// One that needs many conditions was passed over for small ones again and again.
TEST(WriteQueue, WhatDidNotFitBeginsTheNextTransaction) {
  Queue q;
  for (int i = 0; i < 4; ++i) q.add("accept-" + std::to_string(i), WriteCause::acceptance, 0);
  const auto large = q.add("large", WriteCause::task_end, 0);
  q.queue->take(large);
  q.queue->put_first(large);
  EXPECT_EQ(q.next(0.1, kSpent).front(), "large");
  q.queue->take(large);
  EXPECT_EQ(q.next(0.1, kSpent).front(), "accept-0");
}

// Whatever comes, each write leaves within a number of transactions that follows from what stood
// before it, though the budget never stands above what users may overdraw.
RC_GTEST_PROP(WriteQueue, NothingStarves, ()) {
  Queue q;
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
      if (step < 200 && i < 3) q.add(std::to_string(step) + "/" + std::to_string(i), cause, now);
    }
    size_t slots = kSlots;
    q.queue->begin_transaction();
    for (const auto& w :
         q.queue->candidates(now, kSpent, kSlots, [](const std::string&) { return false; })) {
      if (slots-- == 0) break;
      longest = std::max(longest, now - w->queued_at);
      q.queue->take(w);
    }
  }
  // Alone and never overdue, ends and display wait for a budget; with the flood they went along.
  RC_ASSERT(q.queue->waiting(WritePriority::request) == 0u);
  RC_ASSERT(q.queue->waiting(WritePriority::placement) == 0u);
  RC_ASSERT(longest < 20.0);
}

TEST(BudgetShare, IdleControllersLeaveTheirs) {
  // Of ten, two lack something: each gets what the others leave, not a tenth.
  EXPECT_NEAR(fair_share(2, {2, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025}), 0.4,
              1e-9);
  EXPECT_NEAR(fair_share(0.025, {2, 2, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025, 0.025}), 0.025,
              1e-9);
  // The leader with a fleet to record gets more than a holder with some jobs.
  EXPECT_GT(fair_share(0.9, {0.4, 0.4}), 0.45);
}

RC_GTEST_PROP(BudgetShare, AddsUpAndTakesFromNobody, ()) {
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

TEST(WriteMetrics, TellsWhatWaitedAndWhatLayIdle) {
  WriteMetrics write_metrics;
  write_metrics.change(WriteCause::task_end);
  write_metrics.change(WriteCause::task_end);
  for (int i = 0; i < 100; ++i) write_metrics.put(WriteCause::task_end, 0.01 * i);
  write_metrics.stalled(StallReason::in_flight, 10, 5);
  write_metrics.stalled(StallReason::write_rate, 12, 5);
  write_metrics.stalled(StallReason::none, 15, 5);
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
