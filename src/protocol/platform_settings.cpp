#include <algorithm>
#include <set>

#include "protocol/settings.h"
#include "protocol/toml_table.h"

namespace rushtrestle::protocol {

namespace {

void read_node(const TomlTable& root, store::Settings& settings) {
  settings.node = root.text("node");
  settings.zone = root.text("area");
  settings.listen = root.text("serve_on");
  settings.peer_listen = root.text("peer_listen");
  std::set<std::string> names{settings.node};
  for (const auto& peer : root.list("peers")) {
    settings.peers.push_back({peer.text("node"), peer.text("area"), peer.text("peer_addr")});
    if (!names.insert(settings.peers.back().node).second)
      throw SettingsError("peers: node '" + settings.peers.back().node + "' stands twice");
  }
  const TomlTable services = root.sub("external");
  settings.cloud = services.text("cloud");
  settings.state = services.text("state");
}

// "A value of 0 means none" (DEPLOY): a best-effort team has 0 for both, and its work is not to be
// refused for it.
double quota_of(const TomlTable& team, const char* key) {
  const double stated = team.number(key, 0);
  if (stated > 0) return stated;
  return store::kNoLimit;
}

void read_teams(const TomlTable& deployment, store::Settings& settings) {
  for (const auto& table : deployment.list("teams")) {
    store::TeamSettings team;
    team.name = table.text("name");
    team.guarantee = {table.number("cpus", 0), table.number("gpus", 0), 0};
    team.quota = {quota_of(table, "cpus_max"), quota_of(table, "gpus_max"), 0};
    settings.teams.push_back(std::move(team));
  }
  if (settings.teams.empty()) throw SettingsError("deployment.teams: none listed");
}

void read_objectives(const TomlTable& deployment, store::Settings& settings) {
  for (const auto& objective : deployment.list("objectives")) {
    const auto text_or_empty = [&](const char* key) {
      try {
        return objective.text(key);
      } catch (const SettingsError&) {
        return std::string();  // not every kind of aim has a class
      }
    };
    settings.objectives.push_back({text_or_empty("kind"), text_or_empty("class"),
                                   objective.number_or("within_s", 0),
                                   objective.number_or("share", 0)});
  }
}

void read_workers(const TomlTable& workers, store::Settings& settings) {
  settings.heartbeat_interval_s = workers.positive("report_s");
  settings.lease_s = workers.positive("lease_s");
  settings.cancel_s = workers.positive("cancel_s");
  if (settings.lease_s <= settings.heartbeat_interval_s)
    throw SettingsError("deployment.workers.lease_s: must be above report_s");
  if (settings.cancel_s <= settings.lease_s)
    throw SettingsError("deployment.workers.cancel_s: must be above lease_s");
  settings.gang_wait_s = workers.positive_or("gang_wait_s", 0);
  settings.gang_peer_s = workers.positive_or("gang_peer_s", 0);
}

void read_state(const TomlTable& state, store::Settings& settings) {
  settings.state_rps = state.positive("rps");
  settings.state_write_rps = state.positive("write_rps");
  settings.value_kb = state.positive("value_kb");
  settings.txn_ops = state.whole_number("txn_ops", 1);
  if (const auto next = state.sub_if("next")) {
    if (next->has("value_kb"))
      settings.value_kb = std::min(settings.value_kb, next->positive("value_kb"));
    if (next->has("txn_ops"))
      settings.txn_ops = std::min(settings.txn_ops, next->whole_number("txn_ops", 1));
    if (next->has("write_rps")) settings.next_write_rps = next->positive("write_rps");
  }
}

void read_deployment(const TomlTable& deployment, store::Settings& settings) {
  settings.nodes = deployment.whole_number("count", 1);
  if (settings.nodes != static_cast<int>(settings.peers.size()) + 1)
    throw SettingsError("deployment.count: is " + std::to_string(settings.nodes) + ", but " +
                        std::to_string(settings.peers.size()) + " peers are listed");
  settings.zones = deployment.texts("zones");
  settings.clock_error_s = deployment.number_or("clock_error_ms", 0) / 1000;
  read_teams(deployment, settings);
  read_objectives(deployment, settings);
  read_workers(deployment.sub("workers"), settings);
  read_state(deployment.sub("state"), settings);
  const TomlTable cloud = deployment.sub("cloud");
  settings.cloud_rps = cloud.positive("rps");
  settings.list_lag_s = cloud.number("list_lag_s", 0);
  const TomlTable resources = deployment.sub("resources");
  settings.cpu_share = resources.positive("cores");
  settings.memory_mb = resources.positive("ram_mb");
  settings.max_connections = resources.whole_number("fd_limit", 32);
}

}  // namespace

store::Settings read_settings(const std::string& path) {
  const toml::table parsed = parse_toml_file(path);
  const TomlTable root(parsed, "");
  store::Settings settings;
  read_node(root, settings);
  read_deployment(root.sub("deployment"), settings);
  return settings;
}

}  // namespace rushtrestle::protocol
