// What is played: read from a TOML file (docs/scale-run.md lists the fields).
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "store/domain.h"

namespace rushtrestle::scale {

/// Jobs of one kind. Teams are drawn evenly.
struct JobClass {
  store::JobSpec shape;  // id, team and image are drawn for each job
  int images = 1;        // different images of the class
  int least_tasks = 1, most_tasks = 1;
  double run_s = 0;       // of a task, times 0.5 to 1.5; services: until the user cancels
  double per_second = 0;  // arrivals
  int at_start = 0;
  double cancelled_share = 0;  // of arrays, by their users, at some time within `run_s`
};

enum class TroubleKind { kill_workers, cut_workers, restart_workers, kill_controllers };

struct Trouble {
  TroubleKind kind = TroubleKind::kill_workers;
  double at_s = 0, for_s = 0;
  double share = 1;  // of those in the zone, or of all
  std::string zone;  // empty: any
};

struct MachinePool {
  store::MachineType type;
  int capacity = 0;     // a zone
  int up_at_start = 0;  // in all zones together
};

struct Experiment {
  std::string name;
  double seconds = 0;
  uint64_t seed = 1;
  store::Settings platform;  // as the controllers are told, but for node, addresses and peers
  double state_latency_s = 0;
  int finished_jobs = 0;  // records that the state service has from the start
  int team_count = 1;
  double team_cpus = 0, team_cpus_max = 0;
  std::vector<MachinePool> pools;
  std::vector<JobClass> classes;
  std::vector<Trouble> troubles;
  double unknown_polls_per_second = 0;  // for jobs that nobody has submitted
  double repeat_share = 0;              // of accepted submissions that are sent again
  double followed_ends_share = 0;       // of jobs whose end is looked for every quarter second
};

/// Throws protocol::SettingsError that names the field.
Experiment read_experiment(const std::string& path);

/// The settings file of controller `index`, in the platform's form.
std::string controller_settings(const Experiment& experiment, int index);

std::string controller_name(int index);
std::string controller_address(int index);
std::string peer_address(int index);
inline constexpr const char* kStateAddress = "127.0.0.2:17379";
inline constexpr const char* kCloudAddress = "127.0.0.3:17443";

}  // namespace rushtrestle::scale
