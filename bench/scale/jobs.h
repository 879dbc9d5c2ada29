// What is known of every job of a run, by users and workers together, and the protocol's rules over
// it.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "experiment.h"

namespace rushtrestle::scale {

struct Job {
  store::JobSpec spec;
  double submitted_at = 0, accepted_at = -1, completed_at = -1, done_told_at = -1,
         cancel_told_at = -1;
  bool given_up = false;  // refused until its user gave up
  bool cancel_asked = false;
  std::vector<double> run_s;  // by task, as drawn
  std::vector<double> saved;  // by task: seconds of progress that are safe
  std::vector<bool> started, completed;
  uint32_t completed_tasks = 0;
  std::map<uint32_t, std::string> on_machine;  // tasks that are on a machine, and where
  std::map<std::string, int> zones;            // of those
};

/// Where a task starts.
struct StartPlace {
  std::string machine, type, zone;
  bool spot = false;
};

class JobBook {
 public:
  explicit JobBook(const Experiment& experiment) : experiment_(experiment) {}

  Job& add(store::JobSpec spec, std::vector<double> run_s, double now);
  Job* find(const std::string& id);

  // What workers see.
  void task_on_machine(Job& job, uint32_t task, const StartPlace& place, double now);
  void task_off_machine(Job& job, uint32_t task, const std::string& machine,
                        const std::string& zone);
  void task_completed(Job& job, uint32_t task, double now);

  // What users are told.
  void told(Job& job, int status, const std::string& state, bool sent_after_cancel,
            bool sent_after_done, double now);
  void told_of_unknown(int status);

  /// Cancelled jobs that are on machines too long.
  void check_cancelled(double now);

  std::vector<std::string> violations;
  size_t running_tasks = 0, starts = 0;
  std::vector<double> start_times;  // of each start
  std::map<std::string, std::vector<double>>
      start_waits;  // by rank: from acceptance to a task's first start
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }

 private:
  void violated(const std::string& rule, const std::string& what);
  void check_place(const Job& job, const StartPlace& place);

  const Experiment& experiment_;
  std::unordered_map<std::string, Job> jobs_;
  std::map<std::string, store::Resources> team_used_;
  std::set<std::string> cancelled_;  // told, and still on machines
};

}  // namespace rushtrestle::scale
