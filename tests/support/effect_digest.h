// Hashes the effects of the simulated controllers, to show whether a code change altered behaviour.
//
// With the environment variable EFFECT_DIGEST set to a file name, every effect of the simulated
// controllers of the current version, encoded for the wire, goes into one running hash. At the end
// of the process a line with the hash and the number of effects is appended to the file. Log lines
// and `/stats` are left out because their texts may change. tests/effect_digests.sh runs each test
// by itself and prints the lines of all of them.
#pragma once
#include "coordination/core.h"

namespace rushtrestle::testing {

/// Adds an effect of a controller to the hash of this process; does nothing unless EFFECT_DIGEST is
/// set.
void record_effect(const coordination::Effect& effect);

}  // namespace rushtrestle::testing
