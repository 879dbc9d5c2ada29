#include "coordination/scheduling/gang_reservation.h"

#include <algorithm>

namespace rushtrestle::coordination {

namespace {

// Returns how many tasks of the gang fit into the free resources.
uint32_t tasks_that_fit(const store::JobSpec& gang, store::Resources free) {
  uint32_t tasks = 0;
  for (; tasks < gang.tasks && gang.per_task.fits(free); free.add(gang.per_task, -1)) ++tasks;
  return tasks;
}

// Returns as many machines as the gang needs, those that will hold most of its tasks first. A null
// `zone` allows every zone. Empty: the gang needs more machines than there are or `max_machines`.
std::set<std::string> select_largest_machines(const store::JobSpec& gang,
                                              const std::vector<FutureCapacity>& future_capacity,
                                              const std::string* zone, size_t max_machines) {
  // Each machine with the number of tasks that will fit on it.
  std::vector<std::pair<uint32_t, const FutureCapacity*>> capacities;
  for (const auto& machine : future_capacity) {
    const bool allowed = (!zone || machine.zone == *zone) &&
                         (!gang.zone || machine.zone == *gang.zone) &&
                         type_allowed(gang, machine.type) && spot_allowed(gang, machine.spot);
    const uint32_t capacity = allowed ? tasks_that_fit(gang, machine.free) : 0;
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
  if (covered < gang.tasks || machines.size() > max_machines) return {};
  return machines;
}

}  // namespace

std::set<std::string> machines_to_reserve(const store::JobSpec& gang,
                                          const std::vector<FutureCapacity>& future_capacity,
                                          const std::vector<std::string>& zones,
                                          size_t max_machines) {
  if (!gang.one_zone) return select_largest_machines(gang, future_capacity, nullptr, max_machines);
  std::set<std::string> best;
  for (const auto& zone : zones) {
    auto machines = select_largest_machines(gang, future_capacity, &zone, max_machines);
    if (!machines.empty() && (best.empty() || machines.size() < best.size()))
      best = std::move(machines);
  }
  return best;
}

}  // namespace rushtrestle::coordination
