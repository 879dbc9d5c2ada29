// One controller's core in this process, with a simulated state service, workers that carry out
// commands at once, and no network. It serves to count the cost of operations.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "coordination/core.h"
#include "simulation/fake_state_store.h"

namespace rushtrestle::scale {

class LocalController {
 public:
  struct Options {
    int teams = 1;                 // they share the machines; their limits are never reached
    bool gpu_machines = false;     // half of the machines have GPUs; otherwise all have 6 CPUs
    double writes_per_second = 0;  // of the state service; 0: unlimited
  };
  /// Creates a controller for machines in two zones.
  explicit LocalController(const Options& options);
  explicit LocalController(int teams) : LocalController(Options{teams, false, 0}) {}

  testing::FakeStateStore& state() { return state_; }
  coordination::Core& core() { return *core_; }
  const store::Settings& settings() const { return settings_; }
  /// Adds a machine: its record, and a worker that reports.
  void add_machine(int number);
  /// Lets the controller read all keys, acquire the only shard and become cluster leader.
  void start();
  /// Passes one command to the core and carries out its effects until none is left.
  void handle(coordination::Command command);
  /// Advances the clock, with a tick at each time that the core asks for.
  void advance(double seconds);
  void submit(const store::JobSpec& spec);
  /// Ends all tasks on machines as done and reports them.
  void finish_all_tasks();
  coordination::Heartbeat report_of(const std::string& machine);
  double now() const { return now_; }
  static std::string machine_id(int number);

 private:
  void execute(coordination::Effect&& effect);
  void answer(const coordination::Call& call);
  void command_worker(const coordination::PushCommands& command, coordination::CallDone& done);
  void drain_commands();

  Options options_;
  store::Settings settings_;
  testing::FakeStateStore state_;
  std::unique_ptr<coordination::Core> core_;
  std::map<std::string, coordination::Heartbeat> workers_;  // by address, which is the machine's id
  std::deque<coordination::Command> commands_;
  std::optional<coordination::Call> watch_;
  coordination::RequestId next_request_ = 1;
  double now_ = 1000;
};

std::vector<store::MachineType> local_machine_types(bool with_gpus);
/// Returns an array job whose tasks need one CPU each.
store::JobSpec local_job(int number, uint32_t tasks, int team_count);

}  // namespace rushtrestle::scale
