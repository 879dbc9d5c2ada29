// Starts, watches, measures and kills the controller processes of a run.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

#include "experiment.h"

namespace rushtrestle::scale {

struct ProcessUsage {
  double cpu_s = 0;      // CPU time, user and system
  double memory_mb = 0;  // resident
  double peak_mb = 0;    // largest resident
};

ProcessUsage measure_process(pid_t pid);

class Controllers {
 public:
  /// Writes the settings files into a new directory below /tmp.
  Controllers(const Experiment& experiment, std::string program);
  ~Controllers();
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  int count() const { return static_cast<int>(running_.size()); }
  void start(int index);
  void kill(int index);
  bool alive(int index) const { return running_[static_cast<size_t>(index)].pid != 0; }
  /// Describes a controller that exited unexpectedly; empty if none did.
  std::string find_unexpected_exit();
  /// Returns the CPU time of this controller's present and earlier processes together, their
  /// largest peak, and the resident memory of the latest.
  ProcessUsage usage(int index) const;

 private:
  struct Process {
    pid_t pid = 0;  // 0: not running
    ProcessUsage previous;
  };
  std::string settings_file(int index) const {
    return directory_ + "/" + controller_name(index) + ".toml";
  }

  std::string program_, directory_;
  std::vector<Process> running_;
};

/// Kills a child process by its id and waits for its end.
void kill_child(pid_t pid);

}  // namespace rushtrestle::scale
