#include "coordination/scheduling/slot_finder.h"

#include <algorithm>

#include "coordination/scheduling/best_effort.h"
#include "coordination/scheduling/slot_rollback.h"

namespace rushtrestle::coordination {

namespace {
// In GB/s. Avoids a division by zero for a machine type without a fetch rate.
constexpr double kMinFetchRate = 0.01;
}  // namespace

ZoneCounts zones_of(const store::JobRecord& record, const store::StateCache& state_cache) {
  ZoneCounts zones;
  for (const auto& placement : record.placed)
    if (const auto* machine = state_cache.machine(placement.machine)) zones[machine->record.zone]++;
  return zones;
}

bool SlotFinder::accepts_tasks(const ShardMachine& machine,
                               const store::MachineRecord& record) const {
  return record.usable() && machine.heartbeat_received && !machine.quarantined() &&
         !machine.notice_s && !machine.marking_for_deletion && !machine.record_write_queued &&
         machine.commands_failing_since <= 0 && state_.sends_heartbeats(machine);
}

std::vector<Slot> SlotFinder::slots(int shard) const {
  std::vector<Slot> slots;
  for (const auto& [id, machine] : state_.machines()) {
    const auto* durable = state_cache_.machine(id);
    if (machine.shard != shard || !durable || !accepts_tasks(machine, durable->record)) continue;
    const auto& record = durable->record;
    const auto* type = state_cache_.type(record.type);
    if (!type) continue;
    store::Resources free = type->size;
    free.add(machine.used, -1);
    for (const auto& reservation : preemptor_reservations_.all())
      if (reservation.machine == id) free.add(reservation.room, -1);
    slots.push_back({id, type, shared_zone(*type, record.zone), record.spot, free,
                     machine.placed.empty(), machine.non_preemptible > 0, images_.cache_of(id)});
  }
  return slots;
}

std::string SlotFinder::placement_class_of(ShardJob& job) const {
  if (!job.avoid.empty()) return "";
  const auto& spec = job.desired.spec;
  // The text is built once for each job: with thousands of jobs waiting, building it anew in each
  // pass took a quarter of the pass.
  if (job.placement_shape.empty())
    job.placement_shape = spec.job_class + "|" + spec.team + "|" + placement_shape(spec);
  std::string result = job.placement_shape;
  if (can_wait_for_spot(job.desired, context_.settings, context_.wall)) result += "|w";
  if (uses_best_effort_capacity_only(job.desired, context_)) result += "|i";
  if (spec.spread || spec.one_zone) result += zones_shape(zones_of(job.desired, state_cache_));
  return result;
}

PlacementConstraints SlotFinder::placement_constraints_for(const ShardJob& job) const {
  const auto& record = job.desired;
  PlacementConstraints constraints;
  constraints.cpu_per_gpu = conditions_.cpu_per_gpu;
  constraints.images = &images_;
  constraints.avoid = &job.avoid;
  if (const GangReservation* reservation = gang_reservations_.reservation_excluding(job))
    constraints.reserved_for_others = &reservation->machines;
  constraints.headroom = conditions_.headroom;
  constraints.spot_only = conditions_.non_preemptible_job_waits &&
                          can_wait_for_spot(record, context_.settings, context_.wall);
  constraints.best_effort_capacity_only = uses_best_effort_capacity_only(record, context_);
  const double start_within = start_within_s(record.spec, context_.settings);
  if (context_.wall - record.submitted < start_within) constraints.start_within_s = start_within;
  return constraints;
}

// Keeps the CPUs that free GPUs need for tasks with GPUs only as long as there are other CPUs, and
// only if the image fetch on the other machine doesn't make the start late: where CPUs are scarce,
// an idle GPU costs less than a service that is down.
Slot* SlotFinder::select_slot_for(const ShardJob& job, const ZoneCounts& zones,
                                  std::vector<Slot>& slots) const {
  PlacementConstraints constraints = placement_constraints_for(job);
  const auto& spec = job.desired.spec;
  const auto starts_late = [&](const Slot& slot) {
    return constraints.start_within_s > 0 && !images_.has(slot.machine, spec.image) &&
           spec.image_gb / std::max(kMinFetchRate, slot.type->fetch_gb_per_s) >
               constraints.start_within_s / 2;
  };
  Slot* with_cpus_kept = select_slot(spec, zones, slots, constraints);
  if (spec.per_task.gpus > 0 || (with_cpus_kept && !starts_late(*with_cpus_kept)))
    return with_cpus_kept;
  constraints.may_strand_gpus = true;
  Slot* without_cpus_kept = select_slot(spec, zones, slots, constraints);
  return !with_cpus_kept || (without_cpus_kept && !starts_late(*without_cpus_kept))
             ? without_cpus_kept
             : with_cpus_kept;
}

std::optional<PlannedPlacements> SlotFinder::find_room_for_all_tasks(
    const ShardJob& job, std::vector<Slot>& slots) const {
  const ZoneCounts zones = zones_of(job.desired, state_cache_);
  const auto& spec = job.desired.spec;
  if (!spec.one_zone || spec.zone || !zones.empty())
    return room_for_missing_tasks(job, zones, slots);
  // The first task's machine decides the zone for all, and the best zone for the first task may
  // have no room for the rest. So each zone is tried.
  ShardJob bound_to_zone = job;
  for (const auto& zone : context_.settings.zones) {
    bound_to_zone.desired.spec.zone = zone;
    if (auto planned_placements = room_for_missing_tasks(bound_to_zone, zones, slots))
      return planned_placements;
  }
  return std::nullopt;
}

std::optional<PlannedPlacements> SlotFinder::room_for_missing_tasks(
    const ShardJob& job, ZoneCounts zones, std::vector<Slot>& slots) const {
  const auto& spec = job.desired.spec;
  const uint32_t missing_tasks =
      spec.tasks - job.desired.done.size() - static_cast<uint32_t>(job.desired.placed.size());
  store::Resources requested;
  PlannedPlacements planned_placements;
  SlotRollback rollback;  // Restores the slots bit for bit, as the next trial uses them, too.
  for (uint32_t i = 0; i < missing_tasks; ++i) {
    requested.add(spec.per_task);
    if (!quotas_.within_quota(spec.team, requested)) return std::nullopt;
    Slot* slot = select_slot_for(job, zones, slots);
    if (!slot) return std::nullopt;
    rollback.record(*slot);
    slot->free.add(spec.per_task, -1);
    zones[*slot->zone]++;
    planned_placements.emplace_back(slot->machine, spec.per_task);
  }
  return planned_placements;
}

}  // namespace rushtrestle::coordination
