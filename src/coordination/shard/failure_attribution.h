// A task failed: is it the job's fault or the machine's? A job that was submitted with a mistake
// fails on every machine, a faulty machine fails every job. Pure functions: FailureTracker keeps
// the evidence and acts on the verdict.
#pragma once
#include <cstddef>
#include <vector>

namespace rushtrestle::coordination {

/// A job of which a task failed on the machine in question since that machine last completed a
/// task.
struct FailedJob {
  /// Known to run elsewhere: it completed tasks, or its replicas have run for a lease.
  bool known_good = false;
  /// The machine in question included; since the job last completed a task.
  size_t machines_failed_on = 0;
};

enum class MachineVerdict {
  healthy,
  /// Gets no more work until its jobs' next tries show whose fault it was.
  suspect,
  faulty
};

/// Does the job fail wherever it is tried, as far as is known? Its failures then are no
/// evidence against machines.
bool fails_everywhere(const FailedJob& job);

/// Different jobs that fail on a machine are evidence against it, but only those that don't fail
/// everywhere.
MachineVerdict judge_machine(const std::vector<FailedJob>& failed);

}  // namespace rushtrestle::coordination
