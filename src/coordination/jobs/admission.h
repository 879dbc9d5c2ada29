// Admission checks for submissions and queries: which of them this controller takes now, and when
// to come back for those that it does not take.
//
// Invariant: a check reads the state cache, the settings and the load, and changes nothing. Only
// JobService calls it, and turns a verdict into an answer. A verdict that depends on the state
// cache (`known`, `can_never_run`) has to be confirmed behind a read barrier before a user is told,
// as this controller may lag behind one that has accepted the job.
#pragma once
#include "coordination/state/state_store_client.h"

namespace rushtrestle::coordination {

/// What to do with a submission.
struct AdmissionDecision {
  enum class Verdict {
    admit,            ///< write the job's record
    known,            ///< the state cache has a job of this id
    can_never_run,    ///< unknown team, above its quota, or no machine type takes a task
    shed_for_memory,  ///< this process is near its memory limit
    retry_later       ///< no state store, or its write would leave too late
  };
  Verdict verdict = Verdict::admit;
  double retry_after_s = 0;  ///< with `shed_for_memory` and `retry_later`
};

class Admission {
 public:
  /// Keeps references to all three.
  Admission(const Context& context, const store::StateCache& state_cache,
            const StateStoreClient& state_store)
      : context_(context), state_cache_(state_cache), state_store_(state_store) {}

  /// Whether to take a submission, by the first check that it does not pass.
  AdmissionDecision decide(const store::JobSpec& spec) const;
  /// Whether queries are shed, as their answers would come after the users have given up.
  bool sheds_queries() const;

 private:
  bool can_ever_run(const store::JobSpec& spec) const;
  bool within_quota(const store::JobSpec& spec) const;
  bool some_type_takes_a_task(const store::JobSpec& spec) const;
  bool near_memory_limit() const;

  const Context& context_;
  const store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
};

}  // namespace rushtrestle::coordination
