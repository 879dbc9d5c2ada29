// Domain types of the scheduler: jobs, machine types, teams, settings. They are plain data that any
// layer may use. Times are in seconds, sizes in GB; amounts of CPUs and GPUs may be fractions.
// The order of members is fixed, because values are also initialized by position.
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
  // Tolerance of comparisons, so that rounding errors in sums of decimal amounts do not matter.
  static constexpr double kSlack = 1e-6;
  /// Whether this amount fits into `room`.
  bool fits(const Resources& room) const {
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack;
  }
  /// Adds `other` multiplied by `times`; a negative `times` subtracts.
  void add(const Resources& other, double times = 1) {
    cpus += other.cpus * times;
    gpus += other.gpus * times;
    memory_gb += other.memory_gb * times;
  }
};

/// Maximum number of tasks of a job, by the protocol.
inline constexpr uint32_t kMaxTasks = 100000;

/// Array: independent tasks. Service: replicas that run until cancelled. Gang: tasks that run
/// together or not at all. Stored as numbers.
enum class JobKind { array, service, gang };
/// Priority, in ascending order. Stored as numbers.
enum class Rank { low, normal, high, production };
/// `cancelled` and `done` are final. Stored as numbers.
enum class JobStatus { open, cancelled, done };

/// A job as submitted by its user.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::array;
  Rank rank = Rank::normal;
  uint32_t tasks = 1;
  Resources per_task;
  std::optional<std::vector<std::string>> types;  // allowed machine types; none: any
  std::optional<std::string> zone;                // required zone; none: any
  bool one_zone = false;                          // all tasks run in the same zone
  bool spread = false;                            // tasks are spread over zones
  bool spot = false;                              // may run on spot machines
  std::string image;
  double image_gb = 0;
  double estimate_s = 0;    // the user's estimate of a task's runtime; 0: none
  double checkpoint_s = 0;  // interval at which a task saves its progress; 0: never
  double save_s = 0;        // time that a task needs to save when it is stopped
  std::optional<double> deadline_s;
};

/// A machine type that the cloud offers.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;        // disk space for images
  double fetch_gb_per_s = 1;  // download rate of images
  double price = 0;           // per hour
  double spot_price = 0;      // per hour
  double boot_s = 0;
  std::vector<std::string> zones;
};

/// The quota of a resource for which the settings set no limit.
constexpr double kNoLimit = std::numeric_limits<double>::infinity();

struct TeamSettings {
  std::string name;
  Resources guarantee;
  Resources quota;  // kNoLimit: unlimited; memory is not limited per team
  /// False for best-effort teams: all resources that they use are borrowed.
  bool has_guarantee() const { return guarantee.cpus > 0 || guarantee.gpus > 0; }
};

/// A service level objective: the fraction `share` of the events of this kind and job class happens
/// within `within_s`.
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

/// The contents of the platform's settings file, read by protocol::read_settings.
struct Settings {
  std::string node;  // this controller's name
  std::string zone;
  std::string listen;       // address for users and workers
  std::string peer_listen;  // address for peers
  std::string cloud;        // address of the cloud
  std::string state;        // address of the state store
  std::vector<PeerSettings> peers;
  int nodes = 0;  // number of controllers, including this one
  std::vector<std::string> zones;
  double clock_error_s = 0;
  std::vector<TeamSettings> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 0;
  double lease_s = 0;
  double cancel_s = 0;
  double gang_wait_s = 0;  // 0: not set
  double gang_peer_s = 0;  // 0: not set
  double state_rps = 0;
  double state_write_rps = 0;
  double value_kb = 0;  // maximum size of a value in the state store
  int txn_ops = 0;      // maximum number of writes in a transaction
  // Announced write rate (`next`), to which the state store may switch without notice; 0: none.
  // It applies once the state store refuses writes for their rate (RequestBudgets). `value_kb` and
  // `txn_ops` are the lower of the current and the announced limit from the start.
  double next_write_rps = 0;
  double cloud_rps = 0;
  double list_lag_s = 0;  // maximum age of the cloud's list of machines
  double cpu_share = 0;   // CPU cores available to this controller
  double memory_mb = 0;
  int max_connections = 0;
};

/// The contents of the operators' settings file, read by protocol::read_operator_settings.
struct OperatorSettings {
  double requeue_delay_s = 60;  // default from the design
  double scan_period_s = 5;
  double share_period_s = 5;
  std::vector<Rank> preemptible = {Rank::low, Rank::normal, Rank::high};
  // Deviates from the design: a team within its guarantee reclaims machines that others borrow.
  bool reclaim_guarantee = true;
  // Packs replicas onto fewer machines where they fit and releases the emptied machines.
  bool consolidate = true;
  std::vector<std::pair<std::string, double>> team_shares;  // weight by team; 1 if absent
};

}  // namespace rushtrestle::store
