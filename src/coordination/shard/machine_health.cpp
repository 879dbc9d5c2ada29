#include "coordination/shard/machine_health.h"

#include <algorithm>

namespace rushtrestle::coordination {

using store::MachinePhase;
using store::MachineRecord;

namespace {
// Worker leases after which a suspect machine counts as faulty. Within them a job that failed on it
// is tried on other machines.
constexpr double kSuspectTimeoutLeases = 2;
// Lower bound of two limits that grow with the fleet: silent machines in a zone, and machines
// marked for deletion at a time.
constexpr double kMinMachineLimit = 3;
}  // namespace

void MachineHealth::count_silent_machines() {
  silence_by_zone_.clear();
  for (const auto& [id, machine] : state_.machines()) {
    const auto* durable = state_cache_.machine(id);
    if (!durable || machine.address.empty()) continue;
    auto& zone = silence_by_zone_[durable->record.zone];
    ++zone.machines;
    if (!state_.sends_heartbeats(machine)) ++zone.silent;
  }
}

bool MachineHealth::correlated_silence(const ShardMachine& machine) const {
  const auto* durable = state_cache_.machine(machine.id);
  const auto zone = durable ? silence_by_zone_.find(durable->record.zone) : silence_by_zone_.end();
  return zone != silence_by_zone_.end() &&
         zone->second.silent >
             std::max(kMinMachineLimit, zone->second.machines * Tunables::kCorrelatedSilenceShare);
}

void MachineHealth::mark_for_deletion(ShardMachine& machine, const std::string& reason) {
  if (machine.marking_for_deletion || !can_commit_decisions(state_store_)) return;
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
  // The jobs that failed on the machine may have become known good or been cancelled meanwhile,
  // which can change the verdict.
  if (machine.verdict == MachineVerdict::suspect) failures_.update_verdict(machine);
  if (proven_faulty(machine) && machine.placed.empty()) {
    mark_for_deletion(machine, "faulty");
  } else if (machine.address.empty()) {
    check_boot_timeout(machine, durable->record);
  } else {
    check_reachability(machine);
  }
}

bool MachineHealth::proven_faulty(const ShardMachine& machine) const {
  if (machine.verdict == MachineVerdict::faulty) return true;
  return machine.verdict == MachineVerdict::suspect &&
         context_.now - machine.suspect_since > context_.settings.lease_s * kSuspectTimeoutLeases;
}

// Marks a machine whose worker has not reported its address within the boot time-out.
void MachineHealth::check_boot_timeout(ShardMachine& machine, const MachineRecord& durable) {
  const auto* type = state_cache_.type(durable.type);
  const double boot_timeout_s =
      (type ? type->boot_s : context_.settings.lease_s) * Tunables::kBootTimeoutFactor +
      context_.settings.lease_s;
  if (context_.wall - durable.since > boot_timeout_s &&
      context_.now - machine.responsible_since > context_.settings.lease_s)
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
  // Even machines that are surely lost are marked only a few at a time: a partition that peers
  // don't see (for example because one of them just restarted) would otherwise cost a zone all its
  // machines at once.
  if (!deletion_budget_left() || machine.marking_for_deletion) return;
  silence_marked_at_.push_back(context_.now);
  mark_for_deletion(machine, reachability.silent        ? "silent"
                             : reachability.unreachable ? "unreachable"
                                                        : "reaches_no_controller");
}

MachineHealth::Reachability MachineHealth::reachability_of(const ShardMachine& machine) const {
  const double limit_s = context_.tunables.silence_limit_s;
  const bool commands_fail = machine.commands_failing_since > 0;
  Reachability reachability;
  reachability.silent_s = context_.now - machine.last_seen;
  // Only the time in which the worker is heard while its commands fail counts. With the failures
  // during a silence counted as well, machines that were heard again at the end of a partition were
  // marked for deletion at that moment.
  if (commands_fail)
    reachability.unreachable_s =
        context_.now - std::max(machine.commands_failing_since, machine.heard_since);
  reachability.unreported_s = context_.now - machine.last_heartbeat;
  reachability.silent = reachability.silent_s > limit_s && commands_fail;
  reachability.unreachable = reachability.unreachable_s > limit_s;
  // The worker answers commands but reaches no controller, so its lease has ended, and every new
  // lease would end as well.
  reachability.reaches_no_controller =
      reachability.unreported_s > context_.settings.lease_s && !commands_fail;
  return reachability;
}

// Whether the machine is cut off from this controller but not from its peers. Its worker gets the
// answers to the heartbeats that peers forward: otherwise its lease would end, and its agent epoch
// would change. No new task can be started on it, so this holds for `forward_only_limit_s` at most.
// A gap of one lease between forwarded heartbeats is allowed, as a worker's attempt to reach this
// controller directly takes most of a lease.
bool MachineHealth::reached_through_peers(const ShardMachine& machine,
                                          const Reachability& reachability) const {
  return context_.now - machine.forwarded_at < context_.settings.lease_s &&
         machine.agent_epoch == machine.epoch_when_commands_failed &&
         reachability.unreachable_s < context_.tunables.forward_only_limit_s;
}

// A machine that a peer hears, or many machines of its zone silent at once, point to a fault of the
// network and not of the machine.
bool MachineHealth::suspected_partition(const ShardMachine& machine,
                                        const Reachability& reachability) const {
  const bool not_heard = reachability.silent || reachability.reaches_no_controller;
  return correlated_silence(machine) ||
         (not_heard && membership_.any_peer_hears_machine(machine.id));
}

bool MachineHealth::deletion_budget_left() {
  std::erase_if(silence_marked_at_, [&](double marked_at) {
    return context_.now - marked_at > context_.tunables.silence_limit_s;
  });
  const double limit = std::max(kMinMachineLimit, static_cast<double>(state_.machines().size()) *
                                                      Tunables::kMarkForDeletionShare);
  return static_cast<double>(silence_marked_at_.size()) < limit;
}

}  // namespace rushtrestle::coordination
