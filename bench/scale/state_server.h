// The state service as a process of its own: the stand-in of the tests behind sockets.
#pragma once
#include <sys/types.h>

#include "experiment.h"

namespace rushtrestle::scale {

/// Forks a process that serves until it is killed, and waits until it listens. Throws
/// std::runtime_error when it can't.
pid_t start_state_server(const Experiment& experiment);

}  // namespace rushtrestle::scale
