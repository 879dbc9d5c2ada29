// Admission control for submissions and queries: decides which requests this controller accepts
// now, and when the refused ones should be retried.
//
// Invariant: a check reads the state cache, the settings and the load, and changes nothing. Only
// JobService calls it, and turns a verdict into an answer. A verdict that depends on the state
// cache (`known`, `can_never_run`) has to be confirmed behind a read barrier before the user gets
// it, as this controller may lag behind one that has accepted the job.
#pragma once
#include "coordination/state/state_store_client.h"

namespace rushtrestle::coordination {

/// How to handle a submission.
struct AdmissionDecision {
  enum class Verdict {
    admit,            ///< write the job's record
    known,            ///< the state cache has a job with this id
    can_never_run,    ///< unknown team, above its quota, or no machine type fits a task
    shed_for_memory,  ///< this process is near its memory limit
    retry_later       ///< no state store, no machine types, or the write would be sent too late
  };
  Verdict verdict = Verdict::admit;
  double retry_after_s = 0;  ///< set for `shed_for_memory` and `retry_later`
};

class Admission {
 public:
  /// The arguments must outlive this object.
  Admission(const Context& context, const store::StateCache& state_cache,
            const StateStoreClient& state_store)
      : context_(context), state_cache_(state_cache), state_store_(state_store) {}

  /// Returns the verdict of the first check that the submission fails, or `admit`.
  AdmissionDecision decide(const store::JobSpec& spec) const;
  /// Returns whether queries are shed because their answers would come after the users have given
  /// up.
  bool sheds_queries() const;

 private:
  bool can_ever_run(const store::JobSpec& spec) const;
  bool fits_a_record(const store::JobSpec& spec) const;
  bool within_quota(const store::JobSpec& spec) const;
  bool some_type_fits_a_task(const store::JobSpec& spec) const;
  bool near_memory_limit() const;

  const Context& context_;
  const store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
};

}  // namespace rushtrestle::coordination
