#include "coordination/preemption/requeue_action.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "coordination/preemption/nomination.h"
#include "coordination/preemption/trial_eviction.h"

namespace rushtrestle::coordination {

using store::JobRecord;
using store::JobStatus;

namespace {
// Orders victims by the work lost on eviction: first jobs that save checkpoints, then the jobs that
// started last.
bool loses_less_work(const JobRecord& left, const JobRecord& right) {
  const bool left_saves = left.spec.checkpoint_s > 0;
  const bool right_saves = right.spec.checkpoint_s > 0;
  if (left_saves != right_saves) return left_saves;
  if (left.last_start != right.last_start) return left.last_start > right.last_start;
  return left.spec.id < right.spec.id;
}
}  // namespace

void RequeueAction::scan(int shard) {
  auto preemptors = waiting_preemptors(shard);
  const auto candidates = nominate(shard);
  if (preemptors.empty() || candidates.empty()) return;
  // All trials share one list of slots, which is rolled back after each trial: a copy for each pair
  // of jobs took seconds.
  auto slots = slot_finder_.slots(shard);
  for (ShardJob* victim : candidates) {
    TrialEviction eviction(victim->desired, slots);
    const auto match = find_fitting_preemptor(*victim, preemptors, slots);
    if (!match) continue;
    eviction.commit();
    commit_requeue(*victim, *preemptors[match->preemptor].job, match->planned_placements);
    preemptors.erase(preemptors.begin() + static_cast<long>(match->preemptor));
    slots = slot_finder_.slots(shard);  // now without the room just reserved
  }
}

std::vector<RequeueAction::Preemptor> RequeueAction::waiting_preemptors(int shard) {
  std::vector<Preemptor> preemptors;
  for (ShardJob* job : queue_order_.scheduling_queue(shard)) {
    const auto& record = job->desired;
    const std::string placement_class = slot_finder_.placement_class_of(*job);
    const size_t missing_tasks = record.spec.tasks - record.done.size() - record.placed.size();
    preemptors.push_back({job, placement_class.empty()
                                   ? record.spec.id
                                   : placement_class + "#" + std::to_string(missing_tasks)});
  }
  return preemptors;
}

std::vector<ShardJob*> RequeueAction::nominate(int shard) {
  std::vector<ShardJob*> candidates;
  for (auto& [id, job] : state_.jobs()) {
    if (job.shard != shard || job.desired.status != JobStatus::open) continue;
    const std::string skip_reason = nomination_skip_reason(
        job.desired, context_.wall, context_.operators, context_.settings.clock_error_s);
    if (skip_reason.empty()) {
      context_.counters["requeue_nominations_total"]++;
      candidates.push_back(&job);
    } else {
      context_.counters["requeue_nomination_skipped_total." + skip_reason]++;
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const ShardJob* left, const ShardJob* right) {
    return loses_less_work(left->desired, right->desired);
  });
  return candidates;
}

// Returns the first preemptor in queue order that has a higher rank than the victim and fits whole
// into the slots.
std::optional<RequeueAction::Match> RequeueAction::find_fitting_preemptor(
    const ShardJob& victim, const std::vector<Preemptor>& preemptors, std::vector<Slot>& slots) {
  // Jobs with the same placement class and number of missing tasks are tried only once: with
  // hundreds of victims and preemptors, a trial for each pair delayed heartbeats and lease renewals
  // by seconds.
  std::unordered_set<std::string> tried_keys;
  for (size_t i = 0; i < preemptors.size(); ++i) {
    const auto& [job, fit_key] = preemptors[i];
    if (job->desired.spec.rank <= victim.desired.spec.rank) break;  // the queue is sorted by rank
    if (tried_keys.count(fit_key) || preemptor_reservations_.has(job->desired.spec.id)) continue;
    if (auto planned_placements = slot_finder_.find_room_for_all_tasks(*job, slots))
      return Match{i, std::move(*planned_placements)};
    context_.counters["requeue_rollbacks_total"]++;
    tried_keys.insert(fit_key);
  }
  return std::nullopt;
}

void RequeueAction::commit_requeue(ShardJob& victim, const ShardJob& preemptor,
                                   const PlannedPlacements& planned_placements) {
  const std::string& victim_id = victim.desired.spec.id;
  const std::string& preemptor_id = preemptor.desired.spec.id;
  context_.counters["requeue_commits_total"]++;
  context_.info("requeue_committed victim=" + victim_id + " preemptor=" + preemptor_id);
  victim.desired.not_before = context_.wall + context_.operators.requeue_delay_s;  // the cooldown
  for (auto& placement : victim.desired.placed) placement.stopping = true;
  job_writer_.enqueue(victim_id, WriteCause::stop);
  for (const auto& [machine_id, room] : planned_placements)
    preemptor_reservations_.add(
        {preemptor_id, machine_id, room, context_.now + context_.settings.lease_s});
}

}  // namespace rushtrestle::coordination
