// Generators of faults and jobs, shared by the tests that run random schedules of them.
#pragma once
#include <rapidcheck.h>

#include <ostream>
#include <random>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

/// One fault. `kind` is a case of inject(); `at` and `for_s` are its time and duration in seconds.
/// `target` selects the machine or controller, modulo their number; `variant` modifies the fault.
struct Fault {
  double at;
  int kind;
  size_t target;
  double for_s;
  bool variant;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault);

/// Generates a fault of any kind that begins within the first two minutes.
rc::Gen<Fault> generated_fault();
/// Starts the fault now.
void inject(ClusterSimulation& simulation, const Fault& fault);

/// Returns a random job with the id job-`number`.
store::JobSpec random_job(int number, std::mt19937_64& rng);

}  // namespace rushtrestle::testing
