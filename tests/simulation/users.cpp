// The stand-in of the users: submissions, polls and cancellations, each repeated as the protocol
// has it.
#include <algorithm>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

void ClusterSimulation::submit(const store::JobSpec& spec, double at_s) {
  jobs_[spec.id].spec = spec;
  any_gang_ |= spec.kind == store::JobKind::gang;
  at(at_s, [this, id = spec.id] {
    jobs_[id].submitted = true;
    jobs_[id].first_submit = now_;
    user_submit(id, 0);
  });
}

void ClusterSimulation::user_ask(int node, const std::function<Command(RequestId)>& make,
                                 const std::function<void(std::optional<AnswerUser>)>& then) {
  const int n = node == kAnyNode ? static_cast<int>(rng_() % nodes_.size()) : node;
  const RequestId r = next_request_++;
  auto once = std::make_shared<bool>(false);
  user_waiting_[r] = {[once, then](std::optional<AnswerUser> a) {
    if (!std::exchange(*once, true)) then(std::move(a));
  }};
  at(now_ + 5, [this, r, once, then] {
    user_waiting_.erase(r);
    if (!std::exchange(*once, true)) then(std::nullopt);
  });
  send("users", node_name(n), [this, n, command = make(r)] { deliver(n, command); });
}

void ClusterSimulation::user_submit(const std::string& id, int tries) {
  user_ask(
      kAnyNode,
      [this, id](RequestId r) {
        return SubmitJob{r, jobs_.at(id).spec};
      },
      [this, id, tries](std::optional<AnswerUser> a) {
        Job& j = jobs_.at(id);
        if (a && (a->status == 200 || a->status == 201)) {
          if (!std::exchange(j.accepted, true)) look_closely(id);
          at(now_ + 1, [this, id] { user_poll(id); });
        } else if (a && (a->status == 400 || a->status == 422)) {
          if (j.accepted) fail("forgotten: repeated submission of " + id + " refused");
          j.refused_for_good = true;
        } else if (tries < 60) {
          at(now_ + 1, [this, id, tries] { user_submit(id, tries + 1); });
        }
      });
}

void ClusterSimulation::user_poll(const std::string& id) {
  user_query(id, kAnyNode, [this, id] { at(now_ + 5, [this, id] { user_poll(id); }); });
}

void ClusterSimulation::ask(const std::string& id, double at_s, int node) {
  at(at_s, [this, id, node] { user_query(id, node, [] {}); });
}

void ClusterSimulation::note_cancelled(Job& j) {
  if (std::exchange(j.cancel_told, true)) return;
  j.cancel_told_at = now_;
  look_closely(j.spec.id);
}

void ClusterSimulation::look_closely(const std::string& id) {
  if (now_ >= looks_until_) return;
  for (int n = 0; n < options_.nodes; ++n) {
    for (int i = 0; i < 3; ++i) ask(id, now_ + std::uniform_real_distribution<>(0, 0.02)(rng_), n);
    at(now_ + std::uniform_real_distribution<>(0, 0.02)(rng_),
       [this, id, n] { repeat_submission(id, n); });
  }
  if (jobs_.at(id).done_told && rng_() % 2) {
    // Too late: the answer is that it is done, from whatever node.
    jobs_.at(id).user_cancelled = true;
    user_cancel(id, 0, kAnyNode);
  }
}

void ClusterSimulation::repeat_submission(const std::string& id, int node) {
  const bool was_done = jobs_.at(id).done_told, was_cancelled = jobs_.at(id).cancel_told;
  user_ask(
      node,
      [this, id](RequestId r) {
        return SubmitJob{r, jobs_.at(id).spec};
      },
      [this, id, was_done, was_cancelled](std::optional<AnswerUser> a) {
        if (!a || a->status == 503 || a->status == 429) return;
        if (a->status != 200)
          return fail("forgotten: repeated submission of " + id + " gets " +
                      std::to_string(a->status));
        if ((was_done && a->job->status != store::JobStatus::done) ||
            (was_cancelled && a->job->status != store::JobStatus::cancelled))
          fail("went_back: repeated submission of " + id);
      });
}

void ClusterSimulation::user_query(const std::string& id, int node,
                                   const std::function<void()>& then) {
  // Answers may cross: only what was sent after an older answer arrived has to be as new.
  const bool was_done = jobs_.at(id).done_told, was_cancelled = jobs_.at(id).cancel_told;
  user_ask(
      node,
      [id](RequestId r) {
        return QueryJob{r, id};
      },
      [this, id, was_done, was_cancelled, then](std::optional<AnswerUser> a) {
        Job& j = jobs_.at(id);
        if (a && a->status == 404) fail("forgotten: " + id + " gets 404");
        if (a && a->status == 200) {
          const auto status = a->job->status;
          j.last_told = status == store::JobStatus::done   ? "done"
                        : status == store::JobStatus::open ? "open"
                                                           : "cancelled";
          if (status == store::JobStatus::done) {
            if (!std::exchange(j.done_told, true)) look_closely(id);
            if (j.completed.size() != j.spec.tasks) fail("not_done: " + id);
            if (was_cancelled) fail("went_back: " + id + " cancelled, then done");
          } else if (was_done || (was_cancelled && status == store::JobStatus::open)) {
            fail("went_back: " + id);
          }
          if (status == store::JobStatus::cancelled && !j.user_cancelled)
            fail("went_back: " + id + " nobody cancelled");
          if (status == store::JobStatus::cancelled) note_cancelled(j);
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
  user_ask(
      node,
      [id](RequestId r) {
        return CancelJob{r, id};
      },
      [this, id, tries, node, was_done = jobs_.at(id).done_told](std::optional<AnswerUser> a) {
        Job& j = jobs_.at(id);
        if (a && a->status == 404) fail("forgotten: cancellation of " + id + " gets 404");
        if (a && a->status == 200) {
          if (a->job->status == store::JobStatus::cancelled) note_cancelled(j);
          if (was_done && a->job->status != store::JobStatus::done)
            fail("went_back: cancellation of " + id + ", which is done");
          if (a->job->status == store::JobStatus::open)
            fail("cancellation of " + id + " answered with an open job");
          return;
        }
        if (tries < 60) at(now_ + 1, [this, id, tries, node] { user_cancel(id, tries + 1, node); });
      });
}

std::optional<std::string> ClusterSimulation::told(const std::string& job) const {
  return jobs_.at(job).last_told;
}
bool ClusterSimulation::cancel_told(const std::string& job) const {
  return jobs_.at(job).cancel_told;
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

const Json* ClusterSimulation::stored(const std::string& key) const { return state_.value_of(key); }

size_t ClusterSimulation::gathering(const std::string& job) const {
  size_t n = 0;
  for (const auto& [id, w] : workers_)
    for (const auto& [key, t] : w.tasks)
      if (key.first == job && t.reported.state == TaskState::fetching && t.gathered_at >= 0) ++n;
  return n;
}

size_t ClusterSimulation::running(const std::string& job) const {
  size_t n = 0;
  for (const auto& [id, w] : workers_)
    for (const auto& [key, t] : w.tasks)
      if (key.first == job && t.reported.state == TaskState::running) ++n;
  return n;
}

}  // namespace rushtrestle::testing
