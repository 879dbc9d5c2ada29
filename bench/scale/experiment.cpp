#include "experiment.h"

#include <algorithm>
#include <array>
#include <sstream>

#include "protocol/toml_table.h"

namespace rushtrestle::scale {

using protocol::SettingsError;
using protocol::TomlTable;

namespace {

template <class Value, size_t N>
Value parse_enum(const TomlTable& table, const char* key,
                 const std::array<std::pair<const char*, Value>, N>& words) {
  const std::string text = table.string(key);
  std::string allowed;
  for (const auto& [word, value] : words) {
    if (text == word) return value;
    allowed += std::string(allowed.empty() ? "" : ", ") + word;
  }
  throw SettingsError(table.qualified_name(key) + ": must be one of " + allowed);
}

double read_share(const TomlTable& table, const char* key, double fallback) {
  const double value = table.contains(key) ? table.number(key, 0) : fallback;
  if (value > 1) throw SettingsError(table.qualified_name(key) + ": must be at most 1");
  return value;
}

int count_or(const TomlTable& table, const char* key, int fallback) {
  return table.contains(key) ? table.integer(key, 0) : fallback;
}

JobClass read_class(const TomlTable& t) {
  using store::JobKind;
  using store::Rank;
  JobClass c;
  c.job_template.job_class = t.string("name");
  c.job_template.kind = parse_enum<JobKind, 2>(
      t, "sort", {{{"array", JobKind::array}, {"service", JobKind::service}}});
  c.job_template.rank = parse_enum<Rank, 4>(t, "rank",
                                            {{{"idle", Rank::low},
                                              {"normal", Rank::normal},
                                              {"urgent", Rank::high},
                                              {"prod", Rank::production}}});
  c.job_template.per_task = {t.positive("cpus"), t.number_or("gpus", 0), t.positive("memory_gb")};
  c.job_template.image_gb = t.number_or("image_gb", 0);
  c.job_template.spread = t.bool_or("spread", false);
  c.images = std::max(1, count_or(t, "images", 1));
  c.least_tasks = t.integer("least_tasks", 1);
  c.most_tasks = t.integer("most_tasks", c.least_tasks);
  c.run_s = t.positive("run_s");
  if (c.job_template.kind == JobKind::array) c.job_template.estimate_s = c.run_s;
  if (t.contains("due_s")) c.job_template.deadline_s = t.positive("due_s");
  c.job_template.checkpoint_s = t.number_or("checkpoint_s", 0);
  c.job_template.save_s = t.number_or("save_s", 0);
  c.per_second = t.number_or("per_second", 0);
  c.at_start = count_or(t, "at_start", 0);
  c.cancelled_share = read_share(t, "cancelled_share", 0);
  return c;
}

MachinePool read_pool(const TomlTable& t, const std::vector<std::string>& zones) {
  MachinePool pool;
  pool.type = {t.string("name"),
               {t.positive("cpus"), t.number_or("gpus", 0), t.positive("memory_gb")},
               t.number_or("cache_gb", 100),
               t.positive_or("fetch_gb_per_s", 1),
               t.positive("price"),
               t.positive("price"),
               t.positive("boot_s"),
               zones};
  pool.capacity = t.integer("capacity", 1);
  pool.up_at_start = count_or(t, "up_at_start", 0);
  if (pool.up_at_start > pool.capacity * static_cast<int>(zones.size()))
    throw SettingsError(t.qualified_name("up_at_start") + ": more than the capacity of all zones");
  return pool;
}

Fault read_fault(const TomlTable& t) {
  Fault fault;
  fault.kind = parse_enum<FaultKind, 4>(t, "kind",
                                        {{{"kill_workers", FaultKind::kill_workers},
                                          {"cut_workers", FaultKind::cut_workers},
                                          {"restart_workers", FaultKind::restart_workers},
                                          {"kill_controllers", FaultKind::kill_controllers}}});
  fault.at_s = t.positive("at_s");
  fault.for_s = t.number_or("for_s", 0);
  fault.share = read_share(t, "share", 1);
  if (t.contains("zone")) fault.zone = t.string("zone");
  return fault;
}

}  // namespace

Experiment read_experiment(const std::string& path) {
  const toml::table parsed = protocol::parse_toml_file(path);
  const TomlTable root(parsed, "");
  Experiment e;
  e.name = root.string("name");
  e.seconds = root.positive("seconds");
  constexpr double kMaxSeconds = 1200;
  if (e.seconds > kMaxSeconds) throw SettingsError("seconds: must be at most 1200");
  e.seed = static_cast<uint64_t>(count_or(root, "seed", 1));
  auto& p = e.platform;
  const TomlTable controllers = root.subtable("controllers");
  p.nodes = controllers.integer("count", 1);
  p.memory_mb = controllers.positive("memory_mb");
  p.cpu_share = controllers.positive("cores");
  p.max_connections = controllers.integer("connections", 32);
  const TomlTable state = root.subtable("state");
  p.state_rps = state.positive("rps");
  p.state_write_rps = state.positive("write_rps");
  p.value_kb = state.positive("value_kb");
  p.txn_ops = state.integer("txn_ops", 1);
  e.state_latency_s = state.number_or("latency_ms", 0) / 1000;
  e.finished_jobs = count_or(state, "finished_jobs", 0);
  const TomlTable cloud = root.subtable("cloud");
  p.cloud_rps = cloud.positive("rps");
  p.list_lag_s = cloud.number("list_lag_s", 0);
  const TomlTable workers = root.subtable("workers");
  p.heartbeat_interval_s = workers.positive("report_s");
  p.lease_s = workers.positive("lease_s");
  p.cancel_s = workers.positive("cancel_s");
  p.zones = workers.strings("zones");
  const TomlTable teams = root.subtable("teams");
  e.team_count = teams.integer("count", 1);
  e.team_cpus = teams.number("cpus", 0);
  e.team_cpus_max = teams.positive("cpus_max");
  const TomlTable users = root.subtable("users");
  e.unknown_polls_per_second = users.number_or("unknown_polls_per_second", 0);
  e.repeat_share = read_share(users, "repeat_share", 0);
  e.followed_ends_share = read_share(users, "followed_ends_share", 0);
  for (const auto& t : root.tables("machines")) e.pools.push_back(read_pool(t, p.zones));
  for (const auto& t : root.tables("classes")) e.classes.push_back(read_class(t));
  for (const auto& t : root.tables("troubles")) e.faults.push_back(read_fault(t));
  if (e.pools.empty()) throw SettingsError("machines: none listed");
  if (e.classes.empty()) throw SettingsError("classes: none listed");
  return e;
}

std::string controller_name(int index) { return "controller-" + std::to_string(index); }
std::string controller_address(int index) {
  return "127.0.1." + std::to_string(index + 1) + ":17080";
}
std::string peer_address(int index) { return "127.0.1." + std::to_string(index + 1) + ":17081"; }

std::string controller_settings(const Experiment& e, int index) {
  const auto& p = e.platform;
  const auto zone_of = [&](int i) { return p.zones[static_cast<size_t>(i) % p.zones.size()]; };
  std::ostringstream out;
  out << "node = \"" << controller_name(index) << "\"\narea = \"" << zone_of(index)
      << "\"\nserve_on = \"" << controller_address(index) << "\"\npeer_listen = \""
      << peer_address(index) << "\"\n";
  for (int i = 0; i < p.nodes; ++i)
    if (i != index)
      out << "[[peers]]\nnode = \"" << controller_name(i) << "\"\narea = \"" << zone_of(i)
          << "\"\npeer_addr = \"" << peer_address(i) << "\"\n";
  out << "[external]\ncloud = \"" << kCloudAddress << "\"\nstate = \"" << kStateAddress
      << "\"\n[deployment]\ncount = " << p.nodes << "\nzones = [";
  for (const auto& zone : p.zones) out << "\"" << zone << "\", ";
  out << "]\nclock_error_ms = 1.0\n";
  for (int i = 0; i < e.team_count; ++i)
    out << "[[deployment.teams]]\nname = \"team-" << i << "\"\ncpus = " << e.team_cpus
        << "\ngpus = 0\ncpus_max = " << e.team_cpus_max << "\ngpus_max = 0\n";
  out << "[deployment.workers]\nreport_s = " << p.heartbeat_interval_s
      << "\nlease_s = " << p.lease_s << "\ncancel_s = " << p.cancel_s
      << "\n[deployment.state]\nrps = " << p.state_rps << "\nwrite_rps = " << p.state_write_rps
      << "\nvalue_kb = " << p.value_kb << "\ntxn_ops = " << p.txn_ops
      << "\n[deployment.cloud]\nrps = " << p.cloud_rps << "\nlist_lag_s = " << p.list_lag_s
      << "\n[deployment.resources]\ncores = " << p.cpu_share << "\nram_mb = " << p.memory_mb
      << "\nfd_limit = " << p.max_connections << "\n";
  return out.str();
}

}  // namespace rushtrestle::scale
