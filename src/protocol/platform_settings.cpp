#include <algorithm>
#include <set>

#include "protocol/settings.h"
#include "protocol/toml_table.h"

namespace rushtrestle::protocol {

namespace {

void read_node(const TomlTable& root, store::Settings& settings) {
  settings.node = root.string("node");
  settings.zone = root.string("area");
  settings.listen = root.string("serve_on");
  settings.peer_listen = root.string("peer_listen");
  std::set<std::string> names{settings.node};
  for (const auto& peer : root.tables("peers")) {
    settings.peers.push_back({peer.string("node"), peer.string("area"), peer.string("peer_addr")});
    if (!names.insert(settings.peers.back().node).second)
      throw SettingsError("peers: node '" + settings.peers.back().node +
                          "' is listed more than once");
  }
  const TomlTable services = root.subtable("external");
  settings.cloud = services.string("cloud");
  settings.state = services.string("state");
}

// Returns kNoLimit for a quota of 0: "A value of 0 means none" (DEPLOY). A best-effort team has 0
// for both quotas, and its jobs must not be refused for that.
double quota_of(const TomlTable& team, const char* key) {
  const double quota = team.number(key, 0);
  if (quota > 0) return quota;
  return store::kNoLimit;
}

void read_teams(const TomlTable& deployment, store::Settings& settings) {
  for (const auto& table : deployment.tables("teams")) {
    store::TeamSettings team;
    team.name = table.string("name");
    team.guarantee = {table.number("cpus", 0), table.number("gpus", 0), 0};
    team.quota = {quota_of(table, "cpus_max"), quota_of(table, "gpus_max"), 0};
    settings.teams.push_back(std::move(team));
  }
  if (settings.teams.empty()) throw SettingsError("deployment.teams: no team is listed");
}

void read_objectives(const TomlTable& deployment, store::Settings& settings) {
  for (const auto& objective : deployment.tables("objectives")) {
    const auto string_or_empty = [&](const char* key) {
      try {
        return objective.string(key);
      } catch (const SettingsError&) {
        return std::string();  // not every kind of objective has a job class
      }
    };
    settings.objectives.push_back({string_or_empty("kind"), string_or_empty("class"),
                                   objective.number_or("within_s", 0),
                                   objective.number_or("share", 0)});
  }
}

void read_workers(const TomlTable& workers, store::Settings& settings) {
  settings.heartbeat_interval_s = workers.positive("report_s");
  settings.lease_s = workers.positive("lease_s");
  settings.cancel_s = workers.positive("cancel_s");
  if (settings.lease_s <= settings.heartbeat_interval_s)
    throw SettingsError("deployment.workers.lease_s: must be greater than report_s");
  if (settings.cancel_s <= settings.lease_s)
    throw SettingsError("deployment.workers.cancel_s: must be greater than lease_s");
  settings.gang_wait_s = workers.positive_or("gang_wait_s", 0);
  settings.gang_peer_s = workers.positive_or("gang_peer_s", 0);
}

void read_state(const TomlTable& state, store::Settings& settings) {
  settings.state_rps = state.positive("rps");
  settings.state_write_rps = state.positive("write_rps");
  settings.value_kb = state.positive("value_kb");
  settings.txn_ops = state.integer("txn_ops", 1);
  if (const auto next = state.subtable_if_present("next")) {
    if (next->contains("value_kb"))
      settings.value_kb = std::min(settings.value_kb, next->positive("value_kb"));
    if (next->contains("txn_ops"))
      settings.txn_ops = std::min(settings.txn_ops, next->integer("txn_ops", 1));
    if (next->contains("write_rps")) settings.next_write_rps = next->positive("write_rps");
  }
}

void read_deployment(const TomlTable& deployment, store::Settings& settings) {
  settings.nodes = deployment.integer("count", 1);
  if (settings.nodes != static_cast<int>(settings.peers.size()) + 1)
    throw SettingsError("deployment.count: is " + std::to_string(settings.nodes) + ", but " +
                        std::to_string(settings.peers.size()) +
                        " peers are listed; it must be the number of peers plus 1");
  settings.zones = deployment.strings("zones");
  settings.clock_error_s = deployment.number_or("clock_error_ms", 0) / 1000;
  read_teams(deployment, settings);
  read_objectives(deployment, settings);
  read_workers(deployment.subtable("workers"), settings);
  read_state(deployment.subtable("state"), settings);
  const TomlTable cloud = deployment.subtable("cloud");
  settings.cloud_rps = cloud.positive("rps");
  settings.list_lag_s = cloud.number("list_lag_s", 0);
  const TomlTable resources = deployment.subtable("resources");
  settings.cpu_share = resources.positive("cores");
  settings.memory_mb = resources.positive("ram_mb");
  settings.max_connections = resources.integer("fd_limit", 32);
}

}  // namespace

store::Settings read_settings(const std::string& path) {
  const toml::table parsed = parse_toml_file(path);
  const TomlTable root(parsed, "");
  store::Settings settings;
  read_node(root, settings);
  read_deployment(root.subtable("deployment"), settings);
  return settings;
}

}  // namespace rushtrestle::protocol
