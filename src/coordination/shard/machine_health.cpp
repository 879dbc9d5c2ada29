#include "coordination/shard/machine_health.h"

#include <algorithm>

namespace rushtrestle::coordination {

using store::MachinePhase;
using store::MachineRecord;

namespace {
// A job that failed on a suspect machine is tried elsewhere in that time, in worker leases.
constexpr double kSuspectLeases = 2;
// Machines that may be silent in a zone, or marked for deletion at a time, in the smallest fleet.
constexpr double kFewestForShare = 3;
}  // namespace

void MachineHealth::count_silent() {
  silence_.clear();
  for (const auto& [id, machine] : state_.machines()) {
    const auto* durable = state_cache_.machine(id);
    if (!durable || machine.address.empty()) continue;
    auto& zone = silence_[durable->record.zone];
    ++zone.machines;
    if (!state_.sends_heartbeats(machine)) ++zone.silent;
  }
}

bool MachineHealth::correlated_silence(const ShardMachine& machine) const {
  const auto* durable = state_cache_.machine(machine.id);
  const auto zone = durable ? silence_.find(durable->record.zone) : silence_.end();
  return zone != silence_.end() &&
         zone->second.silent >
             std::max(kFewestForShare, zone->second.machines * Tunables::kCorrelatedSilenceShare);
}

void MachineHealth::mark_for_deletion(ShardMachine& machine, const std::string& reason) {
  if (machine.marking_for_deletion || !may_act(state_store_)) return;
  machine.marking_for_deletion = true;
  context_.counters["machines_condemned"]++;
  context_.info("machine_marked_for_deletion machine=" + machine.id + " reason=" + reason);
  machine_writer_.enqueue(machine.id, WriteCause::machine_marked_for_deletion,
                          [](MachineRecord& record) {
                            record.phase = MachinePhase::marked_for_deletion;
                            return true;
                          });
}

void MachineHealth::check(ShardMachine& machine) {
  const auto* durable = state_cache_.machine(machine.id);
  if (!durable || durable->record.terminating()) return;
  // Jobs that failed on it may have become known good, or been cancelled, meanwhile.
  if (machine.verdict == MachineVerdict::suspect) failures_.judge(machine);
  if (proven_faulty(machine) && machine.placed.empty()) {
    mark_for_deletion(machine, "faulty");
  } else if (machine.address.empty()) {
    check_boot(machine, durable->record);
  } else {
    check_reachability(machine);
  }
}

bool MachineHealth::proven_faulty(const ShardMachine& machine) const {
  if (machine.verdict == MachineVerdict::faulty) return true;
  return machine.verdict == MachineVerdict::suspect &&
         context_.now - machine.suspect_since > context_.settings.lease_s * kSuspectLeases;
}

// A machine whose worker has never reported its address.
void MachineHealth::check_boot(ShardMachine& machine, const MachineRecord& durable) {
  const auto* type = state_cache_.type(durable.type);
  const double patience_s =
      (type ? type->boot_s : context_.settings.lease_s) * Tunables::kBootPatience +
      context_.settings.lease_s;
  if (context_.wall - durable.since > patience_s &&
      context_.now - machine.since > context_.settings.lease_s)
    mark_for_deletion(machine, "never_came_up");
}

void MachineHealth::check_reachability(ShardMachine& machine) {
  const Reachability reachability = reachability_of(machine);
  if (reachability.silent_s > context_.tunables.probe_after_s) {
    machine.dispatch_wanted = true;
    dispatch_queue_.add(machine.id);
  }
  if (!reachability.lost() || reached_through_peers(machine, reachability)) return;
  if (suspected_partition(machine, reachability) &&
      reachability.longest_s() < context_.tunables.correlated_silence_limit_s)
    return;
  // However sure it looks, only a few go at a time: a partition that peers don't see (one of them
  // just restarted, say) would otherwise cost all the machines of a zone at the same moment.
  if (!deletion_budget_left() || machine.marking_for_deletion) return;
  marked_for_deletion_at_.push_back(context_.now);
  mark_for_deletion(machine, reachability.silent        ? "silent"
                             : reachability.unreachable ? "unreachable"
                                                        : "reaches_no_controller");
}

MachineHealth::Reachability MachineHealth::reachability_of(const ShardMachine& machine) const {
  const double limit_s = context_.tunables.silence_limit_s;
  const bool commands_fail = machine.commands_failing_since > 0;
  Reachability reachability;
  reachability.silent_s = context_.now - machine.last_seen;
  // Unreachable is who sends heartbeats and gets no commands: silent machines, whose heartbeats
  // came again with the end of a partition, were marked for deletion at that very moment for the
  // commands that had failed in it.
  if (commands_fail)
    reachability.unreachable_s =
        context_.now - std::max(machine.commands_failing_since, machine.heard_since);
  reachability.unreported_s = context_.now - machine.last_heartbeat;
  reachability.silent = reachability.silent_s > limit_s && commands_fail;
  reachability.unreachable = reachability.unreachable_s > limit_s;
  // Answers our commands, but reaches no controller: its lease has ended, and would again and
  // again.
  reachability.reaches_no_controller =
      reachability.unreported_s > context_.settings.lease_s && !commands_fail;
  return reachability;
}

// Cut off from this controller, not from others. It gets the answers to the heartbeats that they
// forward, or its lease would end and its agent epoch with it; but nothing new can be started
// there, so not for ever. A worker's attempt to reach us directly takes most of a lease.
bool MachineHealth::reached_through_peers(const ShardMachine& machine,
                                          const Reachability& reachability) const {
  return context_.now - machine.forwarded_at < context_.settings.lease_s &&
         machine.agent_epoch == machine.epoch_when_unreachable &&
         reachability.unreachable_s < context_.tunables.forward_limit_s;
}

// Peers that hear it, or many machines silent at once, point to the network, not to the machine.
bool MachineHealth::suspected_partition(const ShardMachine& machine,
                                        const Reachability& reachability) const {
  const bool not_heard = reachability.silent || reachability.reaches_no_controller;
  return correlated_silence(machine) || (not_heard && membership_.peer_hears(machine.id));
}

bool MachineHealth::deletion_budget_left() {
  std::erase_if(marked_for_deletion_at_, [&](double marked_at) {
    return context_.now - marked_at > context_.tunables.silence_limit_s;
  });
  const double most = std::max(kFewestForShare, static_cast<double>(state_.machines().size()) *
                                                    Tunables::kMarkForDeletionShare);
  return static_cast<double>(marked_for_deletion_at_.size()) < most;
}

}  // namespace rushtrestle::coordination
