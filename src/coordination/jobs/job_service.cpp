#include "coordination/jobs/job_service.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace rushtrestle::coordination {

using store::JobRecord;
using store::JobStatus;

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kCanNeverRun = 422;
constexpr int kUnavailable = 503;

constexpr double kRetryAfterS = 1;

}  // namespace

// ---- answers ----

void JobService::answer(RequestId request, int status) {
  context_.effects.push_back(AnswerUser{request, status, std::nullopt, 0});
}

void JobService::answer_with_job(RequestId request, int status, const std::string& id) {
  AnswerUser reply{request, status, std::nullopt, 0};
  if (const auto* job = state_cache_.job(id)) {
    const auto& record = job->record;
    reply.job = JobView{id, record.status, record.done.size(),
                        record.status == JobStatus::open ? record.running() : 0};
  } else if (const auto* finished = state_cache_.finished_job(id)) {
    reply.job = JobView{id, finished->status, finished->tasks_done, 0};
  }
  context_.effects.push_back(std::move(reply));
}

void JobService::answer_if_known(RequestId request, const std::string& id, int status_if_unknown) {
  state_store_.wait_for_read_barrier([this, request, id, status_if_unknown](bool current) {
    if (!current) return refuse(request, kRetryAfterS);
    if (!state_cache_.knows_job(id)) return answer(request, status_if_unknown);
    answer_with_job(request, kOk, id);
  });
}

// A final state never changes, so it can be answered from a state cache that lags behind.
bool JobService::answer_if_final(RequestId request, const std::string& id) {
  if (!has_final_state(id)) return false;
  answer_with_job(request, kOk, id);
  return true;
}

void JobService::refuse(RequestId request, double retry_after_s) {
  context_.counters["refused"]++;
  context_.effects.push_back(AnswerUser{request, kUnavailable, std::nullopt, retry_after_s});
}

bool JobService::has_final_state(const std::string& id) const {
  const auto* live = state_cache_.job(id);
  return state_cache_.finished_job(id) || (live && live->record.final_state());
}

void JobService::answer_pending(RequestId request, int status) {
  const auto node = pending_.extract(request);
  if (node.empty()) return;
  if (status == kUnavailable) {
    refuse(request, kRetryAfterS);
  } else {
    answer_with_job(request, status, node.mapped().id);
  }
}

// ---- submissions ----

void JobService::submit(SubmitJob&& submission) {
  context_.counters["submissions"]++;
  const RequestId request = submission.request;
  const std::string id = submission.spec.id;
  if (answer_if_final(request, id)) return;
  const AdmissionDecision decision = admission_.decide(submission.spec);
  switch (decision.verdict) {
    case AdmissionDecision::Verdict::shed_for_memory:
      context_.counters["submissions_shed_for_memory"]++;
      return refuse(request, decision.retry_after_s);
    case AdmissionDecision::Verdict::retry_later: return refuse(request, decision.retry_after_s);
    case AdmissionDecision::Verdict::known: return answer_if_known(request, id, kOk);
    // A controller that lags behind must not refuse a job that another one has accepted.
    case AdmissionDecision::Verdict::can_never_run:
      return answer_if_known(request, id, kCanNeverRun);
    case AdmissionDecision::Verdict::admit: break;
  }
  pending_[request] = {id, context_.now + context_.tunables.write_wait_s,
                       std::move(submission.spec)};
  write_submission(request);
}

void JobService::write_submission(RequestId request) {
  const PendingRequest& pending = pending_.at(request);
  WriteRequest write;
  write.key = store::job_key(pending.id);
  write.cause = WriteCause::acceptance;
  write.rank = pending.spec->rank;
  write.team = pending.spec->team;
  write.prepare = [this, request, id = pending.id](PreparedWrite& prepared) {
    const auto still_pending = pending_.find(request);
    if (still_pending == pending_.end() || state_cache_.knows_job(id)) return false;
    JobRecord record;
    record.spec = *still_pending->second.spec;
    record.submitted = context_.wall;
    prepared.expected_mod_revision = 0;
    prepared.value = to_json(record);
    return true;
  };
  write.done = [this, request, id = pending.id](WriteOutcome outcome, uint64_t) {
    on_submission_written(request, id, outcome);
  };
  state_store_.write(std::move(write));
}

void JobService::on_submission_written(RequestId request, const std::string& id,
                                       WriteOutcome outcome) {
  if (outcome == WriteOutcome::applied) return answer_pending(request, kCreated);
  // Another request of the same user submitted the job in the meantime.
  if (outcome != WriteOutcome::refused && state_cache_.knows_job(id)) {
    state_store_.wait_for_read_barrier(
        [this, request](bool current) { answer_pending(request, current ? kOk : kUnavailable); });
    return;
  }
  answer_pending(request, kUnavailable);
}

// ---- queries ----

void JobService::query(const QueryJob& query) {
  context_.counters["polls"]++;
  if (answer_if_final(query.request, query.id)) return;
  // A query is refused only if its answer would come after the user has given up. Refusing more
  // would be wrong: an accepted job that users can't query counts as forgotten.
  if (admission_.sheds_queries()) {
    context_.counters["polls_shed"]++;
    return refuse(query.request, kRetryAfterS + context_.lag);
  }
  answer_if_known(query.request, query.id, kNotFound);
}

// ---- cancellations ----

void JobService::cancel(const CancelJob& cancellation) {
  context_.counters["cancellations"]++;
  if (answer_if_final(cancellation.request, cancellation.id)) return;
  if (state_store_.disconnected()) return refuse(cancellation.request, kRetryAfterS);
  if (!state_cache_.knows_job(cancellation.id)) {
    state_store_.wait_for_read_barrier([this, cancellation](bool current) {
      if (!current) return refuse(cancellation.request, kRetryAfterS);
      if (!state_cache_.knows_job(cancellation.id)) return answer(cancellation.request, kNotFound);
      cancel(cancellation);
    });
    return;
  }
  pending_[cancellation.request] = {cancellation.id, context_.now + context_.tunables.write_wait_s,
                                    std::nullopt};
  write_cancellation(cancellation.request);
}

void JobService::write_cancellation(RequestId request) {
  const std::string id = pending_.at(request).id;
  const auto* known = state_cache_.job(id);
  if (known && state_cache_.record_format() >= store::kFormatWithCancellations &&
      state_store_.oversized(to_json(known->record)))
    return write_cancellation_beside_record(request);
  WriteRequest write;
  write.key = store::job_key(id);
  write.cause = WriteCause::cancellation;
  write.prepare = [this, request, id](PreparedWrite& prepared) {
    const auto* durable = state_cache_.job(id);
    if (!pending_.count(request) || !durable || durable->record.final_state()) return false;
    JobRecord record = durable->record;
    record.status = JobStatus::cancelled;
    prepared.expected_mod_revision = durable->mod_revision;
    prepared.value = to_json(record);
    return true;
  };
  write.done = [this, request, id](WriteOutcome outcome, uint64_t) {
    on_cancellation_written(request, id, outcome);
  };
  state_store_.write(std::move(write));
}

// A record that was stored under a larger size limit can't be written again until enough of its
// tasks have ended, and cancellations had to wait for that. Once every controller reads
// cancellation keys (RecordFormatMarker), the cancellation is written to a key of its own instead.
// Its precondition is that the record is unchanged, and the shard leader writes an oversized record
// only on the precondition that the cancellation key is absent; so all controllers see the same
// order.
void JobService::write_cancellation_beside_record(RequestId request) {
  const std::string id = pending_.at(request).id;
  WriteRequest write;
  write.key = store::cancel_key(id);
  write.cause = WriteCause::cancellation;
  write.prepare = [this, request, id](PreparedWrite& prepared) {
    const auto* durable = state_cache_.job(id);
    if (!pending_.count(request) || !durable || durable->record.final_state() ||
        !state_store_.oversized(to_json(durable->record)))
      return false;
    prepared.expected_mod_revision = 0;
    prepared.value = store::cancellation_to_json(context_.wall);
    prepared.preconditions.push_back({store::job_key(id), durable->mod_revision});
    return true;
  };
  write.done = [this, request, id](WriteOutcome outcome, uint64_t) {
    on_cancellation_written(request, id, outcome);
  };
  state_store_.write(std::move(write));
}

void JobService::on_cancellation_written(RequestId request, const std::string& id,
                                         WriteOutcome outcome) {
  if (!pending_.count(request)) return;
  if (has_final_state(id)) return answer_pending(request, kOk);
  const bool retry = outcome == WriteOutcome::conflict || outcome == WriteOutcome::indeterminate ||
                     outcome == WriteOutcome::skipped;
  if (retry && !state_store_.disconnected()) return write_cancellation(request);
  answer_pending(request, kUnavailable);
}

// ---- health and time ----

bool JobService::healthy() const {
  if (!state_store_.synced()) return false;
  // If all controllers are disconnected, this one can answer (final states, refusals) as well as
  // any other.
  return state_store_.lease_valid() || membership_.all_peers_lack_state_store();
}

double JobService::next_due() const {
  double due = kNoDueTime;
  for (const auto& [request, pending] : pending_) due = std::min(due, pending.deadline);
  return due;
}

void JobService::tick() {
  std::vector<RequestId> late;
  for (const auto& [request, pending] : pending_)
    if (context_.now >= pending.deadline || state_store_.disconnected()) late.push_back(request);
  for (const RequestId request : late) answer_pending(request, kUnavailable);
}

}  // namespace rushtrestle::coordination
