#include "coordination/shard/heartbeat_intake.h"

#include <algorithm>
#include <set>
#include <utility>

namespace rushtrestle::coordination {

using store::JobKind;

// What no worker should say changes nothing of what we hold: a task that is not placed here is
// stopped, whatever its state. Told once in a while, as it shows a faulty worker or a record that
// was lost.
void HeartbeatIntake::log_inconsistencies(const Heartbeat& heartbeat) {
  for (const auto& t : heartbeat.tasks) {
    const auto* durable = state_cache_.job(t.job);
    if (!durable) continue;
    const ShardJob* j = state_.find_job(t.job);
    const uint64_t given = std::max(durable->record.attempts, j ? j->desired.attempts : 0);
    if (t.attempt > given)
      context_.log_rate_limited(
          "attempt", heartbeat.machine + " reports attempt " + std::to_string(t.attempt) + " of " +
                         t.job + ", of " + std::to_string(given) + " that were given");
    if (t.gathering && durable->record.spec.kind != JobKind::gang)
      context_.log_rate_limited("gathering", heartbeat.machine + " reports that a task of " +
                                                 t.job + " gathers, which is no gang");
  }
}

bool HeartbeatIntake::apply(ShardMachine& m, const Heartbeat& heartbeat) {
  if (std::make_pair(heartbeat.agent_epoch, heartbeat.sequence) <=
      std::make_pair(m.agent_epoch, m.sequence))
    return false;
  log_inconsistencies(heartbeat);
  // A newer agent epoch: whatever ran is gone, and late commands of the old one are dropped.
  if (heartbeat.agent_epoch > m.agent_epoch) m.unacknowledged_start = 0;
  if (m.unacknowledged_start != 0 && heartbeat.fencing_token > m.unacknowledged_start)
    m.unacknowledged_start = 0;
  if (!m.known) state_.request_scheduling();
  m.known = true;
  m.agent_epoch = heartbeat.agent_epoch;
  m.sequence = heartbeat.sequence;
  m.highest_token_seen = std::max(m.highest_token_seen, heartbeat.fencing_token);
  m.reported = heartbeat.tasks;
  if (context_.now - m.last_seen > context_.tunables.probe_after_s) m.heard_since = context_.now;
  m.last_seen = context_.now;
  if (heartbeat.notice_s && !m.notice_s) {
    // What can save goes elsewhere in time; the rest runs on as long as it may.
    std::set<std::string> changed;
    for (const auto& [key, attempt] : m.placed) {
      ShardJob* j = state_.find_job(key.first);
      if (!j || j->desired.spec.checkpoint_s <= 0 || *heartbeat.notice_s < j->desired.spec.save_s)
        continue;
      for (auto& p : j->desired.placed)
        if (p.task == key.second) p.stopping = true;
      changed.insert(key.first);
    }
    for (const auto& id : changed) job_writer_.enqueue(id, WriteCause::stop);
  }
  m.notice_s = heartbeat.notice_s;
  const auto* record = state_cache_.machine(m.id);
  m.address = heartbeat.address;
  if (record && record->record.address != m.address && !m.address_queued)
    machine_writer_.record_address(m);
  return true;
}

}  // namespace rushtrestle::coordination
