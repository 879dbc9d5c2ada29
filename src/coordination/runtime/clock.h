// The clock reading and the process's own load, which come into the core with each batch of
// commands.
#pragma once

namespace rushtrestle::coordination {

/// What the process knows of itself.
struct ProcessLoad {
  double memory_mb = 0;  // in use; 0: unknown
  double cpu_s = 0;      // processor time used
};

struct Clock {
  double steady = 0;  // seconds, from anywhere
  double wall = 0;    // seconds, time of day
  ProcessLoad load = {};
};

}  // namespace rushtrestle::coordination
