#include "store/state_cache.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "support/sample_records.h"

namespace rushtrestle::store {
namespace {

struct CountingListener : StateCache::Listener {
  int jobs = 0, holders = 0;
  void on_job_changed(const std::string&) override { ++jobs; }
  void on_machine_changed(const std::string&) override {}
  void on_lease_holder_changed(const std::string&) override { ++holders; }
};

TEST(StateCache, TheNewerModRevisionWinsWhateverTheOrder) {
  CountingListener listener;
  StateCache state_cache(listener);
  auto record = sample_job_record();
  record.status = JobStatus::cancelled;
  record.placed.clear();
  EXPECT_TRUE(state_cache.apply({"job/job-7", to_json(record), 9}));
  EXPECT_TRUE(state_cache.apply({"job/job-7", to_json(sample_job_record()), 8}));
  ASSERT_TRUE(state_cache.finished_job("job-7"));  // it places nothing
  EXPECT_EQ(state_cache.finished_job("job-7")->status, JobStatus::cancelled);
  EXPECT_EQ(state_cache.finished_job("job-7")->mod_revision, 9u);
  EXPECT_EQ(listener.jobs, 1);
  // A deletion that comes after an older write of the same key must hold.
  const Json lease_holder = to_json(LeaseHolderRecord{"n", "i"});
  state_cache.apply({"part/0", lease_holder, 5});
  state_cache.apply({"part/0", std::nullopt, 7});
  state_cache.apply({"part/0", lease_holder, 6});
  EXPECT_EQ(state_cache.mod_revision_of("part/0"), 0u);
}

// A whole record of each job that was ever accepted filled a small controller within two days.
TEST(StateCache, AFinishedJobKeepsWhatAnswersNeedAndNoMore) {
  CountingListener listener;
  StateCache state_cache(listener);
  auto record = sample_job_record();
  record.status = JobStatus::done;
  record.placed = {{0, "n-1", 1, true, false}};
  state_cache.apply({"job/job-7", to_json(record), 9});
  EXPECT_TRUE(state_cache.job("job-7"));  // still holds a machine
  record.placed.clear();
  state_cache.apply({"job/job-7", to_json(record), 12});
  EXPECT_FALSE(state_cache.job("job-7"));
  ASSERT_TRUE(state_cache.finished_job("job-7"));
  EXPECT_EQ(state_cache.finished_job("job-7")->tasks_done, record.done.size());
  EXPECT_EQ(state_cache.mod_revision_of("job/job-7"), 12u);
  EXPECT_TRUE(state_cache.knows_job("job-7"));
  EXPECT_TRUE(state_cache.live_jobs().empty());
  state_cache.add_unconfirmed_cancellation({"job-7", 5});  // an older word than the record
  EXPECT_FALSE(state_cache.cancelled("job-7"));
  state_cache.apply({"job/job-7", to_json(sample_job_record()), 8});  // read late
  EXPECT_FALSE(state_cache.job("job-7"));
  EXPECT_LE(sizeof(std::pair<const std::string, FinishedJob>) + 4 * sizeof(void*), 100u);
}

// A peer's word of a cancellation goes before our record only where the record is older.
TEST(StateCache, UnconfirmedCancellationsAreKnownOnceAndContradictedByNewerRecordsOnly) {
  struct RecordingListener : StateCache::Listener {
    std::vector<std::string> changed;
    void on_job_changed(const std::string& id) override { changed.push_back(id); }
    void on_machine_changed(const std::string&) override {}
    void on_lease_holder_changed(const std::string&) override {}
  } listener;
  StateCache state_cache(listener);
  JobRecord record;
  record.spec.id = "job-1";
  record.spec.tasks = 1;
  const auto write = [&](JobStatus status, uint64_t mod_revision) {
    record.status = status;
    state_cache.apply({"job/job-1", to_json(record), mod_revision});
  };
  write(JobStatus::open, 10);
  state_cache.add_unconfirmed_cancellation({"job-1", 9});
  EXPECT_FALSE(state_cache.cancelled("job-1"));
  state_cache.add_unconfirmed_cancellation({"job-1", 12});
  state_cache.add_unconfirmed_cancellation({"job-1", 12});
  EXPECT_TRUE(state_cache.cancelled("job-1"));
  EXPECT_EQ(listener.changed.size(), 2u);
  write(JobStatus::open, 11);  // read late
  EXPECT_TRUE(state_cache.cancelled("job-1"));
  write(JobStatus::cancelled, 12);
  EXPECT_TRUE(state_cache.cancelled("job-1"));
  state_cache.add_unconfirmed_cancellation({"job-2", 13});  // submitted after our last look
  EXPECT_TRUE(state_cache.cancelled("job-2"));
  ASSERT_EQ(state_cache.cancellations().size(), 2u);
  EXPECT_EQ(state_cache.cancellations()[0].job, "job-1");
  EXPECT_EQ(state_cache.cancellations()[1].mod_revision, 13u);
}

TEST(StateCache, UnreadableRecordsLeaveNoTrace) {
  CountingListener listener;
  StateCache state_cache(listener);
  EXPECT_FALSE(state_cache.apply({"job/job-7", Json{{"job", 3}}, 4}));
  EXPECT_FALSE(state_cache.apply({"machine/n-1", Json::array(), 4}));
  EXPECT_EQ(state_cache.job("job-7"), nullptr);
  EXPECT_EQ(state_cache.machine("n-1"), nullptr);
}

}  // namespace
}  // namespace rushtrestle::store
