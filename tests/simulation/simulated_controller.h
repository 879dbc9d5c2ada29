// A controller of the simulation: the current core or an earlier version of it.
#pragma once
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/core.h"

namespace rushtrestle::testing {

/// The versions that a simulated controller can run.
enum class ControllerVersion { current, commit_9fefab8, commit_a244c51 };

class SimulatedController {
 public:
  SimulatedController() = default;
  SimulatedController(const SimulatedController&) = delete;
  SimulatedController& operator=(const SimulatedController&) = delete;
  virtual ~SimulatedController() = default;
  virtual std::vector<coordination::Effect> handle(std::deque<coordination::Command>& commands,
                                                   const coordination::Clock& clock) = 0;
  /// Returns the steady time of the next tick in seconds, for use after `handle`; nullopt: this
  /// version is ticked at a fixed interval.
  virtual std::optional<double> next_wakeup() { return std::nullopt; }
};

struct ControllerStart {
  store::Settings settings;
  store::OperatorSettings operators;
  std::string incarnation;
  uint64_t seed = 0;
  coordination::LogLine::Level log_level = coordination::LogLine::Level::error;
};

std::unique_ptr<SimulatedController> start_controller(ControllerVersion version,
                                                      const ControllerStart& start);

}  // namespace rushtrestle::testing
