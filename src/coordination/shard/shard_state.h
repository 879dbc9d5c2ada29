// The jobs and machines of the shards that this controller leads.
//
// Invariant: the tasks on each machine (`placed`, `used`, `non_preemptible`, `tasks_on`) and each
// team's usage are sums over the desired placements of all jobs. A change of placements updates all
// of them at once, and only `bind`, `unbind`, `add_job`, `replace_desired` and `drop_job` make such
// changes.
#pragma once
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "coordination/membership/membership.h"
#include "coordination/scheduling/placement.h"
#include "coordination/shard/dispatch_queue.h"
#include "coordination/shard/shard_job.h"
#include "coordination/shard/shard_machine.h"

namespace rushtrestle::coordination {

/// Whether this controller holds its state store lease and reaches the store, so that its decisions
/// can become durable.
inline bool can_commit_decisions(const StateStoreClient& state_store) {
  return state_store.lease_valid() && !state_store.disconnected();
}

/// Holds the jobs and machines, and keeps the sums over their placements consistent.
class ShardState {
 public:
  ShardState(Context& context, store::StateCache& state_cache, const Membership& membership,
             ImageCaches& images, DispatchQueue& dispatch_queue)
      : context_(context),
        state_cache_(state_cache),
        membership_(membership),
        images_(images),
        dispatch_queue_(dispatch_queue) {}

  std::set<int>& shards() { return shards_; }
  const std::set<int>& shards() const { return shards_; }
  std::unordered_map<std::string, ShardJob>& jobs() { return jobs_; }
  const std::unordered_map<std::string, ShardJob>& jobs() const { return jobs_; }
  std::map<std::string, ShardMachine>& machines() { return machines_; }
  const std::map<std::string, ShardMachine>& machines() const { return machines_; }
  /// Returns null for a job, or a machine, of a shard that this controller does not lead.
  ShardJob* find_job(const std::string& id);
  ShardMachine* find_machine(const std::string& id);

  /// Open jobs with tasks that are neither placed nor done.
  const std::set<std::string>& pending_jobs() const { return pending_jobs_; }
  /// Jobs that lost tasks to a deleted machine since the last scheduling pass; their writes are
  /// queued after the next one.
  std::set<std::string>& jobs_that_lost_tasks() { return jobs_that_lost_tasks_; }
  /// Resources used by the placed tasks of each team.
  std::map<std::string, store::Resources>& team_usage() { return team_usage_; }
  const std::map<std::string, store::Resources>& team_usage() const { return team_usage_; }
  /// Returns the tasks of the jobs held here on a machine, which may be of any shard.
  TasksOnMachine tasks_on(const std::string& machine) const;

  /// Returns the higher of the mod revisions of the machine's shard key and of its own record: the
  /// first fencing token that is above those of all earlier shard leaders.
  uint64_t leadership_token(const ShardMachine& machine) const;
  /// Returns the fencing token for commands to the machine: `leadership_token`, or the one to which
  /// the StartFence has raised it.
  uint64_t fencing_token(const ShardMachine& machine) const;
  /// Whether the worker sent a heartbeat of its own accord within `probe_after_s`.
  bool sends_heartbeats(const ShardMachine& machine) const {
    return context_.now - machine.last_heartbeat <= context_.tunables.probe_after_s;
  }
  /// Whether the operator settings let the job be stopped for other work.
  bool preemptible(const store::JobRecord& record) const;

  /// Adds a job with the record as desired, and counts its placements.
  ShardJob& add_job(const std::string& id, const store::JobRecord& record);
  void drop_job(const std::string& id);
  /// Replaces the whole desired record, which then counts as durable.
  void replace_desired(ShardJob& job, const store::JobRecord& record);
  /// Adds a machine, with the tasks that the jobs held here already have on it.
  ShardMachine& add_machine(const std::string& id, int shard);

  /// Places a task on a machine. The tasks of a gang's attempt share one attempt number.
  void bind(ShardJob& job, uint32_t task, const std::string& machine);
  /// Removes a task's placement. Does nothing if the task is not placed.
  void unbind(ShardJob& job, uint32_t task);
  /// Removes the placement of a task whose machine was deleted. A gang that no longer gathers ends
  /// its attempt, as it can't go on without a member.
  void unbind_lost_task(ShardJob& job, uint32_t task);
  /// Updates `pending_jobs`; called after a change of the job's status, placed or done tasks.
  void update_pending(const ShardJob& job);

  /// Requests a scheduling pass, after a change that may let waiting jobs be placed.
  void request_scheduling() { scheduling_requested_ = true; }
  bool scheduling_requested() const { return scheduling_requested_; }
  void clear_scheduling_request() { scheduling_requested_ = false; }

 private:
  void count_placement(const store::JobRecord& record, const store::Placement& placement);
  void uncount_placement(const store::JobRecord& record, const store::Placement& placement);
  void record_image_use(const store::JobRecord& record, const std::string& machine);

  Context& context_;
  store::StateCache& state_cache_;
  const Membership& membership_;
  ImageCaches& images_;
  DispatchQueue& dispatch_queue_;
  std::set<int> shards_;
  std::unordered_map<std::string, ShardJob> jobs_;
  std::map<std::string, ShardMachine> machines_;
  // Tasks by machine, including machines of other shards and of none. A search through all jobs for
  // each machine that was added or deleted took seconds when dozens were deleted at once.
  std::unordered_map<std::string, TasksOnMachine> tasks_by_machine_;
  std::map<std::string, store::Resources> team_usage_;
  std::set<std::string> pending_jobs_;
  std::set<std::string> jobs_that_lost_tasks_;
  bool scheduling_requested_ = false;
};

}  // namespace rushtrestle::coordination
