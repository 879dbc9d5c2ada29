#include "coordination/fleet/machine_reassignment.h"

#include <algorithm>
#include <set>
#include <utility>

#include "coordination/fleet/unused_machines.h"

namespace rushtrestle::coordination {

using store::MachinePhase;
using store::MachineRecord;

namespace {

// What the cloud charges at least for a machine, by the protocol.
constexpr double kLeastChargeSeconds = 60;
constexpr int kReleased = -1;  // as the next shard of a record

}  // namespace

void MachineReassignment::request_reassignment(const std::string& machine, int next_shard,
                                               WorkOnMachine work) {
  records_.update(machine, WriteCause::machine_reassignment_request,
                  [next_shard, work](MachineRecord& record) {
                    if (!record.usable()) return false;
                    record.phase = MachinePhase::reassignment_requested;
                    record.next_shard = next_shard;
                    record.drain = work == WorkOnMachine::is_drained;
                    return true;
                  });
}

void MachineReassignment::request_release(const std::string& machine, WorkOnMachine work) {
  request_reassignment(machine, kReleased, work);
}

// The design's sharing: free machines go from shards that don't need them to shards that wait. In
// proportion to waiting demand: whoever waits for most is served first, one machine each in turn.
void MachineReassignment::reassign_unused(CapacityPlan& plan) {
  UnusedMachines unused(std::move(plan.unused), state_cache_);
  std::sort(plan.shortages.begin(), plan.shortages.end(),
            [](const MachineShortage& a, const MachineShortage& b) { return a.urgent > b.urgent; });
  bool moved = true;
  while (moved) {
    moved = false;
    for (auto& shortage : plan.shortages) {
      if (shortage.machines() == 0) continue;
      const auto machine = unused.take(shortage.kind, shortage.shard);
      if (!machine) continue;
      context_.info("machine_reassignment_requested machine=" + *machine +
                    " next_shard=" + std::to_string(shortage.shard) + " reason=unused");
      request_reassignment(*machine, shortage.shard, WorkOnMachine::keeps_machine);
      shortage.reduce();
      moved = true;
    }
  }
  plan.unused = unused.remaining();
}

bool MachineReassignment::idle_long_enough(const MachineRecord& machine, double idle_since) const {
  const auto* type = state_cache_.type(machine.type);
  const double hold_s = type ? type->boot_s / 2 : kLeastChargeSeconds;
  return context_.now - idle_since > hold_s && context_.wall - machine.since > kLeastChargeSeconds;
}

// What nobody has needed for a while is given back.
void MachineReassignment::scale_in_idle(const CapacityPlan& plan, double led_since) {
  std::map<std::string, double> idle_since;
  std::set<MachineKind> lacking;
  for (const auto& shortage : plan.shortages) lacking.insert(shortage.kind);
  for (const auto& id : plan.unused) {
    const auto before = idle_since_.find(id);
    idle_since[id] = before == idle_since_.end() ? context_.now : before->second;
    const auto& machine = state_cache_.machine(id)->record;
    if (!lacking.count(kind_of(machine)) && idle_long_enough(machine, idle_since[id]) &&
        context_.now - led_since > context_.settings.lease_s) {
      context_.info("machine_release_requested machine=" + id + " reason=idle");
      request_release(id, WorkOnMachine::keeps_machine);
    }
  }
  idle_since_ = std::move(idle_since);
}

}  // namespace rushtrestle::coordination
