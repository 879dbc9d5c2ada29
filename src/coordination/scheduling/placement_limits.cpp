#include "coordination/scheduling/placement_limits.h"

#include <algorithm>
#include <string>

namespace rushtrestle::coordination {

namespace {
// Fields that a record gets after its size is taken: the times of its last start and of its
// cooldown, and the writer's mark.
constexpr size_t kBytesAddedLater = 160;
// Size of a stored placement such as [1, "n-000001", 1, 0] and the comma after it, less its task,
// machine id and attempt.
constexpr size_t kPunctuationBytes = 13;
constexpr double kBytesPerKilobyte = 1024;
constexpr int kConditionsPerOperation = 4;
constexpr int kOtherConditions = 2;  // On the job's key and on the shard's.

size_t digits(uint64_t number) { return std::to_string(number).size(); }
}  // namespace

uint32_t next_pending_task(const store::JobRecord& record, uint32_t from) {
  const uint32_t tasks = record.spec.tasks;
  for (uint32_t task = record.done.first_missing(from); task < tasks;
       task = record.done.first_missing(task + 1))
    if (!record.placement_of(task)) return task;
  return tasks;
}

void PlacementLimits::measure_machine_ids() {
  longest_machine_id_ = 0;
  for (const auto& [id, machine] : state_.machines())
    longest_machine_id_ = std::max(longest_machine_id_, id.size());
}

// A stored record must stay below `value_kb` (KB). This limits the number of tasks placed at once
// and, as the lowest tasks start first, also the number of gaps in the set of done tasks. The end
// of a task adds less to the record than its placement took.
uint32_t PlacementLimits::max_new_placements(const store::JobRecord& record) const {
  const uint32_t tasks = record.spec.tasks;
  const size_t placement_size =
      kPunctuationBytes + digits(tasks) + longest_machine_id_ + digits(record.attempts + tasks);
  const size_t taken = store::stored_size(to_json(record)) + kBytesAddedLater;
  const auto limit = static_cast<size_t>(context_.settings.value_kb * kBytesPerKilobyte);
  if (taken < limit) return static_cast<uint32_t>((limit - taken) / placement_size);
  return record.placed.empty() ? 1 : 0;  // A job with a long description runs one task at a time.
}

size_t PlacementLimits::max_new_machines_per_write() const {
  return static_cast<size_t>(
      std::max(1, context_.settings.txn_ops * kConditionsPerOperation - kOtherConditions));
}

}  // namespace rushtrestle::coordination
