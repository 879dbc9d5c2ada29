#include "coordination/shard/shard_state.h"

#include <algorithm>

#include "coordination/scheduling/gang_lifecycle.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;
using store::Placement;

ShardJob* ShardState::find_job(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

ShardMachine* ShardState::find_machine(const std::string& id) {
  const auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

TasksOnMachine ShardState::tasks_on(const std::string& machine) const {
  const auto it = tasks_by_machine_.find(machine);
  return it == tasks_by_machine_.end() ? TasksOnMachine{} : it->second;
}

uint64_t ShardState::leadership_token(const ShardMachine& machine) const {
  return std::max(membership_.shard_fencing_token(machine.shard),
                  state_cache_.mod_revision_of(store::machine_key(machine.id)));
}

uint64_t ShardState::fencing_token(const ShardMachine& machine) const {
  return std::max(leadership_token(machine), machine.raised_token);
}

bool ShardState::preemptible(const JobRecord& record) const {
  const auto& ranks = context_.operators.preemptible;
  return std::find(ranks.begin(), ranks.end(), record.spec.rank) != ranks.end();
}

ShardJob& ShardState::add_job(const std::string& id, const JobRecord& record) {
  ShardJob& job = jobs_[id];
  job.desired = record;
  job.shard = membership_.shard_of_team(record.spec.team);
  if (state_cache_.cancelled(id)) job.desired.status = JobStatus::cancelled;
  if (record.attempts == 0) job.first_run.adopted_at = context_.now;
  for (const auto& placement : job.desired.placed) count_placement(job.desired, placement);
  update_pending(job);
  return job;
}

void ShardState::drop_job(const std::string& id) {
  ShardJob* job = find_job(id);
  if (!job) return;
  for (const auto& placement : job->desired.placed) uncount_placement(job->desired, placement);
  pending_jobs_.erase(id);
  jobs_.erase(id);
}

void ShardState::replace_desired(ShardJob& job, const JobRecord& record) {
  for (const auto& placement : job.desired.placed) uncount_placement(job.desired, placement);
  job.desired = record;
  if (state_cache_.cancelled(record.spec.id)) job.desired.status = JobStatus::cancelled;
  job.durable_version = job.desired_version;
  for (const auto& placement : job.desired.placed) count_placement(job.desired, placement);
  update_pending(job);
}

ShardMachine& ShardState::add_machine(const std::string& id, int shard) {
  ShardMachine& machine = machines_[id];
  machine.id = id;
  machine.shard = shard;
  machine.responsible_since = context_.now;
  machine.last_seen = context_.now;
  machine.last_heartbeat = context_.now;
  if (const auto it = tasks_by_machine_.find(id); it != tasks_by_machine_.end()) {
    machine.placed = it->second;
    for (const auto& [task, attempt] : machine.placed) {
      const JobRecord& record = jobs_.at(task.first).desired;
      machine.used.add(record.spec.per_task, 1);
      if (!preemptible(record)) ++machine.non_preemptible;
    }
  }
  machine.dispatch_wanted = true;
  return machine;
}

void ShardState::bind(ShardJob& job, uint32_t task, const std::string& machine) {
  // All tasks of a gang belong to one attempt, which begins with the first task placed.
  if (job.desired.spec.kind != JobKind::gang || job.desired.placed.empty()) ++job.desired.attempts;
  job.desired.placed.push_back(Placement{task, machine, job.desired.attempts, false, false});
  if (!images_.has(machine, job.desired.spec.image)) ++job.first_run.image_fetches;
  if (job.first_run.first_placed_at == 0) job.first_run.first_placed_at = context_.now;
  job.first_run.last_placed_at = context_.now;
  count_placement(job.desired, job.desired.placed.back());
}

void ShardState::unbind(ShardJob& job, uint32_t task) {
  auto& placed = job.desired.placed;
  const auto it = std::find_if(placed.begin(), placed.end(),
                               [&](const Placement& placement) { return placement.task == task; });
  if (it == placed.end()) return;
  uncount_placement(job.desired, *it);
  job.vacated_machines.insert(it->machine);
  placed.erase(it);
  update_pending(job);
  request_scheduling();
}

// A gang that still gathers gets a replacement for the lost member.
void ShardState::unbind_lost_task(ShardJob& job, uint32_t task) {
  const bool gathering = gang_phase(job.desired) == GangPhase::gathering;
  unbind(job, task);
  if (!gathering) end_attempt(job.desired);
}

void ShardState::update_pending(const ShardJob& job) {
  const JobRecord& record = job.desired;
  const bool incomplete = record.done.size() + record.placed.size() < record.spec.tasks;
  if (record.status == JobStatus::open && incomplete) {
    pending_jobs_.insert(record.spec.id);
  } else {
    pending_jobs_.erase(record.spec.id);
  }
}

void ShardState::record_image_use(const JobRecord& record, const std::string& machine) {
  if (record.spec.image_gb < 0) return;
  const auto* durable = state_cache_.machine(machine);
  const auto* type = durable ? state_cache_.type(durable->record.type) : nullptr;
  images_.record_use(machine, record.spec.image, record.spec.image_gb, type ? type->cache_gb : 0);
}

void ShardState::count_placement(const JobRecord& record, const Placement& placement) {
  record_image_use(record, placement.machine);
  team_usage_[record.spec.team].add(record.spec.per_task);
  const TaskKey task{record.spec.id, placement.task};
  tasks_by_machine_[placement.machine][task] = placement.attempt;
  if (ShardMachine* machine = find_machine(placement.machine)) {
    machine->used.add(record.spec.per_task);
    if (!preemptible(record)) ++machine->non_preemptible;
    machine->placed[task] = placement.attempt;
    dispatch_queue_.add(machine->id);
  }
}

void ShardState::uncount_placement(const JobRecord& record, const Placement& placement) {
  team_usage_[record.spec.team].add(record.spec.per_task, -1);
  const TaskKey task{record.spec.id, placement.task};
  if (const auto on = tasks_by_machine_.find(placement.machine); on != tasks_by_machine_.end()) {
    on->second.erase(task);
    if (on->second.empty()) tasks_by_machine_.erase(on);
  }
  if (ShardMachine* machine = find_machine(placement.machine)) {
    machine->used.add(record.spec.per_task, -1);
    if (!preemptible(record)) --machine->non_preemptible;
    machine->placed.erase(task);
    dispatch_queue_.add(machine->id);
  }
}

}  // namespace rushtrestle::coordination
