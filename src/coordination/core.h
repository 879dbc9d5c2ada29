// The core of a controller, which owns all of its state. It turns commands and clock readings into
// effects, has no sockets and no clock of its own, and is not thread-safe. Programs that embed the
// scheduler drive it as transport::ControllerServer does.
#pragma once
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "coordination/runtime/clock.h"
#include "coordination/runtime/messages.h"

namespace rushtrestle::coordination {

class Core {
 public:
  /// `incarnation` identifies this run of the controller and must be unique among its runs. `seed`
  /// seeds all random numbers.
  Core(const store::Settings& settings, const store::OperatorSettings& operators,
       std::string incarnation, uint64_t seed, LogLine::Level log_level = LogLine::Level::error);
  ~Core();
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  /// Executes a batch of commands, leaving `commands` empty. The caller has to carry out the
  /// returned effects in order.
  std::vector<Effect> handle(std::deque<Command>& commands, const Clock& clock);
  /// Returns the steady time, in seconds, at which `handle` has to be called with a Tick if no
  /// other command comes before. The caller has to ask for it after each call of `handle`.
  double next_wakeup();

 private:
  class Modules;
  std::unique_ptr<Modules> modules_;
};

}  // namespace rushtrestle::coordination
