#include "coordination/scheduling/gang_reservation.h"

#include <algorithm>

namespace rushtrestle::coordination {

namespace {

uint32_t tasks_in(const store::JobSpec& gang, store::Resources room) {
  uint32_t tasks = 0;
  for (; tasks < gang.tasks && gang.per_task.fits(room); room.add(gang.per_task, -1)) ++tasks;
  return tasks;
}

std::set<std::string> largest_first(const store::JobSpec& gang, const std::vector<RoomToCome>& room,
                                    const std::string* zone, size_t most) {
  std::vector<std::pair<uint32_t, const RoomToCome*>> capacities;  // tasks that fit on each machine
  for (const auto& machine : room) {
    const bool allowed = (!zone || machine.zone == *zone) &&
                         (!gang.zone || machine.zone == *gang.zone) &&
                         type_allowed(gang, machine.type) && kind_allowed(gang, machine.spot);
    const uint32_t capacity = allowed ? tasks_in(gang, machine.room) : 0;
    if (capacity > 0) capacities.emplace_back(capacity, &machine);
  }
  std::stable_sort(capacities.begin(), capacities.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::set<std::string> machines;
  uint32_t covered = 0;
  for (const auto& [capacity, machine] : capacities) {
    if (covered >= gang.tasks) break;
    machines.insert(machine->machine);
    covered += capacity;
  }
  if (covered < gang.tasks || machines.size() > most) return {};
  return machines;
}

}  // namespace

std::set<std::string> machines_to_reserve(const store::JobSpec& gang,
                                          const std::vector<RoomToCome>& room,
                                          const std::vector<std::string>& zones, size_t most) {
  if (!gang.one_zone) return largest_first(gang, room, nullptr, most);
  std::set<std::string> best;
  for (const auto& zone : zones) {
    auto machines = largest_first(gang, room, &zone, most);
    if (!machines.empty() && (best.empty() || machines.size() < best.size()))
      best = std::move(machines);
  }
  return best;
}

}  // namespace rushtrestle::coordination
