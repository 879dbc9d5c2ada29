#include "coordination/fleet/machine_reassignment.h"

#include <algorithm>
#include <set>
#include <utility>

#include "coordination/fleet/unused_machines.h"

namespace rushtrestle::coordination {

using store::MachinePhase;
using store::MachineRecord;

namespace {

// The cloud's protocol: each machine is charged for at least this many seconds.
constexpr double kMinChargeSeconds = 60;
// Value of MachineRecord::next_shard that requests a release.
constexpr int kNextShardForRelease = -1;

}  // namespace

void MachineReassignment::request_reassignment(const std::string& machine, int next_shard,
                                               DrainMode mode) {
  records_.update(machine, WriteCause::machine_reassignment_request,
                  [next_shard, mode](MachineRecord& record) {
                    if (!record.usable()) return false;
                    record.phase = MachinePhase::reassignment_requested;
                    record.next_shard = next_shard;
                    record.drain = mode == DrainMode::drain;
                    return true;
                  });
}

void MachineReassignment::request_release(const std::string& machine, DrainMode mode) {
  request_reassignment(machine, kNextShardForRelease, mode);
}

// The design's sharing of free machines: they go from shards that don't need them to shards whose
// work waits, in proportion to waiting demand. Shortages get one machine each in turn, the one with
// the most waiting demand first.
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
      request_reassignment(*machine, shortage.shard, DrainMode::only_if_empty);
      shortage.remove_one();
      moved = true;
    }
  }
  plan.unused = unused.remaining();
}

bool MachineReassignment::idle_long_enough(const MachineRecord& machine, double idle_since) const {
  const auto* type = state_cache_.type(machine.type);
  const double min_idle_s = type ? type->boot_s / 2 : kMinChargeSeconds;
  return context_.now - idle_since > min_idle_s &&
         context_.wall - machine.since > kMinChargeSeconds;
}

void MachineReassignment::scale_in_idle(const CapacityPlan& plan, double leader_since) {
  std::map<std::string, double> idle_since;
  std::set<MachineKind> kinds_in_shortage;
  for (const auto& shortage : plan.shortages) kinds_in_shortage.insert(shortage.kind);
  for (const auto& id : plan.unused) {
    const auto before = idle_since_.find(id);
    idle_since[id] = before == idle_since_.end() ? context_.now : before->second;
    const auto& machine = state_cache_.machine(id)->record;
    if (!kinds_in_shortage.count(kind_of(machine)) && idle_long_enough(machine, idle_since[id]) &&
        context_.now - leader_since > context_.settings.lease_s) {
      context_.info("machine_release_requested machine=" + id + " reason=idle");
      request_release(id, DrainMode::only_if_empty);
    }
  }
  idle_since_ = std::move(idle_since);
}

}  // namespace rushtrestle::coordination
