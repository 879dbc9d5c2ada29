#include "coordination/shard/heartbeat_intake.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rushtrestle::coordination {

using store::JobKind;

// Logs reports that no correct worker sends, at a limited rate. They show a faulty worker or a lost
// record, and change no placement: a task that is not placed on the machine is stopped, whatever
// its state.
void HeartbeatIntake::log_inconsistencies(const Heartbeat& heartbeat) {
  for (const auto& task : heartbeat.tasks) {
    const auto* durable = state_cache_.job(task.job);
    if (!durable) continue;
    const ShardJob* job = state_.find_job(task.job);
    const uint64_t last_attempt =
        std::max(durable->record.attempts, job ? job->desired.attempts : 0);
    if (task.attempt > last_attempt)
      context_.log_rate_limited("attempt", "unknown_attempt_reported machine=" + heartbeat.machine +
                                               " job=" + task.job +
                                               " attempt=" + std::to_string(task.attempt) +
                                               " last_attempt=" + std::to_string(last_attempt));
    if (task.gathering && durable->record.spec.kind != JobKind::gang)
      context_.log_rate_limited("gathering", "gathering_reported_of_non_gang machine=" +
                                                 heartbeat.machine + " job=" + task.job);
  }
}

bool HeartbeatIntake::apply(ShardMachine& machine, const Heartbeat& heartbeat) {
  if (std::make_pair(heartbeat.agent_epoch, heartbeat.sequence) <=
      std::make_pair(machine.agent_epoch, machine.sequence))
    return false;
  log_inconsistencies(heartbeat);
  start_fence_.on_heartbeat(machine, heartbeat);
  if (!machine.heartbeat_received) state_.request_scheduling();
  machine.heartbeat_received = true;
  machine.agent_epoch = heartbeat.agent_epoch;
  machine.sequence = heartbeat.sequence;
  machine.highest_token_seen = std::max(machine.highest_token_seen, heartbeat.fencing_token);
  machine.reported = heartbeat.tasks;
  if (context_.now - machine.last_seen > context_.tunables.probe_after_s)
    machine.heard_since = context_.now;
  machine.last_seen = context_.now;
  if (heartbeat.notice_s && !machine.notice_s)
    stop_tasks_that_can_save(machine, *heartbeat.notice_s);
  machine.notice_s = heartbeat.notice_s;
  machine.address = heartbeat.address;
  const auto* durable = state_cache_.machine(machine.id);
  if (durable && durable->record.address != machine.address && !machine.address_queued)
    machine_writer_.record_address(machine);
  return true;
}

// The cloud takes the machine back in `notice_s` seconds. Tasks that can save a checkpoint in that
// time are stopped and placed elsewhere; the others run until the machine is taken back.
void HeartbeatIntake::stop_tasks_that_can_save(ShardMachine& machine, double notice_s) {
  job_writer_.stop_tasks(machine, [&](const store::JobRecord& job, const store::Placement&) {
    return job.spec.checkpoint_s > 0 && notice_s >= job.spec.save_s;
  });
}

}  // namespace rushtrestle::coordination
