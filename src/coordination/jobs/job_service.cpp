#include "coordination/jobs/job_service.h"

#include <algorithm>

#include "coordination/scheduling/placement.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;

void JobService::answer(RequestId r, int status, const std::string& id) {
  AnswerUser a{r, status, std::nullopt, 0};
  if (const auto* job = id.empty() ? nullptr : state_cache_.job(id)) {
    const auto& rec = job->record;
    a.job =
        JobView{id, rec.status, rec.done.size(), rec.status == JobStatus::open ? rec.running() : 0};
  } else if (const auto* finished = state_cache_.finished_job(id)) {
    a.job = JobView{id, finished->status, finished->tasks_done, 0};
  }
  context_.out.push_back(std::move(a));
}

void JobService::refuse(RequestId r, double retry_after_s) {
  context_.counters["refused"]++;
  context_.out.push_back(AnswerUser{r, 503, std::nullopt, retry_after_s});
}

// A final state never changes, so even an old state cache tells it rightly.
bool JobService::answer_if_final(RequestId r, const std::string& id) {
  if (!final_state(id)) return false;
  answer(r, 200, id);
  return true;
}

bool JobService::final_state(const std::string& id) const {
  const auto* live = state_cache_.job(id);
  return state_cache_.finished_job(id) || (live && live->record.final_state());
}

// A process over its limit is killed, and with it all that it was about to do.
bool JobService::near_memory_limit() const {
  constexpr double kNear = 0.85;
  return context_.load.memory_mb > context_.settings.memory_mb * kNear;
}

bool JobService::healthy() const {
  if (!state_store_.synced()) return false;
  // In an outage of all, answers (final states, refusals) are as good from here as from elsewhere.
  return state_store_.lease_valid() || membership_.outage_shared();
}

bool JobService::can_ever_run(const store::JobSpec& s) const {
  const auto team = std::find_if(context_.settings.teams.begin(), context_.settings.teams.end(),
                                 [&](const auto& t) { return t.name == s.team; });
  if (team == context_.settings.teams.end()) return false;
  store::Resources need;
  need.add(s.per_task, s.kind == JobKind::array ? 1 : s.tasks);
  if (need.cpus > team->quota.cpus + store::Resources::kSlack ||
      need.gpus > team->quota.gpus + store::Resources::kSlack)
    return false;
  return std::any_of(
      state_cache_.types().begin(), state_cache_.types().end(), [&](const store::MachineType& t) {
        return type_allowed(s, t.name) && s.per_task.fits(t.size) &&
               (!s.zone || std::find(t.zones.begin(), t.zones.end(), *s.zone) != t.zones.end());
      });
}

void JobService::submit(SubmitJob&& s) {
  context_.counters["submissions"]++;
  const std::string id = s.spec.id;
  if (answer_if_final(s.request, id)) return;
  if (state_store_.disconnected() || state_cache_.types().empty()) return refuse(s.request, 1);
  if (state_cache_.knows_job(id)) {
    const RequestId r = s.request;
    state_store_.wait_for_read_barrier(
        [this, r, id](bool ok) { ok ? answer(r, 200, id) : refuse(r, 1); });
    return;
  }
  if (!can_ever_run(s.spec)) {
    // A node that lags must not refuse a job that another has accepted.
    const RequestId r = s.request;
    state_store_.wait_for_read_barrier([this, r, id](bool ok) {
      if (!ok) return refuse(r, 1);
      state_cache_.knows_job(id) ? answer(r, 200, id) : answer(r, 422);
    });
    return;
  }
  if (near_memory_limit()) {
    context_.counters["submissions_shed_for_memory"]++;
    return refuse(s.request, context_.settings.lease_s);
  }
  const double delay = state_store_.accept_delay(s.spec.rank);
  if (delay > context_.tunables.user_wait_s / 2) return refuse(s.request, delay);
  pending_[s.request] = {Kind::submit, id, std::move(s.spec),
                         context_.now + context_.tunables.user_wait_s};
  write_submit(s.request);
}

void JobService::write_submit(RequestId r) {
  const std::string id = pending_.at(r).id;
  WriteRequest w;
  w.key = store::job_key(id);
  w.cause = WriteCause::acceptance;
  w.rank = pending_.at(r).spec.rank;
  w.team = pending_.at(r).spec.team;
  w.prepare = [this, r, id](Prepared& p) {
    const auto it = pending_.find(r);
    if (it == pending_.end() || state_cache_.knows_job(id)) return false;
    JobRecord record;
    record.spec = it->second.spec;
    record.submitted = context_.wall;
    p.expected = 0;
    p.value = to_json(record);
    return true;
  };
  w.done = [this, r, id](WriteOutcome outcome, uint64_t) {
    if (outcome == WriteOutcome::applied) return settle(r, 201);
    // Known by now: accepted through another request of the same user.
    if (outcome != WriteOutcome::refused && state_cache_.knows_job(id)) {
      state_store_.wait_for_read_barrier([this, r](bool ok) { settle(r, ok ? 200 : 503); });
      return;
    }
    settle(r, 503);
  };
  state_store_.write(std::move(w));
}

void JobService::settle(RequestId r, int status) {
  const auto node = pending_.extract(r);
  if (node.empty()) return;
  if (status == 503) {
    refuse(r, 1);
  } else {
    answer(r, status, node.mapped().id);
  }
}

void JobService::query(const QueryJob& q) {
  context_.counters["polls"]++;
  if (answer_if_final(q.request, q.id)) return;
  // Told at once, as the answer would come too late. Not sooner: a job that nothing can be learnt
  // of is forgotten.
  if (context_.lag > context_.tunables.shed_polls_lag_s) {
    context_.counters["polls_shed"]++;
    return refuse(q.request, 1 + context_.lag);
  }
  state_store_.wait_for_read_barrier([this, r = q.request, id = q.id](bool ok) {
    if (!ok) return refuse(r, 1);
    state_cache_.knows_job(id) ? answer(r, 200, id) : answer(r, 404);
  });
}

void JobService::cancel(const CancelJob& c) {
  context_.counters["cancellations"]++;
  if (answer_if_final(c.request, c.id)) return;
  if (state_store_.disconnected()) return refuse(c.request, 1);
  if (!state_cache_.knows_job(c.id)) {
    state_store_.wait_for_read_barrier([this, c](bool ok) {
      if (!ok) return refuse(c.request, 1);
      if (!state_cache_.knows_job(c.id)) return answer(c.request, 404);
      cancel(c);
    });
    return;
  }
  pending_[c.request] = {Kind::cancel, c.id, {}, context_.now + context_.tunables.user_wait_s};
  write_cancel(c.request);
}

void JobService::write_cancel(RequestId r) {
  const std::string id = pending_.at(r).id;
  const auto* known = state_cache_.job(id);
  if (known && state_cache_.record_format() >= 1 && state_store_.oversized(to_json(known->record)))
    return write_cancel_beside(r);
  WriteRequest w;
  w.key = store::job_key(id);
  w.cause = WriteCause::cancellation;
  w.prepare = [this, r, id](Prepared& p) {
    const auto* durable = state_cache_.job(id);
    if (!pending_.count(r) || !durable || durable->record.final_state()) return false;
    JobRecord record = durable->record;
    record.status = JobStatus::cancelled;
    p.expected = durable->mod_revision;
    p.value = to_json(record);
    return true;
  };
  w.done = [this, r, id](WriteOutcome outcome, uint64_t) { cancel_written(r, id, outcome); };
  state_store_.write(std::move(w));
}

// A record that was stored under a larger limit can't be written again before enough of its tasks
// have ended, and its user waited for that. The cancellation gets a key of its own, once every
// controller reads such keys (ClusterLeader::record_format). It holds only while the record stands
// as it was read, and the shard leader's writes of such a record hold only while there is no
// cancellation beside it; so one of the two is first, for everybody.
void JobService::write_cancel_beside(RequestId r) {
  const std::string id = pending_.at(r).id;
  WriteRequest w;
  w.key = store::cancel_key(id);
  w.cause = WriteCause::cancellation;
  w.prepare = [this, r, id](Prepared& p) {
    const auto* durable = state_cache_.job(id);
    if (!pending_.count(r) || !durable || durable->record.final_state() ||
        !state_store_.oversized(to_json(durable->record)))
      return false;
    p.expected = 0;
    p.value = store::Json{{"at", context_.wall}};
    p.preconditions.push_back({store::job_key(id), durable->mod_revision});
    return true;
  };
  w.done = [this, r, id](WriteOutcome outcome, uint64_t) { cancel_written(r, id, outcome); };
  state_store_.write(std::move(w));
}

void JobService::cancel_written(RequestId r, const std::string& id, WriteOutcome outcome) {
  if (!pending_.count(r)) return;
  if (final_state(id)) return settle(r, 200);
  const bool again = outcome == WriteOutcome::conflict || outcome == WriteOutcome::unsettled ||
                     outcome == WriteOutcome::skipped;
  if (again && !state_store_.disconnected()) return write_cancel(r);
  settle(r, 503);
}

double JobService::next_due() const {
  double due = kNoDueTime;
  for (const auto& [r, p] : pending_) due = std::min(due, p.deadline);
  return due;
}

void JobService::tick() {
  std::vector<RequestId> late;
  for (const auto& [r, p] : pending_)
    if (context_.now >= p.deadline || state_store_.disconnected()) late.push_back(r);
  for (const RequestId r : late) settle(r, 503);
}

}  // namespace rushtrestle::coordination
