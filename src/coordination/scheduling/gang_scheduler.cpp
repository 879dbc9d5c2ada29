#include "coordination/scheduling/gang_scheduler.h"

#include <algorithm>
#include <set>
#include <utility>

#include "coordination/scheduling/gang_lifecycle.h"

namespace rushtrestle::coordination {

namespace {
size_t count_machines(const PlannedPlacements& planned_placements) {
  std::set<std::string> machines;
  for (const auto& [machine, room] : planned_placements) machines.insert(machine);
  return machines.size();
}
}  // namespace

// Places either a whole attempt or replacements for all members that are known to be gone.
bool GangScheduler::place(ShardJob& gang, std::vector<Slot>& slots) {
  const auto& record = gang.desired;
  const GangPhase phase = gang_phase(record);
  const bool accepts_members =
      phase == GangPhase::idle || (phase == GangPhase::gathering && all_members_gathering(gang));
  if (!accepts_members) return false;
  const uint32_t missing_tasks = record.spec.tasks - static_cast<uint32_t>(record.placed.size());
  // This check says nothing about the placement class: a smaller gang of the same class may fit
  // into its record where this gang does not.
  if (limits_.max_new_placements(record) < missing_tasks) return false;
  const PlannedPlacements planned_placements = find_room(gang, missing_tasks, slots);
  if (planned_placements.empty()) {
    if (queue_order_.group_of(record) == QueueGroup::starving) reservations_.reserve_for(gang);
    return false;
  }
  bind_all(gang, planned_placements, slots);
  return true;
}

// Returns true if every placed member was reported as waiting by a machine that still sends
// heartbeats. If a member is lost just as the gang starts, the others run on and a replacement
// would wait for ever. A loss is detected only after a silence longer than the heartbeat interval,
// so the other members have reported their start by then.
bool GangScheduler::all_members_gathering(const ShardJob& gang) {
  const auto reported_as_waiting = [&](const store::Placement& placement) {
    const ShardMachine* machine = state_.find_machine(placement.machine);
    return machine && machine->heartbeat_received && state_.sends_heartbeats(*machine) &&
           std::any_of(machine->reported.begin(), machine->reported.end(),
                       [&](const ReportedTask& reported) {
                         return reported.job == gang.desired.spec.id &&
                                reported.task == placement.task &&
                                reported.attempt == placement.attempt &&
                                reported.state == TaskState::fetching;
                       });
  };
  const auto& placed = gang.desired.placed;
  return std::all_of(placed.begin(), placed.end(), reported_as_waiting);
}

// A gang is placed in one write with a condition for each machine. If the best slots are on more
// machines than one transaction can hold conditions for, the gang is packed on as few machines as
// possible; otherwise a gang would wait for ever in a fleet with little free room on each machine.
PlannedPlacements GangScheduler::find_room(const ShardJob& gang, uint32_t missing_tasks,
                                           std::vector<Slot>& slots) const {
  auto best = slot_finder_.find_room_for_all_tasks(gang, slots);
  if (!best) return {};
  if (count_machines(*best) <= limits_.max_new_machines_per_write()) return std::move(*best);
  if (gang.desired.spec.spread || reservations_.reservation_excluding(gang)) return {};
  return find_room_on_few_machines(gang, missing_tasks, slots);
}

// Packs the missing tasks on as few machines as possible. Empty: they need more machines than one
// transaction can hold conditions for, or don't fit.
PlannedPlacements GangScheduler::find_room_on_few_machines(const ShardJob& gang,
                                                           uint32_t missing_tasks,
                                                           const std::vector<Slot>& slots) const {
  store::JobSpec spec = gang.desired.spec;
  const ZoneCounts zones = zones_of(gang.desired, state_cache_);
  for (const auto& zone : context_.settings.zones) {
    if (spec.one_zone && !zone_allowed(gang.desired.spec, zone, zones)) continue;
    if (spec.one_zone) spec.zone = zone;
    PlannedPlacements packed = bin_pack(spec, missing_tasks, slots, gang.avoid);
    if (!packed.empty() && count_machines(packed) <= limits_.max_new_machines_per_write())
      return packed;
    if (!spec.one_zone) break;
  }
  return {};
}

void GangScheduler::bind_all(ShardJob& gang, const PlannedPlacements& planned_placements,
                             std::vector<Slot>& slots) {
  uint32_t task = next_pending_task(gang.desired, 0);
  for (const auto& [machine, room] : planned_placements) {
    state_.bind(gang, task, machine);
    for (auto& slot : slots) {
      if (slot.machine != machine) continue;
      slot.free.add(room, -1);
      slot.empty = false;
    }
    task = next_pending_task(gang.desired, task + 1);
  }
  state_.update_pending(gang);
  context_.counters["placements"]++;
  job_writer_.enqueue(gang.desired.spec.id, WriteCause::placement);
}

}  // namespace rushtrestle::coordination
