// One run of an experiment: its processes and simulated services, measurements and report.
#pragma once
#include "fleet.h"
#include "processes.h"
#include "users.h"

namespace rushtrestle::scale {

class Run {
 public:
  /// Starts all processes and simulated services. Throws std::runtime_error if one cannot start.
  Run(const Experiment& experiment, const std::string& controller_program);
  ~Run();
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  /// Runs until the time is over, a rule is violated or a process fails; returns the report.
  store::Json execute();
  /// Returns why the run ended early; empty if it did not.
  const std::string& failure() const { return failure_; }
  const std::vector<std::string>& violations() const { return jobs_.violations; }

 private:
  struct Recovery {
    Fault fault;
    double began_at = 0;
    double running_before = 0;
    double lowest_share = 1;
    double recovered_after = -1;  // seconds until 0.98 of the tasks run again; -1: not yet
    // Seconds until the first and until all of the killed controllers are healthy; -1: not yet.
    double first_healthy_after = -1, all_healthy_after = -1;
    std::vector<bool> healthy;
  };
  void sample();
  void check_limits();
  void begin_fault(size_t index);
  void probe_health(size_t recovery, int controller);
  void fail(const std::string& why);
  void collect_statistics();
  void get(const std::string& address, const std::string& path,
           std::function<void(int, const std::string&)> then);
  store::Json report() const;
  store::Json controllers_report() const;
  store::Json faults_report() const;

  const Experiment& experiment_;
  transport::EventLoop event_loop_;
  std::mt19937_64 random_;
  JobTracker jobs_;
  pid_t state_pid_ = 0;
  Controllers controllers_;
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<Users> users_;
  transport::HttpClient probes_;
  double began_at_ = 0;
  std::vector<std::pair<double, size_t>> running_samples_;
  std::vector<Recovery> recoveries_;
  std::string failure_;
  store::Json state_counters_;
  std::vector<store::Json> controller_stats_;
  size_t pending_responses_ = 0;
};

/// Returns the report as text, one value per line.
std::string report_text(const store::Json& report);

}  // namespace rushtrestle::scale
