#include "coordination/shard/failure_attribution.h"

#include <algorithm>

#include "coordination/runtime/tunables.h"

namespace rushtrestle::coordination {

bool fails_everywhere(const FailedJob& job) {
  constexpr size_t kMachinesThatAgree = 2;
  return !job.known_good && job.machines_failed_on >= kMachinesThatAgree;
}

MachineVerdict judge_machine(const std::vector<FailedJob>& failed) {
  const auto accusing = std::count_if(failed.begin(), failed.end(),
                                      [](const FailedJob& job) { return !fails_everywhere(job); });
  if (accusing < Tunables::kFaultyJobs) return MachineVerdict::healthy;
  const bool certain = std::any_of(failed.begin(), failed.end(),
                                   [](const FailedJob& job) { return job.known_good; });
  return certain ? MachineVerdict::faulty : MachineVerdict::suspect;
}

}  // namespace rushtrestle::coordination
