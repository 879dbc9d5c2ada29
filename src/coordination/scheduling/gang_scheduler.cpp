#include "coordination/scheduling/gang_scheduler.h"

#include <algorithm>
#include <set>
#include <utility>

#include "coordination/scheduling/gang_lifecycle.h"

namespace rushtrestle::coordination {

namespace {
size_t machines_of(const PlannedRoom& planned_room) {
  std::set<std::string> machines;
  for (const auto& [machine, room] : planned_room) machines.insert(machine);
  return machines.size();
}
}  // namespace

// All that is missing or nothing: a whole attempt, or replacements for members that are known to be
// gone.
bool GangScheduler::place(ShardJob& gang, std::vector<Slot>& slots) {
  const auto& record = gang.desired;
  const GangPhase phase = gang_phase(record);
  const bool may_join =
      phase == GangPhase::idle || (phase == GangPhase::gathering && all_gathering(gang));
  if (!may_join) return false;
  const uint32_t missing_tasks = record.spec.tasks - static_cast<uint32_t>(record.placed.size());
  // This says nothing of the placement class: a smaller gang of the same class may fit where this
  // one does not.
  if (limits_.room_in_record(record) < missing_tasks) return false;
  const PlannedRoom planned_room = room_for(gang, missing_tasks, slots);
  if (planned_room.empty()) {
    if (queue_order_.group_of(record) == QueueGroup::starving) reservations_.reserve_for(gang);
    return false;
  }
  bind_all(gang, planned_room, slots);
  return true;
}

// Every member that is placed was reported as waiting by a machine that still sends heartbeats. One
// that was lost at the very moment of the start leaves the others running: a replacement would wait
// in vain. The loss is known only after a silence that is longer than heartbeats are apart, so the
// others have reported their start by then.
bool GangScheduler::all_gathering(const ShardJob& gang) {
  const auto reported_as_waiting = [&](const store::Placement& placement) {
    const ShardMachine* machine = state_.find_machine(placement.machine);
    return machine && machine->known && state_.sends_heartbeats(*machine) &&
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

// All in one write, with a condition for each machine. The best places may be on more machines than
// a transaction takes conditions for: then on as few as can be, or a gang in a fleet with little
// room on each machine would wait for ever.
PlannedRoom GangScheduler::room_for(const ShardJob& gang, uint32_t missing_tasks,
                                    std::vector<Slot>& slots) const {
  auto best = slot_finder_.room_for_whole(gang, slots);
  if (!best) return {};
  if (machines_of(*best) <= limits_.most_new_machines()) return std::move(*best);
  if (gang.desired.spec.spread || reservations_.reservation_against(gang)) return {};
  return room_on_few_machines(gang, missing_tasks, slots);
}

PlannedRoom GangScheduler::room_on_few_machines(const ShardJob& gang, uint32_t missing_tasks,
                                                const std::vector<Slot>& slots) const {
  store::JobSpec spec = gang.desired.spec;
  const ZoneCounts zones = zones_of(gang.desired, state_cache_);
  for (const auto& zone : context_.settings.zones) {
    if (spec.one_zone && !zone_allowed(gang.desired.spec, zone, zones)) continue;
    if (spec.one_zone) spec.zone = zone;
    PlannedRoom packed = bin_pack(spec, missing_tasks, slots, gang.avoid);
    if (!packed.empty() && machines_of(packed) <= limits_.most_new_machines()) return packed;
    if (!spec.one_zone) break;
  }
  return {};
}

void GangScheduler::bind_all(ShardJob& gang, const PlannedRoom& planned_room,
                             std::vector<Slot>& slots) {
  uint32_t task = next_pending_task(gang.desired, 0);
  for (const auto& [machine, room] : planned_room) {
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
