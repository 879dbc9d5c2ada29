#include "coordination/scheduling/gang_reservation_table.h"

#include <string>
#include <utility>

namespace rushtrestle::coordination {

namespace {
// A reservation lasts long enough for most jobs that are not services to end.
constexpr double kGangReservationSeconds = 120;
}  // namespace

const GangReservation* GangReservationTable::reservation_excluding(const ShardJob& job) const {
  const auto it = reservations_.find(job.shard);
  return it != reservations_.end() && it->second.excludes(job.desired.spec) ? &it->second : nullptr;
}

void GangReservationTable::remove_if_finished(int shard) {
  const auto it = reservations_.find(shard);
  if (it == reservations_.end()) return;
  const bool expired = context_.now >= it->second.expires_at;
  if (state_.pending_jobs().count(it->second.job) && !expired) return;
  // The gang did not fit in time, so other jobs get the machines for as long as they were reserved.
  if (expired) no_reservation_until_[shard] = context_.now + kGangReservationSeconds;
  reservations_.erase(it);
}

void GangReservationTable::reserve_for(const ShardJob& gang) {
  const auto& spec = gang.desired.spec;
  if (reservations_.count(gang.shard) || context_.now < no_reservation_until_[gang.shard] ||
      !within_quota(gang))
    return;
  auto machines = machines_to_reserve(spec, future_capacity(gang.shard), context_.settings.zones,
                                      limits_.max_new_machines_per_write());
  if (machines.empty()) return;
  context_.counters["gang_holds"]++;
  context_.info("gang_reservation_made job=" + spec.id +
                " machines=" + std::to_string(machines.size()));
  reservations_[gang.shard] = {spec.id, spec.rank, std::move(machines),
                               context_.now + kGangReservationSeconds};
}

bool GangReservationTable::within_quota(const ShardJob& gang) const {
  const auto& spec = gang.desired.spec;
  store::Resources whole_gang;
  whole_gang.add(spec.per_task, spec.tasks);
  return quotas_.within_quota(spec.team, whole_gang);
}

// Returns the resources beside services, which don't end by themselves, on each machine of the
// shard that accepts tasks.
std::vector<FutureCapacity> GangReservationTable::future_capacity(int shard) const {
  std::vector<FutureCapacity> machines;
  for (const auto& [id, machine] : state_.machines()) {
    const auto* durable = state_cache_.machine(id);
    const auto* type = durable ? state_cache_.type(durable->record.type) : nullptr;
    if (machine.shard != shard || !type || !durable->record.usable() ||
        !machine.heartbeat_received || machine.quarantined() || !state_.sends_heartbeats(machine))
      continue;
    const auto& record = durable->record;
    FutureCapacity capacity{id, record.zone, record.type, record.spot, type->size};
    for (const auto& [task, attempt] : machine.placed) {
      const auto& spec = state_.jobs().at(task.first).desired.spec;
      if (spec.kind == store::JobKind::service) capacity.free.add(spec.per_task, -1);
    }
    machines.push_back(std::move(capacity));
  }
  return machines;
}

}  // namespace rushtrestle::coordination
