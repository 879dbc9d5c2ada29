#include "coordination/preemption/requeue_action.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "coordination/preemption/nomination.h"

namespace rushtrestle::coordination {

using store::JobStatus;

namespace {
// The picture lists machines by id.
Slot* find_slot(std::vector<Slot>& picture, const std::string& machine) {
  const auto it =
      std::lower_bound(picture.begin(), picture.end(), machine,
                       [](const Slot& slot, const std::string& id) { return slot.machine < id; });
  return it != picture.end() && it->machine == machine ? &*it : nullptr;
}
}  // namespace

void RequeueAction::scan(int shard) {
  auto waiting_jobs = preemptors(shard);
  const auto candidates = nominate(shard);
  if (waiting_jobs.empty() || candidates.empty()) return;
  // A copy of the picture for each pair took seconds: one picture, rolled back after each trial.
  auto picture = scheduler_.slots(shard);
  for (ShardJob* victim : candidates) {
    std::vector<std::pair<Slot*, store::Resources>> before;
    for (const auto& p : victim->desired.placed)
      if (Slot* slot = find_slot(picture, p.machine)) {
        before.emplace_back(slot, slot->free);
        slot->free.add(victim->desired.spec.per_task);
      }
    PlannedRoom used;
    const auto chosen = try_preemptors(*victim, waiting_jobs, picture, used);
    if (chosen) {
      commit_requeue(*victim, *waiting_jobs[*chosen].job, used);
      waiting_jobs.erase(waiting_jobs.begin() + static_cast<long>(*chosen));
      picture = scheduler_.slots(shard);  // with what was promised
    } else {
      for (auto it = before.rbegin(); it != before.rend(); ++it) it->first->free = it->second;
    }
  }
}

std::vector<ShardJob*> RequeueAction::nominate(int shard) {
  std::vector<ShardJob*> candidates;
  for (auto& [id, j] : state_.jobs()) {
    if (j.shard != shard || j.desired.status != JobStatus::open) continue;
    const std::string reason = nomination_skip_reason(j.desired, context_.wall, context_.operators,
                                                      context_.settings.clock_error_s);
    if (reason.empty()) {
      context_.counters["requeue_nominations_total"]++;
      candidates.push_back(&j);
    } else {
      context_.counters["requeue_nomination_skipped_total." + reason]++;
    }
  }
  // Least lost work first: what can save, then what started last.
  std::sort(candidates.begin(), candidates.end(), [](const ShardJob* a, const ShardJob* b) {
    const auto& x = a->desired;
    const auto& y = b->desired;
    const bool x_saves = x.spec.checkpoint_s > 0;
    const bool y_saves = y.spec.checkpoint_s > 0;
    if (x_saves != y_saves) return x_saves;
    if (x.last_start != y.last_start) return x.last_start > y.last_start;
    return x.spec.id < y.spec.id;
  });
  return candidates;
}

std::vector<RequeueAction::Preemptor> RequeueAction::preemptors(int shard) {
  std::vector<Preemptor> out;
  for (ShardJob* c : scheduler_.scheduling_queue(shard)) {
    const std::string placement_class = scheduler_.placement_class_of(*c);
    const size_t missing =
        c->desired.spec.tasks - c->desired.done.size() - c->desired.placed.size();
    out.push_back({c, placement_class.empty() ? c->desired.spec.id
                                              : placement_class + "#" + std::to_string(missing)});
  }
  return out;
}

// The first preemptor of a higher rank, in waiting order, that fits whole into the picture.
std::optional<size_t> RequeueAction::try_preemptors(const ShardJob& victim,
                                                    const std::vector<Preemptor>& preemptors,
                                                    std::vector<Slot>& picture, PlannedRoom& used) {
  // With hundreds of both, a trial for each pair kept heartbeats and renewals waiting for seconds:
  // jobs of one placement class and number of tasks are tried once.
  std::unordered_set<std::string> tried;
  for (size_t i = 0; i < preemptors.size(); ++i) {
    const auto& preemptor = preemptors[i];
    if (preemptor.job->desired.spec.rank <= victim.desired.spec.rank) break;  // sorted by rank
    if (tried.count(preemptor.placement_class) ||
        preemptor_reservations_.has(preemptor.job->desired.spec.id))
      continue;
    used.clear();
    if (scheduler_.fits_whole(*preemptor.job, picture, &used)) return i;
    context_.counters["requeue_rollbacks_total"]++;
    tried.insert(preemptor.placement_class);
  }
  return std::nullopt;
}

void RequeueAction::commit_requeue(ShardJob& victim, const ShardJob& preemptor,
                                   const PlannedRoom& used) {
  context_.counters["requeue_commits_total"]++;
  context_.info("requeue committed: " + victim.desired.spec.id + " makes room for " +
                preemptor.desired.spec.id);
  victim.desired.not_before = context_.wall + context_.operators.requeue_delay_s;
  for (auto& p : victim.desired.placed) p.stopping = true;
  job_writer_.enqueue(victim.desired.spec.id, WriteCause::stop);
  for (const auto& [machine_id, room] : used)
    preemptor_reservations_.add(
        {preemptor.desired.spec.id, machine_id, room, context_.now + context_.settings.lease_s});
}

}  // namespace rushtrestle::coordination
