// What the service talks about: jobs, machines, settings. Plain data, no behaviour.
#pragma once
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace rushtrestle::store {

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;
  // Amounts are decimal numbers; sums of them must not fail by a rounding.
  static constexpr double kSlack = 1e-6;
  bool fits(const Resources& room) const {
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack;
  }
  void add(const Resources& o, double times = 1) {
    cpus += o.cpus * times;
    gpus += o.gpus * times;
    memory_gb += o.memory_gb * times;
  }
};

enum class JobKind { array, service, gang };
enum class Rank { low, normal, high, production };
enum class JobStatus { open, cancelled, done };

struct JobSpec {
  std::string id, job_class, team;
  JobKind kind = JobKind::array;
  Rank rank = Rank::normal;
  uint32_t tasks = 1;
  Resources per_task;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  std::string image;
  double image_gb = 0, estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;
};

struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0, fetch_gb_per_s = 1, price = 0, spot_price = 0, boot_s = 0;
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

struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0;
};

struct PeerSettings {
  std::string node, zone, address;
};

/// The platform's settings file, read by protocol::read_settings.
struct Settings {
  std::string node, zone, listen, peer_listen, cloud, state;
  std::vector<PeerSettings> peers;
  int nodes = 0;
  std::vector<std::string> zones;
  double clock_error_s = 0;
  std::vector<TeamSettings> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 0, lease_s = 0, cancel_s = 0;
  double gang_wait_s = 0, gang_peer_s = 0;  // 0: not told
  double state_rps = 0, state_write_rps = 0, value_kb = 0;
  int txn_ops = 0;
  // The state service falls to `next` without notice: values and transactions keep to the lower
  // from the start (above), the rate follows what is answered. 0: it stays.
  double next_write_rps = 0;
  double cloud_rps = 0, list_lag_s = 0;
  double cpu_share = 0, memory_mb = 0;
  int max_connections = 0;
};

/// The operators' own settings, read by protocol::read_operator_settings.
struct OperatorSettings {
  double requeue_delay_s = 60;  // the design's default
  double scan_period_s = 5, share_period_s = 5;
  std::vector<Rank> preemptible = {Rank::low, Rank::normal, Rank::high};
  // Exception to the design: a team within its guarantee gets machines that another borrows.
  bool reclaim_guarantee = true;
  // Move replicas together and give the machine back when their work fits on fewer.
  bool consolidate = true;
  std::vector<std::pair<std::string, double>> team_shares;  // weight by team, 1 when absent
};

}  // namespace rushtrestle::store
