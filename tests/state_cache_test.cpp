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
  ASSERT_TRUE(state_cache.finished_job("job-7"));  // its record has no placements
  EXPECT_EQ(state_cache.finished_job("job-7")->status, JobStatus::cancelled);
  EXPECT_EQ(state_cache.finished_job("job-7")->mod_revision, 9u);
  EXPECT_EQ(listener.jobs, 1);
  // An older write that arrives after the deletion of its key must not undo the deletion.
  const Json lease_holder = to_json(LeaseHolderRecord{"n", "i"});
  state_cache.apply({"part/0", lease_holder, 5});
  state_cache.apply({"part/0", std::nullopt, 7});
  state_cache.apply({"part/0", lease_holder, 6});
  EXPECT_EQ(state_cache.mod_revision_of("part/0"), 0u);
}

// With the revision taken first, a value that could not be read left the former holder under the
// new revision, which is a fencing token.
TEST(StateCache, AnUnreadableLeaseHolderChangesNothing) {
  CountingListener listener;
  StateCache state_cache(listener);
  state_cache.apply({"part/0", to_json(LeaseHolderRecord{"n", "i"}), 5});
  EXPECT_FALSE(state_cache.apply({"part/0", Json{{"node", 3}}, 7}));
  EXPECT_EQ(state_cache.mod_revision_of("part/0"), 5u);
  EXPECT_EQ(listener.holders, 1);
}

// When the cache kept the whole record of every accepted job, a small controller ran out of memory
// within two days.
TEST(StateCache, AFinishedJobKeepsOnlyTheFieldsThatAnswersNeed) {
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
  state_cache.add_unconfirmed_cancellation({"job-7", 5});  // older than the record
  EXPECT_FALSE(state_cache.cancelled("job-7"));
  state_cache.apply({"job/job-7", to_json(sample_job_record()), 8});  // a late read
  EXPECT_FALSE(state_cache.job("job-7"));
  EXPECT_LE(sizeof(std::pair<const std::string, FinishedJob>) + 4 * sizeof(void*), 100u);
}

// A cancellation reported by a peer overrides the record in the cache only if the record is older.
TEST(StateCache, UnconfirmedCancellationsAreListedOnceAndOverriddenOnlyByNewerRecords) {
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
  write(JobStatus::open, 11);  // a late read
  EXPECT_TRUE(state_cache.cancelled("job-1"));
  write(JobStatus::cancelled, 12);
  EXPECT_TRUE(state_cache.cancelled("job-1"));
  state_cache.add_unconfirmed_cancellation({"job-2", 13});  // a job not read here yet
  EXPECT_TRUE(state_cache.cancelled("job-2"));
  ASSERT_EQ(state_cache.cancellations().size(), 2u);
  EXPECT_EQ(state_cache.cancellations()[0].job, "job-1");
  EXPECT_EQ(state_cache.cancellations()[1].mod_revision, 13u);
}

TEST(StateCache, MalformedRecordsAreNotStored) {
  CountingListener listener;
  StateCache state_cache(listener);
  EXPECT_FALSE(state_cache.apply({"job/job-7", Json{{"job", 3}}, 4}));
  EXPECT_FALSE(state_cache.apply({"machine/n-1", Json::array(), 4}));
  EXPECT_EQ(state_cache.job("job-7"), nullptr);
  EXPECT_EQ(state_cache.machine("n-1"), nullptr);
}

}  // namespace
}  // namespace rushtrestle::store
