// Attributes failed tasks to their job or to their machine: a job that was submitted with a mistake
// fails on every machine, and on a faulty machine every job fails. The functions are pure;
// FailureTracker records the failures and acts on the result.
#pragma once
#include <cstddef>
#include <vector>

namespace rushtrestle::coordination {

/// A job with a task that failed on the assessed machine since that machine last completed a task.
struct FailedJob {
  /// The job is known to run: it completed tasks, or its replicas have run for a worker lease.
  bool known_good = false;
  /// Number of machines, the assessed one included, on which the job failed since it last completed
  /// a task.
  size_t machines_failed_on = 0;
};

enum class MachineVerdict {
  healthy,
  /// The machine gets no more work until retries of its failed jobs show what is at fault.
  suspect,
  faulty
};

/// Returns true if the job has failed on several machines and is not known to run. Its failures
/// are then no evidence against machines.
bool fails_everywhere(const FailedJob& job);

/// Classifies a machine by the different jobs that failed on it. Jobs that fail everywhere don't
/// count.
MachineVerdict classify_machine(const std::vector<FailedJob>& failed);

}  // namespace rushtrestle::coordination
