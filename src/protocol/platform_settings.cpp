#include <algorithm>
#include <set>

#include "protocol/settings.h"
#include "protocol/toml_table.h"

namespace rushtrestle::protocol {

namespace {

using Table = TomlTable;

void read_node(const Table& root, store::Settings& s) {
  s.node = root.text("node");
  s.zone = root.text("area");
  s.listen = root.text("serve_on");
  s.peer_listen = root.text("peer_listen");
  std::set<std::string> names{s.node};
  for (const auto& p : root.list("peers")) {
    s.peers.push_back({p.text("node"), p.text("area"), p.text("peer_addr")});
    if (!names.insert(s.peers.back().node).second)
      throw SettingsError("peers: node '" + s.peers.back().node + "' stands twice");
  }
  const Table services = root.sub("external");
  s.cloud = services.text("cloud");
  s.state = services.text("state");
}

// "A value of 0 means none" (DEPLOY): a best-effort team has 0 for both, and its work is not to be
// refused for it.
double quota_of(const Table& team, const char* key) {
  const double stated = team.number(key, 0);
  if (stated > 0) return stated;
  return store::kNoLimit;
}

void read_teams(const Table& deployment, store::Settings& s) {
  for (const auto& t : deployment.list("teams")) {
    store::TeamSettings team;
    team.name = t.text("name");
    team.guarantee = {t.number("cpus", 0), t.number("gpus", 0), 0};
    team.quota = {quota_of(t, "cpus_max"), quota_of(t, "gpus_max"), 0};
    s.teams.push_back(std::move(team));
  }
  if (s.teams.empty()) throw SettingsError("deployment.teams: none listed");
}

void read_objectives(const Table& deployment, store::Settings& s) {
  for (const auto& o : deployment.list("objectives")) {
    const auto text_or_empty = [&](const char* key) {
      try {
        return o.text(key);
      } catch (const SettingsError&) {
        return std::string();  // not every kind of aim has a class
      }
    };
    s.objectives.push_back({text_or_empty("kind"), text_or_empty("class"),
                            o.number_or("within_s", 0), o.number_or("share", 0)});
  }
}

void read_workers(const Table& w, store::Settings& s) {
  s.heartbeat_interval_s = w.positive("report_s");
  s.lease_s = w.positive("lease_s");
  s.cancel_s = w.positive("cancel_s");
  if (s.lease_s <= s.heartbeat_interval_s)
    throw SettingsError("deployment.workers.lease_s: must be above report_s");
  if (s.cancel_s <= s.lease_s)
    throw SettingsError("deployment.workers.cancel_s: must be above lease_s");
  s.gang_wait_s = w.positive_or("gang_wait_s", 0);
  s.gang_peer_s = w.positive_or("gang_peer_s", 0);
}

void read_state(const Table& st, store::Settings& s) {
  s.state_rps = st.positive("rps");
  s.state_write_rps = st.positive("write_rps");
  s.value_kb = st.positive("value_kb");
  s.txn_ops = st.whole_number("txn_ops", 1);
  if (const auto next = st.sub_if("next")) {
    if (next->has("value_kb")) s.value_kb = std::min(s.value_kb, next->positive("value_kb"));
    if (next->has("txn_ops")) s.txn_ops = std::min(s.txn_ops, next->whole_number("txn_ops", 1));
    if (next->has("write_rps")) s.next_write_rps = next->positive("write_rps");
  }
}

void read_deployment(const Table& d, store::Settings& s) {
  s.nodes = d.whole_number("count", 1);
  if (s.nodes != static_cast<int>(s.peers.size()) + 1)
    throw SettingsError("deployment.count: is " + std::to_string(s.nodes) + ", but " +
                        std::to_string(s.peers.size()) + " peers are listed");
  s.zones = d.texts("zones");
  s.clock_error_s = d.number_or("clock_error_ms", 0) / 1000;
  read_teams(d, s);
  read_objectives(d, s);
  read_workers(d.sub("workers"), s);
  read_state(d.sub("state"), s);
  const Table c = d.sub("cloud");
  s.cloud_rps = c.positive("rps");
  s.list_lag_s = c.number("list_lag_s", 0);
  const Table r = d.sub("resources");
  s.cpu_share = r.positive("cores");
  s.memory_mb = r.positive("ram_mb");
  s.max_connections = r.whole_number("fd_limit", 32);
}

}  // namespace

store::Settings read_settings(const std::string& path) {
  const toml::table parsed = parse_toml_file(path);
  const Table root(parsed, "");
  store::Settings s;
  read_node(root, s);
  read_deployment(root.sub("deployment"), s);
  return s;
}

}  // namespace rushtrestle::protocol
