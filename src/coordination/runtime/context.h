// What all parts of the core share: the clock reading, the settings, the way out.
#pragma once
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <unordered_map>

#include "coordination/runtime/clock.h"
#include "coordination/runtime/messages.h"
#include "coordination/runtime/token_bucket.h"
#include "coordination/runtime/tunables.h"

namespace rushtrestle::coordination {

/// A steady time before any that is told.
constexpr double kLongAgo = -1e9;

/// Of a module that waits for nothing but commands.
constexpr double kNoDueTime = std::numeric_limits<double>::infinity();

class Context {
 public:
  using Handler = std::function<void(CallDone&&)>;
  Context(const store::Settings& s, const store::OperatorSettings& o, std::string incarnation_name,
          uint64_t seed)
      : settings(s),
        operators(o),
        tunables(s),
        incarnation(std::move(incarnation_name)),
        rng(seed) {
    for (size_t i = 0; i < settings.teams.size(); ++i) teams_.emplace(settings.teams[i].name, i);
  }

  const store::Settings settings;
  const store::OperatorSettings operators;
  /// A team's settings; none for a name that the settings don't have.
  const store::TeamSettings* team(const std::string& name) const {
    const auto it = teams_.find(name);
    return it == teams_.end() ? nullptr : &settings.teams[it->second];
  }
  /// Best-effort teams have no guarantee: what they run is borrowed, and the others' expected work
  /// goes before it.
  bool is_best_effort(const std::string& team_name) const {
    const auto* known = team(team_name);
    return known && !known->has_guarantee();
  }
  const Tunables tunables;
  const std::string incarnation;
  std::mt19937_64 rng;
  double now = 0, wall = 0;
  ProcessLoad load;
  double lag =
      0;  // seconds by which batches are late; what it was falls to half in each report interval
  std::vector<Effect> out;
  std::map<std::string, uint64_t> counters;
  LogLine::Level log_level = LogLine::Level::info;

  void call(CallBody body, double timeout_s, Handler handler) {
    const CallId id = ++last_call_;
    handlers_[id] = std::move(handler);
    out.push_back(Call{id, timeout_s, std::move(body)});
  }
  void returned(CallDone&& done) {
    auto node = handlers_.extract(done.call);
    if (!node.empty()) node.mapped()(std::move(done));
  }
  /// Period of work that can wait: longer while batches are late, but never without an end.
  double housekeeping_every(double period_s) const {
    constexpr double kLongerByLag = 8;
    constexpr double kLongestTimes = 10;
    return std::min(period_s + kLongerByLag * lag, period_s * kLongestTimes);
  }
  double jitter(double seconds) {
    return seconds * std::uniform_real_distribution<>(0.75, 1.25)(rng);
  }
  bool logs(LogLine::Level level) const { return level <= log_level; }
  void log(LogLine::Level level, std::string text) {
    if (logs(level)) out.push_back(LogLine{level, std::move(text)});
  }
  void info(std::string text) { log(LogLine::Level::info, std::move(text)); }
  void debug(std::string text) { log(LogLine::Level::debug, std::move(text)); }
  /// Once per kind and lease: a failure that lasts must not flood the log.
  void log_rate_limited(const std::string& kind, const std::string& text) {
    auto& last = last_logged_[kind];
    if (last != 0 && now - last < settings.lease_s) return;
    last = now;
    log(LogLine::Level::error, text);
  }

 private:
  std::unordered_map<std::string, size_t> teams_;  // places in the settings
  CallId last_call_ = 0;
  std::unordered_map<CallId, Handler> handlers_;
  std::map<std::string, double> last_logged_;
};

}  // namespace rushtrestle::coordination
