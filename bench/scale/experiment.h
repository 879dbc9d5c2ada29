// An experiment, read from a TOML file; docs/scale-run.md lists the fields.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "store/domain.h"

namespace rushtrestle::scale {

/// A class of similar jobs. The team of each job is drawn uniformly.
struct JobClass {
  store::JobSpec job_template;  // id, team and image are drawn for each job
  int images = 1;               // number of different images of the class
  int least_tasks = 1, most_tasks = 1;
  // A task of an array runs 0.5 to 1.5 times `run_s` seconds; a service runs until its user
  // cancels it, 0.5 to 1.5 times `run_s` after its submission.
  double run_s = 0;
  double per_second = 0;       // submissions, as a Poisson process
  int at_start = 0;            // jobs that are submitted at the start
  double cancelled_share = 0;  // share of arrays that their users cancel as they do services
};

enum class FaultKind { kill_workers, cut_workers, restart_workers, kill_controllers };

struct Fault {
  FaultKind kind = FaultKind::kill_workers;
  double at_s = 0, for_s = 0;  // start and duration in seconds
  double share = 1;            // of the workers in the zone, or of all workers or controllers
  std::string zone;            // empty: all zones
};

struct MachinePool {
  store::MachineType type;
  int capacity = 0;     // machines per zone
  int up_at_start = 0;  // machines in all zones together
};

struct Experiment {
  std::string name;
  double seconds = 0;
  uint64_t seed = 1;
  store::Settings platform;  // of every controller, except node, addresses and peers
  double state_latency_s = 0;
  int finished_jobs = 0;  // records that the state service holds from the start
  int team_count = 1;
  double team_cpus = 0, team_cpus_max = 0;
  std::vector<MachinePool> pools;
  std::vector<JobClass> classes;
  std::vector<Fault> faults;
  double unknown_polls_per_second = 0;  // for jobs that were never submitted
  double repeat_share = 0;              // share of accepted submissions that are sent again
  double followed_ends_share = 0;       // share of arrays polled every 0.25 s after their last task
};

/// Reads an experiment. Throws protocol::SettingsError that names the faulty field.
Experiment read_experiment(const std::string& path);

/// Returns the text of the settings file of controller `index`.
std::string controller_settings(const Experiment& experiment, int index);

std::string controller_name(int index);
std::string controller_address(int index);
std::string peer_address(int index);
inline constexpr const char* kStateAddress = "127.0.0.2:17379";
inline constexpr const char* kCloudAddress = "127.0.0.3:17443";

}  // namespace rushtrestle::scale
