#include "coordination/jobs/admission.h"

#include <algorithm>

#include "coordination/scheduling/placement.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobSpec;
using Verdict = AdmissionDecision::Verdict;

namespace {

constexpr double kRetryWhenDisconnectedS = 1;
/// Share of the process's memory limit above which submissions are shed.
constexpr double kNearMemoryLimit = 0.85;
/// A submission is admitted if its write is expected to be sent within this share of the time that
/// the user waits.
constexpr double kWriteShareOfUserWait = 0.5;

}  // namespace

AdmissionDecision Admission::decide(const JobSpec& spec) const {
  // What can run is unknown until the machine types have been read.
  if (state_store_.disconnected() || state_cache_.types().empty())
    return {Verdict::retry_later, kRetryWhenDisconnectedS};
  if (state_cache_.knows_job(spec.id)) return {Verdict::known};
  if (!can_ever_run(spec)) return {Verdict::can_never_run};
  if (near_memory_limit()) return {Verdict::shed_for_memory, context_.settings.lease_s};
  const double write_delay = state_store_.acceptance_delay_s(spec.rank);
  if (write_delay > context_.tunables.write_wait_s * kWriteShareOfUserWait)
    return {Verdict::retry_later, write_delay};
  return {Verdict::admit};
}

bool Admission::sheds_queries() const {
  return context_.lag > context_.tunables.shed_queries_lag_s;
}

bool Admission::can_ever_run(const JobSpec& spec) const {
  return within_quota(spec) && some_type_fits_a_task(spec) && fits_a_record(spec);
}

// The state store refuses the record of a job with a too long description, and with it the
// transaction that other users' jobs were part of. The user got 503, and repeated the submission.
bool Admission::fits_a_record(const JobSpec& spec) const {
  store::JobRecord record;
  record.spec = spec;
  return !state_store_.oversized(to_json(record));
}

bool Admission::within_quota(const JobSpec& spec) const {
  const auto* team = context_.team(spec.team);
  if (!team) return false;
  // Tasks of an array may run one after another; tasks of other job kinds run at the same time.
  store::Resources need;
  need.add(spec.per_task, spec.kind == JobKind::array ? 1 : spec.tasks);
  return need.cpus <= team->quota.cpus + store::Resources::kSlack &&
         need.gpus <= team->quota.gpus + store::Resources::kSlack;
}

bool Admission::some_type_fits_a_task(const JobSpec& spec) const {
  const auto& types = state_cache_.types();
  return std::any_of(types.begin(), types.end(), [&](const store::MachineType& type) {
    return type_allowed(spec, type.name) && spec.per_task.fits(type.size) &&
           (!spec.zone ||
            std::find(type.zones.begin(), type.zones.end(), *spec.zone) != type.zones.end());
  });
}

// A process over its memory limit is killed, and its unfinished work is lost.
bool Admission::near_memory_limit() const {
  return context_.load.memory_mb > context_.settings.memory_mb * kNearMemoryLimit;
}

}  // namespace rushtrestle::coordination
