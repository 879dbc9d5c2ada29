#include "protocol/settings.h"

#include <sfsexp/sexp.h>
#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <memory>
#include <optional>
#include <set>
#include <sstream>

namespace rushtrestle::protocol {

namespace {

std::string slurp(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw SettingsError(path + ": can't be read");
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

/// A table and its name, so that a fault can be told by the field's full name.
class Table {
 public:
  Table(const toml::table& t, std::string name) : t_(t), name_(std::move(name)) {}
  Table sub(const char* key) const {
    const auto* t = t_[key].as_table();
    if (!t) throw SettingsError(full(key) + ": table missing");
    return {*t, full(key)};
  }
  std::optional<Table> sub_if(const char* key) const {
    if (!t_.contains(key)) return std::nullopt;
    return sub(key);
  }
  bool has(const char* key) const { return t_.contains(key); }
  std::string text(const char* key) const {
    const auto v = t_[key].value<std::string>();
    if (!v || v->empty()) throw SettingsError(full(key) + ": text missing");
    return *v;
  }
  double number(const char* key, double least, bool exclusive = false) const {
    const auto v = t_[key].value<double>();
    if (!v) throw SettingsError(full(key) + ": number missing");
    if (!std::isfinite(*v) || *v < least || (exclusive && *v <= least))
      throw SettingsError(full(key) + ": must be " + (exclusive ? "above " : "at least ") + std::to_string(least));
    return *v;
  }
  double number_or(const char* key, double fallback) const { return t_.contains(key) ? number(key, 0) : fallback; }
  double positive(const char* key) const { return number(key, 0, true); }
  std::vector<Table> list(const char* key) const {
    std::vector<Table> out;
    const auto* a = t_[key].as_array();
    if (!a) return out;
    for (size_t i = 0; i < a->size(); ++i) {
      const auto* t = (*a)[i].as_table();
      const std::string name = full(key) + "[" + std::to_string(i) + "]";
      if (!t) throw SettingsError(name + ": must be a table");
      out.emplace_back(*t, name);
    }
    return out;
  }
  std::vector<std::string> texts(const char* key) const {
    std::vector<std::string> out;
    const auto* a = t_[key].as_array();
    if (!a) throw SettingsError(full(key) + ": list missing");
    for (const auto& v : *a) {
      const auto s = v.value<std::string>();
      if (!s) throw SettingsError(full(key) + ": must hold texts");
      out.push_back(*s);
    }
    return out;
  }

 private:
  std::string full(const char* key) const { return name_.empty() ? key : name_ + "." + key; }
  const toml::table& t_;
  std::string name_;
};

}  // namespace

store::Settings read_settings(const std::string& path) {
  toml::table parsed;
  try {
    parsed = toml::parse(slurp(path), path);
  } catch (const toml::parse_error& e) {
    std::ostringstream why;
    why << path << ": line " << e.source().begin.line << ": " << e.description();
    throw SettingsError(why.str());
  }
  const Table root(parsed, "");
  store::Settings s;
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
  const Table d = root.sub("deployment");
  s.nodes = static_cast<int>(d.number("count", 1));
  if (s.nodes != static_cast<int>(s.peers.size()) + 1)
    throw SettingsError("deployment.count: is " + std::to_string(s.nodes) + ", but " + std::to_string(s.peers.size()) +
                        " peers are listed");
  s.zones = d.texts("zones");
  s.clock_error_s = d.number_or("clock_error_ms", 0) / 1000;
  for (const auto& t : d.list("teams")) {
    store::TeamSettings team;
    team.name = t.text("name");
    team.guarantee = {t.number("cpus", 0), t.number("gpus", 0), 0};
    team.limit = {t.number("cpus_max", 0), t.number("gpus_max", 0), 0};
    s.teams.push_back(std::move(team));
  }
  if (s.teams.empty()) throw SettingsError("deployment.teams: none listed");
  for (const auto& o : d.list("objectives")) {
    const auto text_or_empty = [&](const char* key) {
      try {
        return o.text(key);
      } catch (const SettingsError&) {
        return std::string();  // not every kind of aim has a class
      }
    };
    s.objectives.push_back(
        {text_or_empty("kind"), text_or_empty("class"), o.number_or("within_s", 0), o.number_or("share", 0)});
  }
  const Table w = d.sub("workers");
  s.report_s = w.positive("report_s");
  s.lease_s = w.positive("lease_s");
  s.cancel_s = w.positive("cancel_s");
  if (s.lease_s <= s.report_s) throw SettingsError("deployment.workers.lease_s: must be above report_s");
  if (s.cancel_s <= s.lease_s) throw SettingsError("deployment.workers.cancel_s: must be above lease_s");
  s.gang_wait_s = w.number_or("gang_wait_s", 0);
  s.gang_peer_s = w.number_or("gang_peer_s", 0);
  const Table st = d.sub("state");
  s.state_rps = st.positive("rps");
  s.state_write_rps = st.positive("write_rps");
  s.value_kb = st.positive("value_kb");
  s.txn_ops = static_cast<int>(st.number("txn_ops", 1));
  if (const auto next = st.sub_if("next")) {
    if (next->has("value_kb")) s.value_kb = std::min(s.value_kb, next->positive("value_kb"));
    if (next->has("txn_ops")) s.txn_ops = std::min(s.txn_ops, static_cast<int>(next->number("txn_ops", 1)));
    if (next->has("write_rps")) s.next_write_rps = next->positive("write_rps");
  }
  const Table c = d.sub("cloud");
  s.cloud_rps = c.positive("rps");
  s.list_lag_s = c.number("list_lag_s", 0);
  const Table r = d.sub("resources");
  s.cpu_share = r.positive("cores");
  s.memory_mb = r.positive("ram_mb");
  s.max_connections = static_cast<int>(r.number("fd_limit", 32));
  return s;
}

namespace {

const char* rank_name(store::Rank r) {
  static constexpr const char* kNames[] = {"low", "normal", "high", "production"};
  return kNames[static_cast<int>(r)];
}

/// The reader gives no line numbers, so each top-level form is cut out and parsed by itself.
struct Form {
  std::string text;
  int line;
};

std::vector<Form> split_forms(const std::string& text) {
  std::vector<Form> forms;
  int line = 1, depth = 0, start_line = 1;
  std::string current;
  bool comment = false, quoted = false;
  for (const char c : text) {
    if (comment) {
      if (c != '\n') continue;
      comment = false;
    }
    if (c == '"') quoted = !quoted;
    if (c == ';' && !quoted) {
      comment = true;
      continue;
    }
    if (depth == 0 && c != '(' && !std::isspace(static_cast<unsigned char>(c)))
      throw SettingsError("line " + std::to_string(line) + ": expected a form in parentheses");
    if (c == '(' && !quoted && depth++ == 0) start_line = line;
    if (depth > 0) current += c == '\n' ? ' ' : c;
    if (c == ')' && !quoted && depth > 0 && --depth == 0) {
      forms.push_back({std::move(current), start_line});
      current.clear();
    }
    if (c == '\n') ++line;
  }
  if (depth != 0) throw SettingsError("line " + std::to_string(start_line) + ": form is not closed");
  return forms;
}

}  // namespace

store::OperatorSettings parse_operator_settings(const std::string& text, const store::Settings& platform) {
  store::OperatorSettings s;
  for (const auto& form : split_forms(text)) {
    const auto fail = [&](const std::string& why) -> SettingsError {
      return SettingsError("line " + std::to_string(form.line) + ": " + why);
    };
    std::string copy = form.text;
    const std::unique_ptr<sexp_t, void (*)(sexp_t*)> tree(parse_sexp(copy.data(), copy.size()), destroy_sexp);
    if (!tree || tree->ty != SEXP_LIST || !tree->list || tree->list->ty != SEXP_VALUE) throw fail("not a setting");
    const std::string name = tree->list->val;
    const sexp_t* args = tree->list->next;
    const auto number = [&](const sexp_t* at) {
      double v = 0;
      if (!at || at->ty != SEXP_VALUE) throw fail(name + ": a number is missing");
      const char* end = at->val + std::char_traits<char>::length(at->val);
      const auto [p, ec] = std::from_chars(at->val, end, v);
      if (ec != std::errc{} || p != end || !std::isfinite(v)) throw fail(name + ": '" + at->val + "' is no number");
      return v;
    };
    const auto one_positive = [&] {
      const double v = number(args);
      if (v <= 0) throw fail(name + ": must be above 0");
      if (args->next) throw fail(name + ": takes one number");
      return v;
    };
    if (name == "requeue-delay") {
      s.requeue_delay_s = one_positive();
    } else if (name == "scan-period") {
      s.scan_period_s = one_positive();
    } else if (name == "share-period") {
      s.share_period_s = one_positive();
    } else if (name == "reclaim-guarantee" || name == "consolidate") {
      const std::string v = args && args->ty == SEXP_VALUE && !args->next ? args->val : "";
      if (v != "on" && v != "off") throw fail(name + ": takes on or off");
      (name == "consolidate" ? s.consolidate : s.reclaim_guarantee) = v == "on";
    } else if (name == "preemptible") {
      s.preemptible.clear();
      for (const sexp_t* a = args; a; a = a->next) {
        bool known = false;
        for (const auto r : {store::Rank::low, store::Rank::normal, store::Rank::high, store::Rank::production})
          if (a->ty == SEXP_VALUE && std::string(rank_name(r)) == a->val) {
            s.preemptible.push_back(r);
            known = true;
          }
        if (!known) throw fail("preemptible: ranks are low, normal, high and production");
      }
    } else if (name == "team-share") {
      if (!args || args->ty != SEXP_VALUE) throw fail("team-share: a team's name is missing");
      const std::string team = args->val;
      if (std::none_of(platform.teams.begin(), platform.teams.end(), [&](const auto& t) { return t.name == team; }))
        throw fail("team-share: no team '" + team + "'");
      const double share = number(args->next);
      if (share <= 0 || args->next->next) throw fail("team-share: takes a team and one number above 0");
      s.team_shares.emplace_back(team, share);
    } else {
      throw fail("unknown setting '" + name + "'");
    }
  }
  return s;
}

store::OperatorSettings read_operator_settings(const std::string& path, const store::Settings& platform) {
  try {
    return parse_operator_settings(slurp(path), platform);
  } catch (const SettingsError& e) {
    const std::string why = e.what();
    throw SettingsError(why.rfind(path, 0) == 0 ? why : path + ": " + why);
  }
}

}  // namespace rushtrestle::protocol
