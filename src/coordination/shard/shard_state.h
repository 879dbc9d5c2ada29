// The jobs and machines of the shards that this controller leads.
//
// Invariant: what a machine holds (`placed`, `used`, `non_preemptible`), what each team uses and
// which tasks stand on which machine are the sums over the desired placements of all jobs. They
// change together, in `bind`, `unbind`, `add_job`, `replace_desired` and `drop_job` alone.
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

/// This controller holds its lease and reaches the state store: decisions can become durable.
inline bool may_act(const StateStoreClient& state_store) {
  return state_store.lease_valid() && !state_store.disconnected();
}

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
  /// Null: not of a shard that this controller leads.
  ShardJob* find_job(const std::string& id);
  ShardMachine* find_machine(const std::string& id);

  /// Jobs with tasks to be placed.
  const std::set<std::string>& pending_jobs() const { return pending_jobs_; }
  /// Jobs that lost tasks with a machine, not written since.
  std::set<std::string>& jobs_that_lost_tasks() { return jobs_that_lost_tasks_; }
  /// What the tasks of each team use.
  std::map<std::string, store::Resources>& team_usage() { return team_usage_; }
  const std::map<std::string, store::Resources>& team_usage() const { return team_usage_; }
  /// Tasks that our jobs have on a machine, whosever it is.
  TasksOnMachine tasks_on(const std::string& machine) const;

  /// The token under which commands to the machine are sent: the higher of its shard's and its
  /// own record's mod revision.
  uint64_t fencing_token(const ShardMachine& machine) const;
  /// The worker has sent a heartbeat by itself lately.
  bool sends_heartbeats(const ShardMachine& machine) const {
    return context_.now - machine.last_heartbeat <= context_.tunables.probe_after_s;
  }
  /// May be stopped for other work, by the operators' settings.
  bool preemptible(const store::JobRecord& record) const;

  /// Takes up a job with the record as desired; its placements count from now on.
  ShardJob& add_job(const std::string& id, const store::JobRecord& record);
  void drop_job(const std::string& id);
  /// Replaces the desired record whole.
  void replace_desired(ShardJob& job, const store::JobRecord& record);
  /// Takes up a machine, with what our jobs have on it.
  ShardMachine& add_machine(const std::string& id, int shard);

  /// Places a task; the tasks of a gang's attempt share one attempt number.
  void bind(ShardJob& job, uint32_t task, const std::string& machine);
  /// Takes a task off its machine; nothing if it is not placed.
  void unbind(ShardJob& job, uint32_t task);
  /// The task's machine is gone.
  void unbind_lost_member(ShardJob& job, uint32_t task);
  /// To be called after a change of what is placed or done.
  void update_pending(const ShardJob& job);

  /// Something changed that may let waiting work be placed.
  void request_scheduling() { scheduling_requested_ = true; }
  bool scheduling_requested() const { return scheduling_requested_; }
  void scheduling_began() { scheduling_requested_ = false; }

 private:
  void count_placement(const store::JobRecord& record, const store::Placement& placement);
  void uncount_placement(const store::JobRecord& record, const store::Placement& placement);
  void note_image(const store::JobRecord& record, const std::string& machine);

  Context& context_;
  store::StateCache& state_cache_;
  const Membership& membership_;
  ImageCaches& images_;
  DispatchQueue& dispatch_queue_;
  std::set<int> shards_;
  std::unordered_map<std::string, ShardJob> jobs_;
  std::map<std::string, ShardMachine> machines_;
  // On machines of other shards and of nobody, too: looking through all jobs for each machine that
  // came or went took seconds when dozens went at once.
  std::unordered_map<std::string, TasksOnMachine> tasks_by_machine_;
  std::map<std::string, store::Resources> team_usage_;
  std::set<std::string> pending_jobs_;
  std::set<std::string> jobs_that_lost_tasks_;
  bool scheduling_requested_ = false;
};

}  // namespace rushtrestle::coordination
