// Rules for jobs of best-effort teams, which have no guarantee: they run on borrowed capacity, so
// they must not cost other teams capacity, machines or waiting time.
#pragma once
#include "coordination/runtime/context.h"
#include "store/records.h"

namespace rushtrestle::coordination {

/// Returns true if the job has waited more than two minutes for its first start, so that it should
/// start wherever it fits. The limit is half of the four minutes after which users check on a job.
/// `wall` is the time of day in seconds.
bool is_starving(const store::JobRecord& job, double wall);

/// Returns true for a best-effort job without a time limit: it may use spot machines, has the
/// lowest rank and no deadline, and its class has no objective. Such a job runs on spot machines
/// and on capacity that is idle beside services; no on-demand machine is provisioned or kept for
/// it. Returns false once the job is starving.
bool uses_best_effort_capacity_only(const store::JobRecord& job, const Context& context);

}  // namespace rushtrestle::coordination
