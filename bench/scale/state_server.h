// The simulated state service as a separate process: serves FakeStateStore of the tests over HTTP.
#pragma once
#include <sys/types.h>

#include "experiment.h"

namespace rushtrestle::scale {

/// Forks a process that serves until it is killed, and returns its id once it listens. Throws
/// std::runtime_error if it cannot.
pid_t start_state_server(const Experiment& experiment);

}  // namespace rushtrestle::scale
