// What all parts of the core share: the clock reading, the settings, the way out.
#pragma once
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <unordered_map>

#include "coordination/runtime/messages.h"
#include "coordination/runtime/tunables.h"

namespace rushtrestle::coordination {

/// What the process knows of itself.
struct ProcessLoad {
  double memory_mb = 0;  // in use; 0: unknown
  double cpu_s = 0;      // processor time used
};

struct Clock {
  double steady = 0;  // seconds, from anywhere
  double wall = 0;    // seconds, time of day
  ProcessLoad load = {};
};

/// Lets `rate` through per second, with a second's worth at once; may be overdrawn by one use.
class TokenBucket {
 public:
  void set_rate(double rate) { rate_ = rate; }
  bool ready(double now) { return level(now) > 0; }
  /// What is left of a second's worth, as a share of it; below 0: overdrawn.
  double level(double now) {
    tokens_ = std::min(std::max(1.0, rate_), tokens_ + (now - last_) * rate_);
    last_ = now;
    return tokens_ / std::max(1.0, rate_);
  }
  void take(double amount) { tokens_ -= amount; }
  /// When `level` will be above `floor`, if nothing is taken until then.
  double above_at(double floor, double now) {
    const double missing = floor * std::max(1.0, rate_) - level(now) * std::max(1.0, rate_);
    return missing < 0 ? now : now + missing / std::max(kSlowest, rate_);
  }

 private:
  static constexpr double kSlowest =
      1e-3;  // a rate of nothing gives a late time, not a division by zero
  double rate_ = 1, tokens_ = 1, last_ = 0;
};

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
