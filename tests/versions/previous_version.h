// The boundary between the tests and earlier versions of the core that are linked into them. An
// earlier version is compiled from the repository's history with its namespace renamed, so nothing
// here may name ours: all that passes is JSON, in the form of versions/exchange.h.
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
  /// Takes a batch of commands and gives the effects.
  virtual Json handle(const Json& commands, double steady, double wall) = 0;
};

struct Start {
  Json settings;
  Json operators;
  std::string incarnation;
  uint64_t seed = 0;
};

/// What an earlier version can be asked to do.
struct Version {
  std::unique_ptr<Controller> (*start)(const Start& start) = nullptr;
  /// Reads a record and writes it again: what this version does not know is gone.
  Json (*rewrite_job)(const Json& record) = nullptr;
  Json (*rewrite_machine)(const Json& record) = nullptr;
  /// The same with a list of commands or effects, in the form of versions/exchange.h.
  Json (*rewrite_commands)(const Json& commands) = nullptr;
  Json (*rewrite_effects)(const Json& effects) = nullptr;
};

/// The first recorded version in production.
Version commit_9fefab8();
/// The version in production before gangs were a state machine in their records.
Version commit_a244c51();

}  // namespace previous_versions
