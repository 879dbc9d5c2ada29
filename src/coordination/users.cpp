#include "coordination/users.h"

#include <algorithm>

#include "coordination/placement.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;

void Users::answer(RequestId r, int status, const std::string& id) {
  AnswerUser a{r, status, std::nullopt, 0};
  if (const auto* job = id.empty() ? nullptr : model_.job(id)) {
    const auto& rec = job->record;
    a.job = JobView{id, rec.status, rec.done.size(), rec.status == JobStatus::open ? rec.running() : 0};
  } else if (const auto* finished = model_.finished_job(id)) {
    a.job = JobView{id, finished->status, finished->tasks_done, 0};
  }
  ctx_.out.push_back(std::move(a));
}

void Users::refuse(RequestId r, double retry_after_s) {
  ctx_.counters["refused"]++;
  ctx_.out.push_back(AnswerUser{r, 503, std::nullopt, retry_after_s});
}

// A final state never changes, so even an old model tells it rightly.
bool Users::answer_if_final(RequestId r, const std::string& id) {
  if (!final_state(id)) return false;
  answer(r, 200, id);
  return true;
}

bool Users::final_state(const std::string& id) const {
  const auto* live = model_.job(id);
  return model_.finished_job(id) || (live && live->record.final_state());
}

// A process over its limit is killed, and with it all that it was about to do.
bool Users::near_memory_limit() const {
  constexpr double kNear = 0.85;
  return ctx_.load.memory_mb > ctx_.settings.memory_mb * kNear;
}

bool Users::healthy() const {
  if (!link_.synced()) return false;
  // In an outage of all, answers (final states, refusals) are as good from here as from elsewhere.
  return link_.lease_valid() || members_.outage_shared();
}

bool Users::can_ever_run(const store::JobSpec& s) const {
  const auto team =
      std::find_if(ctx_.settings.teams.begin(), ctx_.settings.teams.end(), [&](const auto& t) { return t.name == s.team; });
  if (team == ctx_.settings.teams.end()) return false;
  store::Resources need;
  need.add(s.per_task, s.kind == JobKind::array ? 1 : s.tasks);
  if (need.cpus > team->limit.cpus + store::Resources::kSlack || need.gpus > team->limit.gpus + store::Resources::kSlack)
    return false;
  return std::any_of(model_.types().begin(), model_.types().end(), [&](const store::MachineType& t) {
    return type_allowed(s, t.name) && s.per_task.fits(t.size) &&
           (!s.zone || std::find(t.zones.begin(), t.zones.end(), *s.zone) != t.zones.end());
  });
}

void Users::submit(SubmitJob&& s) {
  ctx_.counters["submissions"]++;
  const std::string id = s.spec.id;
  if (answer_if_final(s.request, id)) return;
  if (link_.in_doubt() || model_.types().empty()) return refuse(s.request, 1);
  if (model_.knows_job(id)) {
    const RequestId r = s.request;
    link_.prove([this, r, id](bool ok) { ok ? answer(r, 200, id) : refuse(r, 1); });
    return;
  }
  if (!can_ever_run(s.spec)) {
    // A node that lags must not refuse a job that another has accepted.
    const RequestId r = s.request;
    link_.prove([this, r, id](bool ok) {
      if (!ok) return refuse(r, 1);
      model_.knows_job(id) ? answer(r, 200, id) : answer(r, 422);
    });
    return;
  }
  if (near_memory_limit()) {
    ctx_.counters["submissions_shed_for_memory"]++;
    return refuse(s.request, ctx_.settings.lease_s);
  }
  const double delay = link_.accept_delay(s.spec.rank);
  if (delay > ctx_.tune.user_wait_s / 2) return refuse(s.request, delay);
  pending_[s.request] = {Kind::submit, id, std::move(s.spec), ctx_.now + ctx_.tune.user_wait_s};
  write_submit(s.request);
}

void Users::write_submit(RequestId r) {
  const std::string id = pending_.at(r).id;
  WriteRequest w;
  w.key = store::job_key(id);
  w.cause = WriteCause::acceptance;
  w.rank = pending_.at(r).spec.rank;
  w.team = pending_.at(r).spec.team;
  w.prepare = [this, r, id](Prepared& p) {
    const auto it = pending_.find(r);
    if (it == pending_.end() || model_.knows_job(id)) return false;
    JobRecord record;
    record.spec = it->second.spec;
    record.submitted = ctx_.wall;
    p.expected = 0;
    p.value = to_json(record);
    return true;
  };
  w.done = [this, r, id](WriteOutcome outcome, uint64_t) {
    if (outcome == WriteOutcome::applied) return settle(r, 201);
    // Known by now: accepted through another request of the same user.
    if (outcome != WriteOutcome::refused && model_.knows_job(id)) {
      link_.prove([this, r](bool ok) { settle(r, ok ? 200 : 503); });
      return;
    }
    settle(r, 503);
  };
  link_.write(std::move(w));
}

void Users::settle(RequestId r, int status) {
  const auto node = pending_.extract(r);
  if (node.empty()) return;
  if (status == 503) {
    refuse(r, 1);
  } else {
    answer(r, status, node.mapped().id);
  }
}

void Users::query(const QueryJob& q) {
  ctx_.counters["polls"]++;
  if (answer_if_final(q.request, q.id)) return;
  // Told at once, as the answer would come too late. Not sooner: a job that nothing can be learnt of is forgotten.
  if (ctx_.lag > ctx_.tune.shed_polls_lag_s) {
    ctx_.counters["polls_shed"]++;
    return refuse(q.request, 1 + ctx_.lag);
  }
  link_.prove([this, r = q.request, id = q.id](bool ok) {
    if (!ok) return refuse(r, 1);
    model_.knows_job(id) ? answer(r, 200, id) : answer(r, 404);
  });
}

void Users::cancel(const CancelJob& c) {
  ctx_.counters["cancellations"]++;
  if (answer_if_final(c.request, c.id)) return;
  if (link_.in_doubt()) return refuse(c.request, 1);
  if (!model_.knows_job(c.id)) {
    link_.prove([this, c](bool ok) {
      if (!ok) return refuse(c.request, 1);
      if (!model_.knows_job(c.id)) return answer(c.request, 404);
      cancel(c);
    });
    return;
  }
  pending_[c.request] = {Kind::cancel, c.id, {}, ctx_.now + ctx_.tune.user_wait_s};
  write_cancel(c.request);
}

void Users::write_cancel(RequestId r) {
  const std::string id = pending_.at(r).id;
  const auto* known = model_.job(id);
  if (known && model_.record_format() >= 1 && link_.oversized(to_json(known->record))) return write_cancel_beside(r);
  WriteRequest w;
  w.key = store::job_key(id);
  w.cause = WriteCause::cancellation;
  w.prepare = [this, r, id](Prepared& p) {
    const auto* durable = model_.job(id);
    if (!pending_.count(r) || !durable || durable->record.final_state()) return false;
    JobRecord record = durable->record;
    record.status = JobStatus::cancelled;
    p.expected = durable->stamp;
    p.value = to_json(record);
    return true;
  };
  w.done = [this, r, id](WriteOutcome outcome, uint64_t) { cancel_written(r, id, outcome); };
  link_.write(std::move(w));
}

// A record that was stored under a larger limit can't be written again before enough of its tasks have ended, and its
// user waited for that. The cancellation gets a key of its own, once every controller reads such keys
// (Leader::record_format). It holds only while the record stands as it was read, and the owner's writes of such a record
// hold only while there is no cancellation beside it; so one of the two is first, for everybody.
void Users::write_cancel_beside(RequestId r) {
  const std::string id = pending_.at(r).id;
  WriteRequest w;
  w.key = store::cancel_key(id);
  w.cause = WriteCause::cancellation;
  w.prepare = [this, r, id](Prepared& p) {
    const auto* durable = model_.job(id);
    if (!pending_.count(r) || !durable || durable->record.final_state() || !link_.oversized(to_json(durable->record)))
      return false;
    p.expected = 0;
    p.value = store::Json{{"at", ctx_.wall}};
    p.conditions.push_back({store::job_key(id), durable->stamp});
    return true;
  };
  w.done = [this, r, id](WriteOutcome outcome, uint64_t) { cancel_written(r, id, outcome); };
  link_.write(std::move(w));
}

void Users::cancel_written(RequestId r, const std::string& id, WriteOutcome outcome) {
  if (!pending_.count(r)) return;
  if (final_state(id)) return settle(r, 200);
  const bool again =
      outcome == WriteOutcome::conflict || outcome == WriteOutcome::unsettled || outcome == WriteOutcome::skipped;
  if (again && !link_.in_doubt()) return write_cancel(r);
  settle(r, 503);
}

double Users::next_due() const {
  double due = kNoDueTime;
  for (const auto& [r, p] : pending_) due = std::min(due, p.deadline);
  return due;
}

void Users::tick() {
  std::vector<RequestId> late;
  for (const auto& [r, p] : pending_)
    if (ctx_.now >= p.deadline || link_.in_doubt()) late.push_back(r);
  for (const RequestId r : late) settle(r, 503);
}

}  // namespace rushtrestle::coordination
