#include "coordination/scheduling/gang_reservation.h"

#include <algorithm>

namespace rushtrestle::coordination {

namespace {

uint32_t tasks_in(const store::JobSpec& gang, store::Resources room) {
  uint32_t n = 0;
  for (; n < gang.tasks && gang.per_task.fits(room); room.add(gang.per_task, -1)) ++n;
  return n;
}

std::set<std::string> largest_first(const store::JobSpec& gang, const std::vector<RoomToCome>& room,
                                    const std::string* zone, size_t most) {
  std::vector<std::pair<uint32_t, const RoomToCome*>> takes;
  for (const auto& r : room) {
    const bool allowed = (!zone || r.zone == *zone) && (!gang.zone || r.zone == *gang.zone) &&
                         type_allowed(gang, r.type) && kind_allowed(gang, r.spot);
    const uint32_t n = allowed ? tasks_in(gang, r.room) : 0;
    if (n > 0) takes.emplace_back(n, &r);
  }
  std::stable_sort(takes.begin(), takes.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::set<std::string> machines;
  uint32_t covered = 0;
  for (const auto& [n, r] : takes) {
    if (covered >= gang.tasks) break;
    machines.insert(r->machine);
    covered += n;
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
