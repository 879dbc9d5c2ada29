// What the scheduler talks about: jobs, machine types, teams, settings. Plain data, no behaviour;
// any layer may use it. Times are in seconds, sizes in GB, amounts of processors may be fractions.
// Members stand in a fixed order, as values are also built by position.
#pragma once
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rushtrestle::store {

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  // Amounts are decimal numbers; sums of them must not fail by a rounding.
  static constexpr double kSlack = 1e-6;
  /// Whether this much is left in `room`.
  bool fits(const Resources& room) const {
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack;
  }
  /// Adds `other` so many times; negative to subtract.
  void add(const Resources& other, double times = 1) {
    cpus += other.cpus * times;
    gpus += other.gpus * times;
    memory_gb += other.memory_gb * times;
  }
};

/// Array: tasks are independent. Service: replicas that run until cancelled. Gang: tasks that run
/// together or not at all. Stored as numbers.
enum class JobKind { array, service, gang };
/// From the least to the most important. Stored as numbers.
enum class Rank { low, normal, high, production };
/// Stored as numbers.
enum class JobStatus { open, cancelled, done };

/// A job as its user has submitted it.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::array;
  Rank rank = Rank::normal;
  uint32_t tasks = 1;
  Resources per_task;
  std::optional<std::vector<std::string>> types;  // machine types; none: any
  std::optional<std::string> zone;                // none: any
  bool one_zone = false;                          // all tasks in the same
  bool spread = false;                            // over zones
  bool spot = false;                              // may run on spot machines
  std::string image;
  double image_gb = 0;
  double estimate_s = 0;    // the user's guess of a task's runtime; 0: none
  double checkpoint_s = 0;  // a task saves its progress so often; 0: never
  double save_s = 0;        // a task needs so long to save when it is stopped
  std::optional<double> deadline_s;
};

/// A type of machine that the cloud lets.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;        // for images
  double fetch_gb_per_s = 1;  // of images
  double price = 0;           // an hour
  double spot_price = 0;      // an hour
  double boot_s = 0;
  std::vector<std::string> zones;
};

/// The limit of a resource that the settings don't limit for a team.
constexpr double kNoLimit = std::numeric_limits<double>::infinity();

struct TeamSettings {
  std::string name;
  Resources guarantee;
  Resources quota;  // kNoLimit: none; memory is not limited per team
  /// Best-effort teams have no guarantee: whatever they run is borrowed.
  bool has_guarantee() const { return guarantee.cpus > 0 || guarantee.gpus > 0; }
};

/// A service level: `share` of the events of this kind and job class happen within `within_s`.
struct Objective {
  std::string kind;
  std::string job_class;
  double within_s = 0;
  double share = 0;
};

/// Another controller.
struct PeerSettings {
  std::string node;
  std::string zone;
  std::string address;
};

/// The platform's settings file, read by protocol::read_settings.
struct Settings {
  std::string node;  // this controller's name
  std::string zone;
  std::string listen;       // address for users and workers
  std::string peer_listen;  // address for peers
  std::string cloud;        // address of the cloud
  std::string state;        // address of the state store
  std::vector<PeerSettings> peers;
  int nodes = 0;  // controllers, this one included
  std::vector<std::string> zones;
  double clock_error_s = 0;
  std::vector<TeamSettings> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 0;
  double lease_s = 0;
  double cancel_s = 0;
  double gang_wait_s = 0;  // 0: not told
  double gang_peer_s = 0;  // 0: not told
  double state_rps = 0;
  double state_write_rps = 0;
  double value_kb = 0;  // largest value of the state store
  int txn_ops = 0;      // most writes of a transaction
  // The state store falls to `next` without notice: values and transactions keep to the lower
  // from the start (above), the rate follows what is answered. 0: it stays.
  double next_write_rps = 0;
  double cloud_rps = 0;
  double list_lag_s = 0;  // the cloud's list of machines may be so old
  double cpu_share = 0;
  double memory_mb = 0;
  int max_connections = 0;
};

/// The operators' own settings, read by protocol::read_operator_settings.
struct OperatorSettings {
  double requeue_delay_s = 60;  // the design's default
  double scan_period_s = 5;
  double share_period_s = 5;
  std::vector<Rank> preemptible = {Rank::low, Rank::normal, Rank::high};
  // Exception to the design: a team within its guarantee gets machines that another borrows.
  bool reclaim_guarantee = true;
  // Move replicas together and give the machine back when their work fits on fewer.
  bool consolidate = true;
  std::vector<std::pair<std::string, double>> team_shares;  // weight by team, 1 when absent
};

}  // namespace rushtrestle::store
