// Generated troubles and work, shared by the tests that play whole schedules of them.
#pragma once
#include <rapidcheck.h>

#include <ostream>
#include <random>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

/// One trouble: what (`kind`), when, to which machine or controller, and for how long.
struct Fault {
  double at;
  int kind;
  size_t which;
  double for_s;
  bool flag;
};

std::ostream& operator<<(std::ostream& out, const Fault& t);

/// Troubles of all kinds within the first two minutes.
rc::Gen<Fault> faults();
void play(ClusterSimulation& w, const Fault& t);

/// A job of any sort, chosen by `rng`.
store::JobSpec random_job(int number, std::mt19937_64& rng);

}  // namespace rushtrestle::testing
