// Owner: the requeue action of the Expected Runtime design: nominate, try, commit or roll back.
#include <algorithm>
#include <unordered_set>

#include "coordination/owner.h"
#include "coordination/requeue.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;
using store::Placement;

namespace {
// The picture lists machines by id.
Slot* find_slot(std::vector<Slot>& picture, const std::string& machine) {
  const auto it = std::lower_bound(picture.begin(), picture.end(), machine,
                                   [](const Slot& slot, const std::string& id) { return slot.machine < id; });
  return it != picture.end() && it->machine == machine ? &*it : nullptr;
}
}  // namespace

bool Owner::fits_whole(const OwnedJob& contender, std::vector<Slot>& picture, PlannedRoom* used) const {
  const ZoneCounts zones = zones_of(contender.cur);
  if (!contender.cur.spec.one_zone || contender.cur.spec.zone || !zones.empty())
    return fits_whole_beside(contender, zones, picture, used);
  // The first task's place decides the zone; what is best for it alone may have no room for the rest.
  OwnedJob bound = contender;
  for (const auto& zone : ctx_.settings.zones) {
    bound.cur.spec.zone = zone;
    if (fits_whole_beside(bound, zones, picture, used)) return true;
    if (used) used->clear();
  }
  return false;
}

bool Owner::fits_whole_beside(const OwnedJob& contender, ZoneCounts zones, std::vector<Slot>& picture,
                              PlannedRoom* used) const {
  const uint32_t need =
      contender.cur.spec.tasks - contender.cur.done.size() - static_cast<uint32_t>(contender.cur.placed.size());
  store::Resources more;
  std::vector<std::pair<Slot*, store::Resources>> before;
  bool fits = true;
  for (uint32_t i = 0; i < need && fits; ++i) {
    more.add(contender.cur.spec.per_task);
    Slot* slot = within_limit(contender.cur.spec.team, more) ? pick_for(contender, zones, picture) : nullptr;
    fits = slot != nullptr;
    if (!fits) break;
    before.emplace_back(slot, slot->free);
    slot->free.add(contender.cur.spec.per_task, -1);
    zones[*slot->zone]++;
    if (used) used->emplace_back(slot->machine, contender.cur.spec.per_task);
  }
  // Rolled back, to the bit: the picture serves the next trial, too.
  for (auto it = before.rbegin(); it != before.rend(); ++it) it->first->free = it->second;
  return fits;
}

std::vector<Owner::OwnedJob*> Owner::nominate(int part) {
  std::vector<OwnedJob*> candidates;
  for (auto& [id, j] : jobs_) {
    if (j.part != part || j.cur.status != JobStatus::open) continue;
    const std::string reason = nomination_skip_reason(j.cur, ctx_.wall, ctx_.operators, ctx_.settings.clock_error_s);
    if (reason.empty()) {
      ctx_.counters["requeue_nominations_total"]++;
      candidates.push_back(&j);
    } else {
      ctx_.counters["requeue_nomination_skipped_total." + reason]++;
    }
  }
  // Least lost work first: what can save, then what started last.
  std::sort(candidates.begin(), candidates.end(), [](const OwnedJob* a, const OwnedJob* b) {
    const auto& x = a->cur;
    const auto& y = b->cur;
    const bool x_saves = x.spec.checkpoint_s > 0;
    const bool y_saves = y.spec.checkpoint_s > 0;
    if (x_saves != y_saves) return x_saves;
    if (x.last_start != y.last_start) return x.last_start > y.last_start;
    return x.spec.id < y.spec.id;
  });
  return candidates;
}

std::vector<Owner::Contender> Owner::contenders(int part) {
  std::vector<Contender> out;
  for (OwnedJob* c : waiting(part)) {
    const std::string placement_class = placement_class_of(*c);
    const size_t missing = c->cur.spec.tasks - c->cur.done.size() - c->cur.placed.size();
    out.push_back({c, placement_class.empty() ? c->cur.spec.id : placement_class + "#" + std::to_string(missing)});
  }
  return out;
}

bool Owner::has_promise(const std::string& job_id) const {
  return std::any_of(promises_.begin(), promises_.end(), [&](const Promise& p) { return p.job == job_id; });
}

// The first contender of a higher rank, in waiting order, that fits whole into the picture.
std::optional<size_t> Owner::try_contenders(const OwnedJob& victim, const std::vector<Contender>& contenders,
                                            std::vector<Slot>& picture, PlannedRoom& used) {
  // With hundreds of both, a trial for each pair kept reports and renewals waiting for seconds: jobs of one
  // placement class and number of tasks are tried once.
  std::unordered_set<std::string> tried;
  for (size_t i = 0; i < contenders.size(); ++i) {
    const auto& contender = contenders[i];
    if (contender.job->cur.spec.rank <= victim.cur.spec.rank) break;  // sorted by rank
    if (tried.count(contender.placement_class) || has_promise(contender.job->cur.spec.id)) continue;
    used.clear();
    if (fits_whole(*contender.job, picture, &used)) return i;
    ctx_.counters["requeue_rollbacks_total"]++;
    tried.insert(contender.placement_class);
  }
  return std::nullopt;
}

void Owner::commit_requeue(OwnedJob& victim, const OwnedJob& contender, const PlannedRoom& used) {
  ctx_.counters["requeue_commits_total"]++;
  ctx_.info("requeue committed: " + victim.cur.spec.id + " makes room for " + contender.cur.spec.id);
  victim.cur.not_before = ctx_.wall + ctx_.operators.requeue_delay_s;
  for (auto& p : victim.cur.placed) p.stopping = true;
  mark(victim.cur.spec.id, WriteCause::stop);
  for (const auto& [machine_id, room] : used)
    promises_.push_back({contender.cur.spec.id, machine_id, room, ctx_.now + ctx_.settings.lease_s});
}

void Owner::scan(int part) {
  auto waiting_jobs = contenders(part);
  const auto candidates = nominate(part);
  if (waiting_jobs.empty() || candidates.empty()) return;
  // A copy of the picture for each pair took seconds: one picture, rolled back after each trial.
  auto picture = slots(part);
  for (OwnedJob* victim : candidates) {
    std::vector<std::pair<Slot*, store::Resources>> before;
    for (const auto& p : victim->cur.placed)
      if (Slot* slot = find_slot(picture, p.machine)) {
        before.emplace_back(slot, slot->free);
        slot->free.add(victim->cur.spec.per_task);
      }
    PlannedRoom used;
    const auto chosen = try_contenders(*victim, waiting_jobs, picture, used);
    if (chosen) {
      commit_requeue(*victim, *waiting_jobs[*chosen].job, used);
      waiting_jobs.erase(waiting_jobs.begin() + static_cast<long>(*chosen));
      picture = slots(part);  // with what was promised
    } else {
      for (auto it = before.rbegin(); it != before.rend(); ++it) it->first->free = it->second;
    }
  }
}

}  // namespace rushtrestle::coordination
