// JobService handles users' requests: submitting, querying and cancelling jobs. Every controller
// serves every user; the shard leader of the job's team schedules the job from its record.
//
// It owns the requests whose write is in progress (`pending_`), and no job state: that is in the
// state store, and cached in the state cache.
//
// Invariant: each request is answered once. An answer that depends on the newest state (a job is
// known, is unknown, can never run) is given behind a read barrier; a final state never changes, so
// it may be answered from any state cache. A submission is acknowledged when its record is written.
//
// Only Core calls it, from its single thread.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "coordination/jobs/admission.h"
#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

class JobService {
 public:
  /// The arguments must outlive this object.
  JobService(Context& context, store::StateCache& state_cache, StateStoreClient& state_store,
             Membership& membership)
      : context_(context),
        state_cache_(state_cache),
        state_store_(state_store),
        membership_(membership),
        admission_(context, state_cache, state_store) {}

  /// Submits a job. Answers with 201 (newly written), 200 (already known), 422 (can never run) or
  /// 503 (not accepted now; the answer says when to retry).
  void submit(SubmitJob&& submission);
  /// Answers with the job's state (200), 404 (no such job) or 503 (retry later).
  void query(const QueryJob& query);
  /// Cancels a job unless it has ended. Answers with its final state (200), 404 (no such job) or
  /// 503 (retry later).
  void cancel(const CancelJob& cancellation);
  /// Returns whether users should send their requests to this controller.
  bool healthy() const;
  /// Answers pending requests with 503: those past their deadlines, and all while disconnected.
  void tick();
  /// Returns the earliest deadline of a pending request, in steady seconds.
  double next_due() const;

 private:
  /// A request whose write is in progress.
  struct PendingRequest {
    std::string id;                      // job id
    double deadline = 0;                 // steady seconds
    std::optional<store::JobSpec> spec;  // set for submissions
  };

  void answer(RequestId request, int status);
  void answer_with_job(RequestId request, int status, const std::string& id);
  void answer_if_known(RequestId request, const std::string& id, int status_if_unknown);
  bool answer_if_final(RequestId request, const std::string& id);
  void refuse(RequestId request, double retry_after_s);
  bool has_final_state(const std::string& id) const;

  void write_submission(RequestId request);
  void on_submission_written(RequestId request, const std::string& id, WriteOutcome outcome);
  void write_cancellation(RequestId request);
  void write_cancellation_beside_record(RequestId request);
  void on_cancellation_written(RequestId request, const std::string& id, WriteOutcome outcome);
  /// Answers a pending request; does nothing if it has been answered.
  void answer_pending(RequestId request, int status);

  Context& context_;
  store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  Membership& membership_;
  Admission admission_;
  std::map<RequestId, PendingRequest> pending_;
};

}  // namespace rushtrestle::coordination
