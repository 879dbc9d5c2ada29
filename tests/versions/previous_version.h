// The interface between the tests and the earlier versions of the core that are linked into them.
// An earlier version is compiled from the repository's history with its namespace renamed, so this
// header may not name the current namespace: all data passes as JSON, in the form of
// versions/exchange.h.
#pragma once
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace previous_versions {

using Json = nlohmann::json;

/// One controller of an earlier version.
class Controller {
 public:
  Controller() = default;
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;
  virtual ~Controller() = default;
  /// Handles a batch of commands and returns the effects; both times are in seconds.
  virtual Json handle(const Json& commands, double steady, double wall) = 0;
};

struct Start {
  Json settings;
  Json operators;
  std::string incarnation;
  uint64_t seed = 0;
};

/// The functions that an earlier version provides to the tests.
struct Version {
  std::unique_ptr<Controller> (*start)(const Start& start) = nullptr;
  /// Reads a record and writes it again, without the fields that this version does not know.
  Json (*rewrite_job)(const Json& record) = nullptr;
  Json (*rewrite_machine)(const Json& record) = nullptr;
  /// Reads a list of commands or effects in the form of versions/exchange.h and writes it again.
  Json (*rewrite_commands)(const Json& commands) = nullptr;
  Json (*rewrite_effects)(const Json& effects) = nullptr;
};

/// Returns the first recorded version in production.
Version commit_9fefab8();
/// Returns the version in production before gangs became a state machine in their records.
Version commit_a244c51();

}  // namespace previous_versions
