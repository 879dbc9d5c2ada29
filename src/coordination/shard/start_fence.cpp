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

void StartFence::on_start_sent(ShardMachine& machine) { machine.start_in_flight = true; }

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
// worker has seen a higher fencing token than that of the start. Any write of the machine's record
// yields such a token, and the answer to any heartbeat, a forwarded one included, brings it to the
// worker. The write waits for a heartbeat, as a machine that is gone needs none. While it waited
// for an answer to a later command instead, a start that the network held back ran a cancelled
// task: the worker's heartbeats came through other controllers, and no command reached it.
void StartFence::on_heartbeat(ShardMachine& machine, const Heartbeat& heartbeat) {
  if (heartbeat.agent_epoch > machine.agent_epoch ||
      heartbeat.fencing_token > machine.unacknowledged_start)
    machine.unacknowledged_start = 0;
  if (machine.unacknowledged_start == 0 || machine.record_write_queued) return;
  const bool higher_token_exists = state_.fencing_token(machine) > machine.unacknowledged_start;
  if (higher_token_exists) return;
  context_.counters["start_fences"]++;
  machine_writer_.enqueue(machine.id, WriteCause::other, [](MachineRecord&) { return true; });
}

// A worker that has not seen the current fencing token still accepts commands of a former shard
// leader.
bool StartFence::start_may_arrive(const ShardMachine& machine) const {
  return machine.start_in_flight || machine.unacknowledged_start != 0 ||
         machine.highest_token_seen < state_.fencing_token(machine);
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
