// The simulated users: submissions, polls and cancellations, each repeated as the protocol demands.
#include <algorithm>

#include "protocol/codec.h"
#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

namespace {

/// Returns the body of a valid submission with a byte that is not UTF-8 in one of its texts.
std::string malformed_submission(std::mt19937_64& rng) {
  Json job = {{"id", "job-malformed"}, {"berth", "batch"}, {"crew", "red"},      {"sort", "array"},
              {"rank", "normal"},      {"chores", 1},      {"cores", 1.0},       {"memoryGb", 1.0},
              {"bundle", "img"},       {"imageGb", 0.1},   {"yard", "a"},        {"dueS", 900.0},
              {"breeds", {"small"}},   {"guessS", 5.0},    {"a later field", ""}};
  const std::vector<std::string> texts = {"/berth", "/crew",     "/bundle",
                                          "/yard",  "/breeds/0", "/a later field"};
  auto& text = job[Json::json_pointer(texts[rng() % texts.size()])].get_ref<std::string&>();
  constexpr unsigned kFirstByteOfASequence = 0xc0;
  const auto byte = static_cast<char>(kFirstByteOfASequence + rng() % 64);
  text.insert(rng() % (text.size() + 1), 1, byte);
  return protocol::to_cbor(job);
}

}  // namespace

void ClusterSimulation::submit(const store::JobSpec& spec, double at_s) {
  jobs_[spec.id].spec = spec;
  has_gangs_ |= spec.kind == store::JobKind::gang;
  at(at_s, [this, id = spec.id] {
    jobs_[id].submitted = true;
    jobs_[id].first_submit = now_;
    user_submit(id, 0);
  });
}

void ClusterSimulation::submit_malformed_jobs(double for_s) {
  for (int second = 0; second < for_s; ++second)
    at(now_ + second, [this] {
      for (int node = 0; node < options_.nodes; ++node) submit_malformed_job(node);
    });
}

// Earlier versions take commands, not bytes.
void ClusterSimulation::submit_malformed_job(int node) {
  constexpr int kMalformed = 400;
  if (version_of(node) != ControllerVersion::current) return;
  const RequestId request = next_request_++;
  auto decoded =
      protocol::decode_request(request, "POST", "/v1/jobs", malformed_submission(rng_), false);
  if (const auto* answer = std::get_if<protocol::HttpAnswer>(&decoded)) {
    if (answer->status == kMalformed) {
      ++counters_.malformed_submissions;
    } else {
      fail("malformed submission gets " + std::to_string(answer->status));
    }
    return;
  }
  fail("malformed submission is not refused");
  send("users", node_name(node),
       [this, node, command = std::get<Command>(decoded)] { deliver(node, command); });
}

void ClusterSimulation::send_user_request(
    int node, const std::function<Command(RequestId)>& make,
    const std::function<void(std::optional<AnswerUser>)>& then) {
  const int node_index = node == kAnyNode ? static_cast<int>(rng_() % nodes_.size()) : node;
  const RequestId request = next_request_++;
  auto answered = std::make_shared<bool>(false);
  user_waiting_[request] = {[answered, then](std::optional<AnswerUser> answer) {
    if (!std::exchange(*answered, true)) then(std::move(answer));
  }};
  at(now_ + 5, [this, request, answered, then] {
    user_waiting_.erase(request);
    if (!std::exchange(*answered, true)) then(std::nullopt);
  });
  send("users", node_name(node_index),
       [this, node_index, command = make(request)] { deliver(node_index, command); });
}

void ClusterSimulation::user_submit(const std::string& id, int tries) {
  send_user_request(
      kAnyNode,
      [this, id](RequestId request) {
        return SubmitJob{request, jobs_.at(id).spec};
      },
      [this, id, tries](std::optional<AnswerUser> answer) {
        Job& job = jobs_.at(id);
        if (answer && (answer->status == 200 || answer->status == 201)) {
          if (!std::exchange(job.accepted, true)) query_all_nodes(id);
          at(now_ + 1, [this, id] { user_poll(id); });
        } else if (answer && (answer->status == 400 || answer->status == 422)) {
          if (job.accepted) fail("forgotten: repeated submission of " + id + " refused");
          job.permanently_rejected = true;
        } else if (tries < 60) {
          at(now_ + 1, [this, id, tries] { user_submit(id, tries + 1); });
        }
      });
}

void ClusterSimulation::user_poll(const std::string& id) {
  user_query(id, kAnyNode, [this, id] { at(now_ + 5, [this, id] { user_poll(id); }); });
}

void ClusterSimulation::query_job(const std::string& id, double at_s, int node) {
  at(at_s, [this, id, node] { user_query(id, node, [] {}); });
}

void ClusterSimulation::record_cancellation(Job& job) {
  if (std::exchange(job.cancellation_confirmed, true)) return;
  job.cancellation_confirmed_at = now_;
  query_all_nodes(job.spec.id);
}

void ClusterSimulation::query_all_nodes(const std::string& id) {
  if (now_ >= extra_queries_until_) return;
  for (int node_index = 0; node_index < options_.nodes; ++node_index) {
    for (int i = 0; i < 3; ++i)
      query_job(id, now_ + std::uniform_real_distribution<>(0, 0.02)(rng_), node_index);
    at(now_ + std::uniform_real_distribution<>(0, 0.02)(rng_),
       [this, id, node_index] { repeat_submission(id, node_index); });
  }
  if (jobs_.at(id).completion_reported && rng_() % 2) {
    // A cancellation after completion: every node has to answer that the job is done.
    jobs_.at(id).user_cancelled = true;
    user_cancel(id, 0, kAnyNode);
  }
}

void ClusterSimulation::repeat_submission(const std::string& id, int node) {
  const bool was_done = jobs_.at(id).completion_reported,
             was_cancelled = jobs_.at(id).cancellation_confirmed;
  send_user_request(
      node,
      [this, id](RequestId request) {
        return SubmitJob{request, jobs_.at(id).spec};
      },
      [this, id, was_done, was_cancelled](std::optional<AnswerUser> answer) {
        if (!answer || answer->status == 503 || answer->status == 429) return;
        if (answer->status != 200)
          return fail("forgotten: repeated submission of " + id + " gets " +
                      std::to_string(answer->status));
        if ((was_done && answer->job->status != store::JobStatus::done) ||
            (was_cancelled && answer->job->status != store::JobStatus::cancelled))
          fail("went_back: repeated submission of " + id);
      });
}

void ClusterSimulation::user_query(const std::string& id, int node,
                                   const std::function<void()>& then) {
  // Answers may overtake each other. An answer has to be at least as recent as those that had
  // arrived when the query was sent.
  const bool was_done = jobs_.at(id).completion_reported,
             was_cancelled = jobs_.at(id).cancellation_confirmed;
  send_user_request(
      node,
      [id](RequestId request) {
        return QueryJob{request, id};
      },
      [this, id, was_done, was_cancelled, then](std::optional<AnswerUser> answer) {
        Job& job = jobs_.at(id);
        if (answer && answer->status == 404) fail("forgotten: " + id + " gets 404");
        if (answer && answer->status == 200) {
          const auto status = answer->job->status;
          job.last_reported = status == store::JobStatus::done   ? "done"
                              : status == store::JobStatus::open ? "open"
                                                                 : "cancelled";
          if (status == store::JobStatus::done) {
            if (!std::exchange(job.completion_reported, true)) query_all_nodes(id);
            if (job.completed.size() != job.spec.tasks) fail("not_done: " + id);
            if (was_cancelled) fail("went_back: " + id + " cancelled, then done");
          } else if (was_done || (was_cancelled && status == store::JobStatus::open)) {
            fail("went_back: " + id);
          }
          if (status == store::JobStatus::cancelled && !job.user_cancelled)
            fail("went_back: " + id + " nobody cancelled");
          if (status == store::JobStatus::cancelled) record_cancellation(job);
        }
        then();
      });
}

void ClusterSimulation::cancel(const std::string& id, double at_s, int node) {
  at(at_s, [this, id, node] {
    if (!jobs_.at(id).accepted) return;
    jobs_.at(id).user_cancelled = true;
    user_cancel(id, 0, node);
  });
}

void ClusterSimulation::user_cancel(const std::string& id, int tries, int node) {
  send_user_request(
      node,
      [id](RequestId request) {
        return CancelJob{request, id};
      },
      [this, id, tries, node,
       was_done = jobs_.at(id).completion_reported](std::optional<AnswerUser> answer) {
        Job& job = jobs_.at(id);
        if (answer && answer->status == 404) fail("forgotten: cancellation of " + id + " gets 404");
        if (answer && answer->status == 200) {
          if (answer->job->status == store::JobStatus::cancelled) record_cancellation(job);
          if (was_done && answer->job->status != store::JobStatus::done)
            fail("went_back: cancellation of " + id + ", which is done");
          if (answer->job->status == store::JobStatus::open)
            fail("cancellation of " + id + " answered with an open job");
          return;
        }
        if (tries < 60) at(now_ + 1, [this, id, tries, node] { user_cancel(id, tries + 1, node); });
      });
}

std::optional<std::string> ClusterSimulation::last_reported_status(const std::string& job) const {
  return jobs_.at(job).last_reported;
}
bool ClusterSimulation::cancellation_confirmed(const std::string& job) const {
  return jobs_.at(job).cancellation_confirmed;
}
bool ClusterSimulation::cancelled_by_user(const std::string& job) const {
  return jobs_.at(job).user_cancelled;
}
bool ClusterSimulation::accepted(const std::string& job) const { return jobs_.at(job).accepted; }
uint64_t ClusterSimulation::starts_of(const std::string& job) const { return jobs_.at(job).starts; }
uint64_t ClusterSimulation::starts_in_attempt(const std::string& job, uint64_t attempt) const {
  const auto& starts = jobs_.at(job).starts_by_attempt;
  const auto it = starts.find(attempt);
  return it == starts.end() ? 0 : it->second;
}

const Json* ClusterSimulation::stored_value(const std::string& key) const {
  return state_.value_of(key);
}

size_t ClusterSimulation::tasks_waiting_for_gang(const std::string& job) const {
  size_t count = 0;
  for (const auto& [id, worker] : workers_)
    for (const auto& [key, task] : worker.tasks)
      if (key.first == job && task.reported.state == TaskState::fetching && task.gathered_at >= 0)
        ++count;
  return count;
}

size_t ClusterSimulation::running(const std::string& job) const {
  size_t count = 0;
  for (const auto& [id, worker] : workers_)
    for (const auto& [key, task] : worker.tasks)
      if (key.first == job && task.reported.state == TaskState::running) ++count;
  return count;
}

}  // namespace rushtrestle::testing
