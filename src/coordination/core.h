// The core of a controller: one owner of all state. Commands and a clock reading go in, effects
// come out; no sockets, no clock of its own, one thread at a time. Programs that embed the
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
  /// `incarnation` names this run of the controller: no two runs of it may share one. `seed` is
  /// that of all random numbers.
  Core(const store::Settings& settings, const store::OperatorSettings& operators,
       std::string incarnation, uint64_t seed, LogLine::Level log_level = LogLine::Level::error);
  ~Core();
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  /// Works off a batch of commands; the effects are to be carried out in order.
  std::vector<Effect> handle(std::deque<Command>& commands, const Clock& clock);
  /// Steady time at which `handle` wants to be called again with a Tick, if no other command comes
  /// before. To be asked after each call of `handle`.
  double next_wakeup();

 private:
  class Modules;
  std::unique_ptr<Modules> modules_;
};

}  // namespace rushtrestle::coordination
