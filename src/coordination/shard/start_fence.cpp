#include "coordination/shard/start_fence.h"

#include <algorithm>

namespace rushtrestle::coordination {

using store::MachineRecord;

namespace {

// A worker that has an attempt, in whatever state, carries out no further start of it.
bool reports_attempt(const Heartbeat& heartbeat, const TaskKey& task, uint64_t attempt) {
  return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                     [&](const ReportedTask& reported) {
                       return reported.job == task.first && reported.task == task.second &&
                              reported.attempt == attempt;
                     });
}

}  // namespace

void StartFence::on_start_sent(ShardMachine& machine) const {
  machine.start_in_flight = true;
  machine.last_start_token = state_.fencing_token(machine);
}

void StartFence::on_start_answered(ShardMachine& machine) { machine.start_in_flight = false; }

void StartFence::on_start_unanswered(ShardMachine& machine, uint64_t fencing_token) {
  machine.start_in_flight = false;
  machine.unacknowledged_start = std::max(machine.unacknowledged_start, fencing_token);
  context_.counters["starts_unanswered"]++;
  context_.info("start_unanswered machine=" + machine.id +
                " fencing_token=" + std::to_string(fencing_token));
}

// An unanswered start can no longer arrive in a newer agent epoch, as the worker drops late
// commands of the old epoch and the tasks that ran in it are gone. Nor can it arrive once the
// worker has seen a higher fencing token than that of the start. The answer to any heartbeat, a
// forwarded one included, brings such a token to the worker. The token is raised at a heartbeat, as
// a machine that is gone needs none. While that waited for an answer to a later command instead, a
// start that the network held back ran a cancelled task: the worker's heartbeats came through other
// controllers, and no command reached it.
void StartFence::on_heartbeat(ShardMachine& machine, const Heartbeat& heartbeat) {
  if (heartbeat.agent_epoch > machine.agent_epoch ||
      heartbeat.fencing_token > machine.unacknowledged_start)
    machine.unacknowledged_start = 0;
  if (machine.unacknowledged_start == 0) return;
  if (!raise_token_above(machine, machine.unacknowledged_start))
    raise_token_by_write(machine, machine.unacknowledged_start);
}

// Returns whether the machine's fencing token is above `token` now. The state cache has all changes
// up to its revision, and in them this controller leads the machine's shard: a later leader's token
// is above that revision.
bool StartFence::raise_token_above(ShardMachine& machine, uint64_t token) {
  if (state_.fencing_token(machine) > token) return true;
  const bool leading = membership_.shard_fencing_token(machine.shard) != 0;
  if (!leading || state_cache_.revision() <= token) return false;
  machine.raised_token = state_cache_.revision();
  context_.counters["fencing_tokens_raised"]++;
  return true;
}

void StartFence::raise_token_by_write(const ShardMachine& machine, uint64_t above) {
  if (machine.record_write_queued) return;
  context_.counters["start_fences"]++;
  machine_writer_.enqueue(machine.id, WriteCause::other,
                          [this, id = machine.id, above](MachineRecord&) {
                            return !raise_token_above(*state_.find_machine(id), above);
                          });
}

// An end is written after its start was sent, so the state cache is above that start's token once
// it has reached the end. An ended task that no record names waits for the state store's next
// change.
bool StartFence::may_forget(ShardMachine& machine) {
  return raise_token_above(machine, machine.last_start_token);
}

// A worker that has not seen a token of this shard leader still accepts commands of a former one.
bool StartFence::start_may_arrive(const ShardMachine& machine) const {
  return machine.start_in_flight || machine.unacknowledged_start != 0 ||
         machine.highest_token_seen < state_.leadership_token(machine);
}

// Only starts of this controller count. The token of this controller's answer fences those of
// former shard leaders, and is above them.
bool StartFence::may_renew(const ShardMachine& machine, const Heartbeat& heartbeat) const {
  if (!machine.start_in_flight && machine.unacknowledged_start == 0) return true;
  return std::none_of(machine.placed.begin(), machine.placed.end(), [&](const auto& placed) {
    const auto& [task, attempt] = placed;
    return too_late_to_start(task.first) && !reports_attempt(heartbeat, task, attempt);
  });
}

bool StartFence::may_renew_under_worker_token(const Heartbeat& heartbeat) const {
  const auto may_start_here = [&](const std::string& job) {
    const auto& placed = state_cache_.job(job)->record.placed;
    return std::any_of(placed.begin(), placed.end(), [&](const store::Placement& placement) {
      return placement.machine == heartbeat.machine &&
             !reports_attempt(heartbeat, {job, placement.task}, placement.attempt);
    });
  };
  const auto& cancelled = state_cache_.cancelled_live_jobs();
  return std::none_of(cancelled.begin(), cancelled.end(), [&](const std::string& job) {
    return too_late_to_start(job) && may_start_here(job);
  });
}

bool StartFence::too_late_to_start(const std::string& job) const {
  return state_cache_.cancelled(job) && !membership_.cancelled_within_limit(job);
}

}  // namespace rushtrestle::coordination
