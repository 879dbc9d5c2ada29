// rushtrestle_scale: runs real controllers with hollow workers, users, and a simulated state
// service and cloud, all on this machine's loopback addresses, and prints its measurements.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "protocol/settings.h"
#include "run.h"

namespace {

constexpr int kFailed = 1;
constexpr int kBadSettings = 2;

void save(const std::string& directory, const std::string& name, const std::string& text) {
  std::filesystem::create_directories(directory);
  std::ofstream out(std::filesystem::path(directory) / name);
  out << text;
  if (!out) throw std::runtime_error("cannot write " + name + " in " + directory);
}

}  // namespace

int main(int argc, char** argv) {
  using namespace rushtrestle;
  CLI::App app{"Runs real controllers with a fleet of hollow workers on this machine"};
  std::string file, output;
  std::string controller = (std::filesystem::path(argv[0]).parent_path() / "rushtrestle").string();
  app.add_option("--experiment", file, "experiment to run (TOML file)")->required();
  app.add_option("--controller", controller, "path of the controller program")
      ->capture_default_str();
  app.add_option("--output", output, "directory in which NAME.json and NAME.txt are written");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kBadSettings;
  }
  spdlog::set_default_logger(spdlog::stderr_logger_st("rushtrestle_scale"));
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const scale::Experiment experiment = scale::read_experiment(file);
    scale::Run run(experiment, controller);
    spdlog::info("{}: {} controllers, {:.0f} s", experiment.name, experiment.platform.nodes,
                 experiment.seconds);
    const store::Json report = run.execute();
    const std::string text = scale::report_text(report);
    std::cout << text;
    if (!output.empty()) {
      save(output, experiment.name + ".json", report.dump() + "\n");
      save(output, experiment.name + ".txt", text);
    }
    if (!run.failure().empty()) spdlog::error("{}", run.failure());
    return run.failure().empty() ? 0 : kFailed;
  } catch (const protocol::SettingsError& e) {
    std::cerr << "rushtrestle_scale: " << e.what() << "\n";
    return kBadSettings;
  } catch (const std::exception& e) {
    std::cerr << "rushtrestle_scale: " << e.what() << "\n";
    return kFailed;
  }
}
