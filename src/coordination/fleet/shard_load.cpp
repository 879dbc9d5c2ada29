#include "coordination/fleet/shard_load.h"

#include <algorithm>

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;

namespace {

// Adds the job's placed tasks to `load`. Returns the number of tasks that have to move because
// their machine is excluded.
uint32_t count_placed(const PlanningInputs& inputs, const JobRecord& job,
                      const ExcludedMachines& excluded, ShardLoad& load) {
  uint32_t displaced = 0;
  for (const auto& placement : job.placed) {
    if (excluded.count(placement.machine)) {
      if (can_move(job.spec)) ++displaced;
      continue;
    }
    const auto* machine = inputs.state_cache.machine(placement.machine);
    auto& counts = load.placed_tasks[job.spec.job_class];
    ++(machine && machine->record.spot ? counts.spot : counts.on_demand);
    load.used[placement.machine].add(job.spec.per_task);
    if (!is_preemptible(job.spec, inputs.context))
      load.machines_with_non_preemptible.insert(placement.machine);
    load.used_by_team[job.spec.team].add(job.spec.per_task);
  }
  return displaced;
}

void count_job(const PlanningInputs& inputs, const JobRecord& job, const ExcludedMachines& excluded,
               ShardLoad& load) {
  const uint32_t displaced = count_placed(inputs, job, excluded, load);
  const auto& spec = job.spec;
  auto& jobs = inputs.context.is_best_effort(spec.team) ? load.best_effort : load.guaranteed;
  if (spec.kind == JobKind::array) jobs.arrays.running_tasks += job.running();
  if (spec.per_task.gpus > 0)
    load.cpu_per_gpu = std::max(load.cpu_per_gpu, spec.per_task.cpus / spec.per_task.gpus);
  if (job.status == JobStatus::open && job.placed.size() - displaced + job.done.size() < spec.tasks)
    jobs.waiting.push_back(&job);
}

}  // namespace

double missing_tasks(const JobRecord& job) {
  return job.spec.tasks - job.done.size() - static_cast<double>(job.placed.size());
}

ShardLoad count_shard_load(const PlanningInputs& inputs, int shard,
                           const ExcludedMachines& excluded) {
  ShardLoad load;
  for (const auto& id : inputs.state_cache.live_jobs()) {
    const auto& job = inputs.state_cache.job(id)->record;
    if (inputs.membership.shard_of_team(job.spec.team) == shard)
      count_job(inputs, job, excluded, load);
  }
  for (auto* jobs : {&load.guaranteed, &load.best_effort})
    std::sort(jobs->waiting.begin(), jobs->waiting.end(), [](const auto* a, const auto* b) {
      if (a->spec.rank != b->spec.rank) return a->spec.rank > b->spec.rank;
      return a->submitted < b->submitted;
    });
  load.unpreemptible_waiting =
      std::any_of(load.guaranteed.waiting.begin(), load.guaranteed.waiting.end(),
                  [&](const auto* job) { return !is_preemptible(job->spec, inputs.context); });
  return load;
}

}  // namespace rushtrestle::coordination
