// One controller's core in this process, with the state service's stand-in, machines that do what
// they are told, and no network: for counting what a piece of work costs.
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
    int teams = 1;  // which share the machines without a limit that matters
    bool gpu_machines =
        false;  // every second machine is one with GPUs; else all are of one type of 6 CPUs
    double writes_per_second = 0;  // of the state service; 0: enough
  };
  /// Machines stand in two zones.
  explicit LocalController(const Options& options);
  explicit LocalController(int teams) : LocalController(Options{teams, false, 0}) {}

  testing::FakeStateStore& state() { return state_; }
  coordination::Core& core() { return *core_; }
  const store::Settings& settings() const { return settings_; }
  /// Puts a machine into service: its record, and a worker that reports.
  void add_machine(int number);
  /// Reads all keys, takes the only part and leads.
  void start();
  /// Hands one command to the core, and carries out what follows until nothing is under way.
  void handle(coordination::Command command);
  /// Lets time pass, with the ticks that the core asks for.
  void pass(double seconds);
  void submit(const store::JobSpec& spec);
  /// All tasks that run on machines are done.
  void finish_all_tasks();
  coordination::Heartbeat report_of(const std::string& machine);
  double now() const { return now_; }
  static std::string machine_id(int number);

 private:
  void carry_out(coordination::Effect&& effect);
  void answer(const coordination::Call& call);
  void command_worker(const coordination::PushCommands& command, coordination::CallDone& done);
  void work_off();

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
/// An array of tasks of one CPU.
store::JobSpec local_job(int number, uint32_t tasks, int of_teams);

}  // namespace rushtrestle::scale
