// The clock reading and the process's own resource usage, which are passed to the core with each
// batch of commands.
#pragma once

namespace rushtrestle::coordination {

/// Resource usage of this process.
struct ProcessLoad {
  double memory_mb = 0;  // allocated; 0: unknown
  double cpu_s = 0;      // processor time used since the start
};

struct Clock {
  double steady = 0;  // seconds since an arbitrary origin
  double wall = 0;    // seconds since the Unix epoch
  ProcessLoad load = {};
};

}  // namespace rushtrestle::coordination
