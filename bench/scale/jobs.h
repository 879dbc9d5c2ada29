// The state of every job of a run as users and workers see it, and checks of the protocol's rules.
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
  double submitted_at = 0, accepted_at = -1, completed_at = -1, done_seen_at = -1,
         cancel_seen_at = -1;
  bool given_up = false;  // the submission was refused until the user stopped trying
  bool cancel_asked = false;
  std::vector<double> run_s;  // by task, as drawn at submission
  std::vector<double> saved;  // by task: seconds of progress in checkpoints
  std::vector<bool> started, completed;
  uint32_t completed_tasks = 0;
  std::map<uint32_t, std::string> on_machine;  // machines by task, for tasks on a machine
  std::map<std::string, int> zones;            // number of those tasks by zone
};

/// The machine on which a task starts.
struct StartLocation {
  std::string machine, type, zone;
  bool spot = false;
};

class JobTracker {
 public:
  explicit JobTracker(const Experiment& experiment) : experiment_(experiment) {}

  Job& add(store::JobSpec spec, std::vector<double> run_s, double now);
  Job* find(const std::string& id);

  // Called by workers when a task starts, leaves its machine or completes.
  void task_on_machine(Job& job, uint32_t task, const StartLocation& place, double now);
  void task_off_machine(Job& job, uint32_t task, const std::string& machine,
                        const std::string& zone);
  void task_completed(Job& job, uint32_t task, double now);

  /// Checks an answer to a user. `sent_after_cancel` and `sent_after_done`: when the request was
  /// sent, the user had already been told that the job was cancelled or done.
  void check_answer(Job& job, int status, const std::string& state, bool sent_after_cancel,
                    bool sent_after_done, double now);
  void check_unknown_job_answer(int status);

  /// Finds jobs that are on machines longer than `cancel_s` after users were told of the
  /// cancellation.
  void check_cancelled(double now);

  std::vector<std::string> violations;
  size_t running_tasks = 0, starts = 0;
  std::vector<double> start_times;  // seconds, one for each start
  // By rank: seconds from acceptance to a task's first start.
  std::map<std::string, std::vector<double>> start_waits;
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }

 private:
  void add_violation(const std::string& rule, const std::string& what);
  void check_location(const Job& job, const StartLocation& place);

  const Experiment& experiment_;
  std::unordered_map<std::string, Job> jobs_;
  std::map<std::string, store::Resources> team_used_;
  // Jobs with tasks on machines whose users were told of the cancellation.
  std::set<std::string> cancelled_;
};

}  // namespace rushtrestle::scale
