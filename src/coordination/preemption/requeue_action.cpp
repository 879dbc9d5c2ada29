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
// Least lost work first: jobs that can save their progress, then the ones started last.
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
  // A copy of the picture for each pair took seconds: one picture, rolled back after each trial.
  auto picture = slot_finder_.slots(shard);
  for (ShardJob* victim : candidates) {
    TrialEviction eviction(victim->desired, picture);
    const auto match = first_that_fits(*victim, preemptors, picture);
    if (!match) continue;
    eviction.commit();
    commit_requeue(*victim, *preemptors[match->preemptor].job, match->planned_room);
    preemptors.erase(preemptors.begin() + static_cast<long>(match->preemptor));
    picture = slot_finder_.slots(shard);  // less the room that is reserved now
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

// The first preemptor of a higher rank, in queue order, that fits whole into the picture.
std::optional<RequeueAction::Match> RequeueAction::first_that_fits(
    const ShardJob& victim, const std::vector<Preemptor>& preemptors, std::vector<Slot>& picture) {
  // With hundreds of both, a trial for each pair delayed heartbeats and lease renewals for seconds:
  // jobs of one placement class and number of tasks are tried once.
  std::unordered_set<std::string> classes_tried;
  for (size_t i = 0; i < preemptors.size(); ++i) {
    const auto& [job, placement_class] = preemptors[i];
    if (job->desired.spec.rank <= victim.desired.spec.rank) break;  // the queue is sorted by rank
    if (classes_tried.count(placement_class) || preemptor_reservations_.has(job->desired.spec.id))
      continue;
    if (auto planned_room = slot_finder_.room_for_whole(*job, picture))
      return Match{i, std::move(*planned_room)};
    context_.counters["requeue_rollbacks_total"]++;
    classes_tried.insert(placement_class);
  }
  return std::nullopt;
}

void RequeueAction::commit_requeue(ShardJob& victim, const ShardJob& preemptor,
                                   const PlannedRoom& planned_room) {
  const std::string& victim_id = victim.desired.spec.id;
  const std::string& preemptor_id = preemptor.desired.spec.id;
  context_.counters["requeue_commits_total"]++;
  context_.info("requeue_committed victim=" + victim_id + " preemptor=" + preemptor_id);
  victim.desired.not_before = context_.wall + context_.operators.requeue_delay_s;  // the cooldown
  for (auto& placement : victim.desired.placed) placement.stopping = true;
  job_writer_.enqueue(victim_id, WriteCause::stop);
  for (const auto& [machine_id, room] : planned_room)
    preemptor_reservations_.add(
        {preemptor_id, machine_id, room, context_.now + context_.settings.lease_s});
}

}  // namespace rushtrestle::coordination
