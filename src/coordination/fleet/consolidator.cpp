#include "coordination/fleet/consolidator.h"

#include <algorithm>

#include "coordination/fleet/capacity_planner.h"
#include "coordination/scheduling/best_effort.h"

namespace rushtrestle::coordination {

using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;

namespace {

// A start counts for its user once it has lasted half a minute, by the protocol; twice that is
// settled.
constexpr double kSettledSeconds = 60;
constexpr double kMostUsed = 0.6;  // fuller machines are left alone
constexpr size_t kAtOnce = 10;     // one of so many of the shard's machines at a time
constexpr size_t kARound =
    40;  // and one of so many a round: one a round took minutes to empty dozens
constexpr size_t kMost = 4;
constexpr size_t kTries = 3;  // each is a plan of the shard, so that a round stays short

int machines_wanted(const CapacityPlan& plan, int shard) {
  int n = 0;
  for (const auto& w : plan.shortages)
    if (w.shard == shard) n += w.machines();
  return n;
}

}  // namespace

void Consolidator::note_attempts() {
  std::erase_if(attempts_seen_,
                [&](const auto& entry) { return !state_cache_.live_jobs().count(entry.first); });
  for (const auto& id : state_cache_.live_jobs()) {
    const uint64_t attempts = state_cache_.job(id)->record.attempts;
    auto& seen = attempts_seen_[id];
    if (seen.empty() || seen.back().attempts != attempts) seen.push_back({context_.now, attempts});
    while (seen.size() > 1 && context_.now - seen[1].at > kSettledSeconds) seen.pop_front();
  }
}

bool Consolidator::settled(const store::JobRecord& r, const store::Placement& p) const {
  const auto it = attempts_seen_.find(r.spec.id);
  return p.running && !p.stopping && it != attempts_seen_.end() &&
         context_.now - it->second.front().at > kSettledSeconds &&
         p.attempt <= it->second.front().attempts;
}

Consolidator::Loads Consolidator::loads_of(int shard) const {
  Loads loads;
  for (const auto& id : state_cache_.live_jobs()) {
    const auto& r = state_cache_.job(id)->record;
    if (membership_.shard_of_team(r.spec.team) != shard) continue;
    for (const auto& p : r.placed) {
      auto& load = loads[p.machine];
      // Saved and queued again: no ordinary machine is kept for it.
      const auto* m = state_cache_.machine(p.machine);
      if (m && !m->record.spot && takes_idle_room_only(r, context_) && can_move(r.spec)) continue;
      load.used.add(r.spec.per_task);
      load.movable &= r.status == JobStatus::open && (can_move(r.spec) ? settled(r, p) : p.running);
      if (can_move(r.spec)) load.moved.push_back(&r.spec);
    }
  }
  return loads;
}

// A replica must not be away for as long as its image takes: another machine has to hold it, with
// room.
bool Consolidator::has_target(const store::JobSpec& spec, const std::string& from, int shard,
                              const Loads& loads, const std::set<std::string>& emptied) const {
  const double long_fetch_s = context_.settings.heartbeat_interval_s / 2;
  for (const auto& [id, m] : state_cache_.present_machines()) {
    const auto* type = state_cache_.type(m->record.type);
    if (!type || id == from || emptied.count(id) || m->record.shard != shard ||
        !m->record.usable() || !kind_allowed(spec, m->record.spot) ||
        !type_allowed(spec, m->record.type))
      continue;
    if (!images_.has(id, spec.image) &&
        spec.image_gb / std::max(0.01, type->fetch_gb_per_s) > long_fetch_s)
      continue;
    store::Resources free = type->size;
    if (const auto load = loads.find(id); load != loads.end()) free.add(load->second.used, -1);
    if (spec.per_task.fits(free)) return true;
  }
  return false;
}

// Most saved first: by what they cost and are not used for.
std::vector<std::string> Consolidator::candidates(int shard, const Loads& loads,
                                                  const CapacityPlan& planned) const {
  std::vector<std::pair<double, std::string>> by_saving;
  for (const auto& [id, load] : loads) {
    const auto* m = state_cache_.machine(id);
    const auto* type = m ? state_cache_.type(m->record.type) : nullptr;
    if (!type || !load.movable || !m->record.usable() || m->record.shard != shard) continue;
    const MachineKind kind{m->record.type, m->record.zone, m->record.spot};
    if (std::any_of(planned.shortages.begin(), planned.shortages.end(),
                    [&](const MachineShortage& w) { return w.kind == kind; }))
      continue;
    const double share = std::max(type->size.cpus > 0 ? load.used.cpus / type->size.cpus : 0,
                                  type->size.gpus > 0 ? load.used.gpus / type->size.gpus : 0);
    const double saving = (m->record.spot ? type->spot_price : type->price) * (1 - share);
    if (share <= kMostUsed) by_saving.emplace_back(saving, id);
  }
  std::stable_sort(by_saving.begin(), by_saving.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<std::string> out;
  out.reserve(by_saving.size());
  for (const auto& [saving, id] : by_saving) out.push_back(id);
  return out;
}

std::vector<std::string> Consolidator::machines_to_empty(int shard, const CapacityPlan& planned,
                                                         CapacityPlanner& planner) {
  size_t machines = 0;
  size_t leaving = 0;
  for (const auto& [id, m] : state_cache_.present_machines()) {
    if (m->record.shard != shard || m->record.terminating()) continue;
    ++machines;
    if (m->record.phase == MachinePhase::reassignment_requested) ++leaving;
  }
  if (leaving > machines / kAtOnce) return {};
  const Loads loads = loads_of(shard);
  const auto from = candidates(shard, loads, planned);
  const size_t most = std::clamp<size_t>(machines / kARound, 1, kMost);
  std::vector<std::string> chosen;
  std::set<std::string> emptied;
  for (size_t i = 0; i < from.size() && i < emptied.size() + kTries && emptied.size() < most; ++i) {
    const std::string& id = from[i];
    const auto& moved = loads.at(id).moved;
    if (!std::all_of(moved.begin(), moved.end(), [&](const auto* spec) {
          return has_target(*spec, id, shard, loads, emptied);
        }))
      continue;
    emptied.insert(id);
    const CapacityPlan then = planner.plan_without(shard, emptied);
    if (machines_wanted(then, shard) > machines_wanted(planned, shard) || !then.unmet.empty()) {
      emptied.erase(id);
      continue;
    }
    chosen.push_back(id);
  }
  return chosen;
}

}  // namespace rushtrestle::coordination
