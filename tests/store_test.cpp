#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "store/state_cache.h"

namespace rushtrestle::store {
namespace {

RC_GTEST_PROP(Store, TaskSetsBehaveLikeSets, ()) {
  TaskSet runs;
  std::set<uint32_t> plain;
  for (const auto t :
       *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange<uint32_t>(0, 60))) {
    runs.insert(t);
    plain.insert(t);
  }
  const auto back = TaskSet::from_json(runs.to_json());
  RC_ASSERT(back.size() == plain.size());
  for (uint32_t t = 0; t < 62; ++t) {
    RC_ASSERT(back.contains(t) == (plain.count(t) == 1));
    uint32_t missing = t;
    while (plain.count(missing)) ++missing;
    RC_ASSERT(back.first_missing(t) == missing);
  }
  // Runs are as few as can be, or records would outgrow their limit.
  size_t expected = 0;
  for (const auto t : plain) expected += t == 0 || !plain.count(t - 1);
  RC_ASSERT(back.runs().size() == expected);
}

JobRecord job_record() {
  JobRecord r;
  r.spec.id = "job-7";
  r.spec.job_class = "c";
  r.spec.team = "red";
  r.spec.kind = JobKind::service;
  r.spec.tasks = 4;
  r.spec.per_task = {2, 1, 8};
  r.spec.types = std::vector<std::string>{"g"};
  r.spec.zone = "a";
  r.spec.spread = true;
  r.spec.image = "i";
  r.spec.estimate_s = 12;
  r.spec.deadline_s = 40;
  r.submitted = 1e9;
  r.not_before = 1e9 + 60;
  r.attempts = 9;
  r.done.insert(2);
  r.placed = {{0, "n-1", 8, true, false}, {1, "n-2", 9, false, true}};
  return r;
}

TEST(Store, RecordsSurviveTheirForm) {
  const auto j = to_json(job_record());
  EXPECT_EQ(to_json(job_record_from_json(j)), j);
  MachineRecord m{
      "n-1", "1.2.3.4:5", "g", "a", true, 2, 1, true, MachinePhase::reassignment_requested, 5};
  EXPECT_EQ(to_json(machine_record_from_json(to_json(m))), to_json(m));
}

struct Ears : StateCache::Listener {
  int jobs = 0, holders = 0;
  void on_job_changed(const std::string&) override { ++jobs; }
  void on_machine_changed(const std::string&) override {}
  void on_lease_holder_changed(const std::string&) override { ++holders; }
};

TEST(Store, NewerStampsWinWhateverTheOrder) {
  Ears ears;
  StateCache state_cache(ears);
  auto record = job_record();
  record.status = JobStatus::cancelled;
  record.placed.clear();
  EXPECT_TRUE(state_cache.apply({"job/job-7", to_json(record), 9}));
  EXPECT_TRUE(state_cache.apply({"job/job-7", to_json(job_record()), 8}));
  ASSERT_TRUE(state_cache.finished_job("job-7"));  // it places nothing
  EXPECT_EQ(state_cache.finished_job("job-7")->status, JobStatus::cancelled);
  EXPECT_EQ(state_cache.finished_job("job-7")->mod_revision, 9u);
  EXPECT_EQ(ears.jobs, 1);
  // A deletion that comes after an older write of the same key must hold.
  const Json lease_holder = to_json(LeaseHolderRecord{"n", "i"});
  state_cache.apply({"part/0", lease_holder, 5});
  state_cache.apply({"part/0", std::nullopt, 7});
  state_cache.apply({"part/0", lease_holder, 6});
  EXPECT_EQ(state_cache.mod_revision_of("part/0"), 0u);
}

// A whole record of each job that was ever accepted filled a small controller within two days.
TEST(Store, AFinishedJobKeepsWhatAnswersNeedAndNoMore) {
  Ears ears;
  StateCache state_cache(ears);
  auto record = job_record();
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
  state_cache.apply({"job/job-7", to_json(job_record()), 8});  // read late
  EXPECT_FALSE(state_cache.job("job-7"));
  EXPECT_LE(sizeof(std::pair<const std::string, FinishedJob>) + 4 * sizeof(void*), 100u);
}

// A peer's word of a cancellation goes before our record only where the record is older.
TEST(Store, CancellationsHeardOfAreKnownOnceAndContradictedByNewerRecordsOnly) {
  struct Silent : StateCache::Listener {
    std::vector<std::string> changed;
    void on_job_changed(const std::string& id) override { changed.push_back(id); }
    void on_machine_changed(const std::string&) override {}
    void on_lease_holder_changed(const std::string&) override {}
  } listener;
  StateCache state_cache(listener);
  JobRecord r;
  r.spec.id = "job-1";
  r.spec.tasks = 1;
  const auto write = [&](JobStatus status, uint64_t mod_revision) {
    r.status = status;
    state_cache.apply({"job/job-1", to_json(r), mod_revision});
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

TEST(Store, UnreadableRecordsLeaveNoTrace) {
  Ears ears;
  StateCache state_cache(ears);
  EXPECT_FALSE(state_cache.apply({"job/job-7", Json{{"job", 3}}, 4}));
  EXPECT_FALSE(state_cache.apply({"machine/n-1", Json::array(), 4}));
  EXPECT_EQ(state_cache.job("job-7"), nullptr);
  EXPECT_EQ(state_cache.machine("n-1"), nullptr);
}

}  // namespace
}  // namespace rushtrestle::store
