#include "coordination/scheduling/queue_order.h"

#include <algorithm>
#include <tuple>

#include "coordination/scheduling/best_effort.h"
#include "coordination/scheduling/placement.h"

namespace rushtrestle::coordination {

using store::JobStatus;

std::vector<ShardJob*> QueueOrder::scheduling_queue(int shard) {
  struct Entry {
    store::Rank rank;
    QueueGroup group;
    double due;
    ShardJob* job;
  };
  std::vector<Entry> entries;
  for (const auto& id : state_.pending_jobs()) {
    ShardJob& job = state_.jobs().at(id);
    const auto* durable = state_cache_.job(id);
    if (job.shard != shard || context_.now < job.retry_at || !durable ||
        durable->record.status != JobStatus::open)
      continue;
    if (context_.now > job.avoid_until) job.avoid.clear();
    const auto& record = job.desired;
    const QueueGroup group = group_of(record);
    if (!job.due_after_s) job.due_after_s = due_after_s(record.spec, context_.settings);
    const double due = record.submitted + (group == QueueGroup::in_time ? *job.due_after_s : 0);
    entries.push_back({record.spec.rank, group, due, &job});
  }
  // The sort is stable, so that jobs that compare equal stay in the order of their ids.
  std::stable_sort(entries.begin(), entries.end(), [](const Entry& left, const Entry& right) {
    if (left.rank != right.rank) return left.rank > right.rank;
    return std::tie(left.group, left.due) < std::tie(right.group, right.due);
  });
  std::vector<ShardJob*> queue;
  queue.reserve(entries.size());
  for (const auto& entry : entries) queue.push_back(entry.job);
  return queue;
}

QueueGroup QueueOrder::group_of(const store::JobRecord& record) const {
  if (is_starving(record, context_.wall)) return QueueGroup::starving;
  const auto& spec = record.spec;
  if (spec.deadline_s && context_.wall + spec.estimate_s > record.submitted + *spec.deadline_s)
    return QueueGroup::late;
  return QueueGroup::in_time;
}

}  // namespace rushtrestle::coordination
