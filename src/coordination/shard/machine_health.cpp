#include "coordination/shard/machine_health.h"

#include <algorithm>

namespace rushtrestle::coordination {

using store::MachinePhase;
using store::MachineRecord;

namespace {
// A job that failed on a suspect machine is tried elsewhere in that time, in worker leases.
constexpr double kDoubtLeases = 2;
}  // namespace

void MachineHealth::count_silent() {
  silence_.clear();
  for (const auto& [id, m] : state_.machines()) {
    const auto* r = state_cache_.machine(id);
    if (!r || m.address.empty()) continue;
    auto& zone = silence_[r->record.zone];
    ++zone.machines;
    if (!state_.sends_heartbeats(m)) ++zone.silent;
  }
}

bool MachineHealth::correlated_silence(const ShardMachine& m) const {
  const auto* record = state_cache_.machine(m.id);
  const auto zone = record ? silence_.find(record->record.zone) : silence_.end();
  return zone != silence_.end() &&
         zone->second.silent >
             std::max(3.0, zone->second.machines * Tunables::kCorrelatedSilenceShare);
}

void MachineHealth::mark_for_deletion(ShardMachine& m, const std::string& why) {
  if (m.marking_for_deletion || !may_act(state_store_)) return;
  m.marking_for_deletion = true;
  context_.counters["machines_condemned"]++;
  context_.info("machine " + m.id + " condemned: " + why);
  machine_writer_.enqueue(m.id, WriteCause::machine_marked_for_deletion, [](MachineRecord& r) {
    r.phase = MachinePhase::marked_for_deletion;
    return true;
  });
}

void MachineHealth::check(ShardMachine& m) {
  const auto* record = state_cache_.machine(m.id);
  if (!record || record->record.terminating()) return;
  if (m.verdict == MachineVerdict::suspect)
    failures_.judge(m);  // jobs may have been vouched for, or called off, meanwhile
  const bool out_of_doubt =
      m.verdict == MachineVerdict::faulty ||
      (m.verdict == MachineVerdict::suspect &&
       context_.now - m.suspect_since > context_.settings.lease_s * kDoubtLeases);
  if (out_of_doubt && m.placed.empty()) return mark_for_deletion(m, "faulty");
  if (m.address.empty()) {
    const auto* type = state_cache_.type(record->record.type);
    const double patience =
        (type ? type->boot_s : context_.settings.lease_s) * Tunables::kBootPatience +
        context_.settings.lease_s;
    if (context_.wall - record->record.since > patience &&
        context_.now - m.since > context_.settings.lease_s)
      mark_for_deletion(m, "never came up");
    return;
  }
  const double silent = context_.now - m.last_seen;
  if (silent > context_.tunables.probe_after_s) {
    m.dispatch_wanted = true;
    dispatch_queue_.add(m.id);
  }
  // Deaf is who speaks and does not hear: silent machines, whose heartbeats came with the end of a
  // cut, were marked for deletion at that very moment for the commands that had failed in it.
  const bool failing = m.commands_failing_since > 0;
  const double deaf =
      failing ? context_.now - std::max(m.commands_failing_since, m.heard_since) : 0;
  const bool lost_both = silent > context_.tunables.silence_limit_s && failing;
  const bool deaf_only = deaf > context_.tunables.silence_limit_s;
  // Answers our commands, but reaches no controller: its lease has ended, and would again and
  // again.
  const double unreported = context_.now - m.last_heartbeat;
  const bool mute = unreported > context_.settings.lease_s && !failing;
  if (!lost_both && !deaf_only && !mute) return;
  // Cut off from us, not from others. It hears the answers to what they pass on, or its lease would
  // end and its agent epoch with it; but nothing new can be started there, so not for ever. A try
  // to reach us straight takes most of a lease.
  if (context_.now - m.forwarded_at < context_.settings.lease_s &&
      m.agent_epoch == m.epoch_when_unreachable && deaf < context_.tunables.forward_limit_s)
    return;
  // Peers that hear it, or many silent at once, point to the network, not to the machine.
  const bool doubtful =
      correlated_silence(m) || ((lost_both || mute) && membership_.peer_hears(m.id));
  if (doubtful &&
      std::max({silent, deaf, unreported}) < context_.tunables.correlated_silence_limit_s)
    return;
  // However sure it looks, only a few go at a time: a cut that peers don't see (one of them just
  // restarted, say) would else cost a whole zone's machines at the same moment.
  std::erase_if(marked_for_deletion_at_,
                [&](double t) { return context_.now - t > context_.tunables.silence_limit_s; });
  const double most = std::max(
      3.0, static_cast<double>(state_.machines().size()) * Tunables::kMarkForDeletionShare);
  if (m.marking_for_deletion || static_cast<double>(marked_for_deletion_at_.size()) >= most) return;
  marked_for_deletion_at_.push_back(context_.now);
  mark_for_deletion(m, lost_both   ? "silent"
                       : deaf_only ? "does not hear"
                                   : "reaches no controller");
}

}  // namespace rushtrestle::coordination
