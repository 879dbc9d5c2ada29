// The child processes of a run: started, watched, measured and ended by id.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

#include "experiment.h"

namespace rushtrestle::scale {

struct ProcessUse {
  double cpu_s = 0;      // processor time used, user and system
  double memory_mb = 0;  // resident
  double peak_mb = 0;
};

ProcessUse measure_process(pid_t pid);

class Controllers {
 public:
  /// Writes settings files into a fresh directory below /tmp.
  Controllers(const Experiment& experiment, std::string program);
  ~Controllers();
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  int count() const { return static_cast<int>(running_.size()); }
  void start(int index);
  void kill(int index);
  bool alive(int index) const { return running_[static_cast<size_t>(index)].pid != 0; }
  /// Names a controller that has ended by itself; empty: none has.
  std::string ended_by_itself();
  /// Of this controller's present and earlier processes together; memory of the largest.
  ProcessUse use(int index) const;

 private:
  struct Process {
    pid_t pid = 0;  // 0: not running
    ProcessUse earlier;
  };
  std::string settings_file(int index) const {
    return directory_ + "/" + controller_name(index) + ".toml";
  }

  std::string program_, directory_;
  std::vector<Process> running_;
};

/// Kills a child by its id and waits for its end.
void end_child(pid_t pid);

}  // namespace rushtrestle::scale
