// State that all modules of the core share: the clock reading, the settings, outgoing effects.
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

/// A steady time, in seconds, that is earlier than any clock reading.
constexpr double kLongAgo = -1e9;

/// Due time of a module that has no timed work.
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
  /// Returns the team's settings, or null if the settings have no team of this name.
  const store::TeamSettings* team(const std::string& name) const {
    const auto it = teams_.find(name);
    return it == teams_.end() ? nullptr : &settings.teams[it->second];
  }
  /// Best-effort teams have no guarantee: their work runs on borrowed capacity, and the expected
  /// work of other teams takes precedence over it.
  bool is_best_effort(const std::string& team_name) const {
    const auto* known = team(team_name);
    return known && !known->has_guarantee();
  }
  const Tunables tunables;
  const std::string incarnation;
  std::mt19937_64 rng;
  double now = 0, wall = 0;
  ProcessLoad load;
  /// Seconds by which batches run late. A past peak halves with each heartbeat interval.
  double lag = 0;
  std::vector<Effect> effects;  // effects of the current batch
  std::map<std::string, uint64_t> counters;
  LogLine::Level log_level = LogLine::Level::info;

  /// Emits a call; `handler` runs when its CallDone comes in.
  void call(CallBody body, double timeout_s, Handler handler) {
    const CallId id = ++last_call_;
    handlers_[id] = std::move(handler);
    effects.push_back(Call{id, timeout_s, std::move(body)});
  }
  /// Runs the handler of the call that is done.
  void on_call_done(CallDone&& done) {
    auto node = handlers_.extract(done.call);
    if (!node.empty()) node.mapped()(std::move(done));
  }
  /// Returns the period, in seconds, of deferrable work. Lag lengthens it, up to a limit.
  double housekeeping_every(double period_s) const {
    constexpr double kSecondsPerSecondOfLag = 8;
    constexpr double kMaxFactor = 10;
    return std::min(period_s + kSecondsPerSecondOfLag * lag, period_s * kMaxFactor);
  }
  /// Returns a random duration within 25 % of `seconds`.
  double jitter(double seconds) {
    return seconds * std::uniform_real_distribution<>(0.75, 1.25)(rng);
  }
  bool logs(LogLine::Level level) const { return level <= log_level; }
  void log(LogLine::Level level, std::string text) {
    if (logs(level)) effects.push_back(LogLine{level, std::move(text)});
  }
  void info(std::string text) { log(LogLine::Level::info, std::move(text)); }
  void debug(std::string text) { log(LogLine::Level::debug, std::move(text)); }
  /// Logs an error at most once per kind and worker lease, so that a lasting failure does not flood
  /// the log.
  void log_rate_limited(const std::string& kind, const std::string& text) {
    auto& last = last_logged_[kind];
    if (last != 0 && now - last < settings.lease_s) return;
    last = now;
    log(LogLine::Level::error, text);
  }

 private:
  std::unordered_map<std::string, size_t> teams_;  // index in settings.teams by name
  CallId last_call_ = 0;
  std::unordered_map<CallId, Handler> handlers_;
  std::map<std::string, double> last_logged_;
};

}  // namespace rushtrestle::coordination
