#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "coordination/runtime/version.h"
#include "protocol/settings.h"
#include "transport/controller_server.h"

namespace {

/// Exit status for invalid settings or command line arguments.
constexpr int kExitBadSettings = 2;

rushtrestle::coordination::LogLine::Level log_level() {
  using Level = rushtrestle::coordination::LogLine::Level;
  const char* text = std::getenv("LOG_LEVEL");
  const std::string level = text ? text : "error";
  if (level == "error") return Level::error;
  if (level == "info") return Level::info;
  if (level == "debug") return Level::debug;
  throw rushtrestle::protocol::SettingsError("LOG_LEVEL: must be error, info or debug");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Schedules jobs of language model fleets on rented machines"};
  std::string config, operators_file;
  bool check_only = false;
  app.add_option("--config", config, "platform settings file (TOML)")->required();
  app.add_option("--operator-settings", operators_file, "operator settings file (S-expressions)");
  app.add_flag("--check-config", check_only, "check the settings and exit");
  app.set_version_flag("--version",
                       std::string("rushtrestle ") + rushtrestle::coordination::program_version());
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kExitBadSettings;
  }
  try {
    using namespace rushtrestle;
    const auto level = log_level();
    const auto settings = protocol::read_settings(config);
    const auto operators = operators_file.empty()
                               ? store::OperatorSettings{}
                               : protocol::read_operator_settings(operators_file, settings);
    for (const auto& [name, address] : {std::pair{"serve_on", settings.listen},
                                        {"peer_listen", settings.peer_listen},
                                        {"external.cloud", settings.cloud},
                                        {"external.state", settings.state}}) {
      try {
        transport::parse_address(address);
      } catch (const std::invalid_argument& e) {
        throw protocol::SettingsError(std::string(name) + ": " + e.what());
      }
    }
    if (check_only) {
      std::cout << "settings are valid\n";
      return 0;
    }
    auto logger = spdlog::stderr_logger_st("rushtrestle");
    logger->set_level(level == coordination::LogLine::Level::error  ? spdlog::level::err
                      : level == coordination::LogLine::Level::info ? spdlog::level::info
                                                                    : spdlog::level::debug);
    logger->set_pattern("%H:%M:%S.%e %l %v");
    spdlog::set_default_logger(logger);
    std::signal(SIGPIPE, SIG_IGN);
    transport::EventLoop event_loop;
    transport::ControllerServer controller(event_loop, settings, operators, level);
    event_loop.run();
    return 0;
  } catch (const rushtrestle::protocol::SettingsError& e) {
    std::cerr << "rushtrestle: " << e.what() << "\n";
    return kExitBadSettings;
  } catch (const std::exception& e) {
    std::cerr << "rushtrestle: " << e.what() << "\n";
    return 1;
  }
}
