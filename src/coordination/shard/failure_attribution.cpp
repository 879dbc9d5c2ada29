#include "coordination/shard/failure_attribution.h"

#include <algorithm>

#include "coordination/runtime/tunables.h"

namespace rushtrestle::coordination {

bool fails_everywhere(const FailedJob& job) {
  constexpr size_t kMinMachinesFailedOn = 2;
  return !job.known_good && job.machines_failed_on >= kMinMachinesFailedOn;
}

MachineVerdict classify_machine(const std::vector<FailedJob>& failed) {
  const auto counted_jobs = std::count_if(
      failed.begin(), failed.end(), [](const FailedJob& job) { return !fails_everywhere(job); });
  if (counted_jobs < Tunables::kMinFailedJobs) return MachineVerdict::healthy;
  const bool any_known_good = std::any_of(failed.begin(), failed.end(),
                                          [](const FailedJob& job) { return job.known_good; });
  return any_known_good ? MachineVerdict::faulty : MachineVerdict::suspect;
}

}  // namespace rushtrestle::coordination
