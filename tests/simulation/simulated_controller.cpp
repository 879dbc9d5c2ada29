#include "simulation/simulated_controller.h"

#include <utility>

#include "support/effect_digest.h"
#include "versions/current_fields.h"
#include "versions/previous_version.h"

namespace rushtrestle::testing {

namespace {

using coordination::Clock;
using coordination::Command;
using coordination::Effect;

class CurrentController final : public SimulatedController {
 public:
  explicit CurrentController(const ControllerStart& start)
      : core_(start.settings, start.operators, start.incarnation, start.seed, start.log_level) {}
  std::vector<Effect> handle(std::deque<Command>& commands, const Clock& clock) override {
    std::vector<Effect> effects = core_.handle(commands, clock);
    for (const Effect& effect : effects) record_effect(effect);
    return effects;
  }
  std::optional<double> next_wakeup() override { return core_.next_wakeup(); }

 private:
  coordination::Core core_;
};

class EarlierController final : public SimulatedController {
 public:
  EarlierController(const previous_versions::Version& version, const ControllerStart& start)
      : controller_(version.start({exchange::save(start.settings), exchange::save(start.operators),
                                   start.incarnation, start.seed})) {}
  std::vector<Effect> handle(std::deque<Command>& commands, const Clock& clock) override {
    const std::vector<Command> batch(std::make_move_iterator(commands.begin()),
                                     std::make_move_iterator(commands.end()));
    commands.clear();
    std::vector<Effect> effects;
    exchange::load(controller_->handle(exchange::save(batch), clock.steady, clock.wall), effects);
    return effects;
  }

 private:
  std::unique_ptr<previous_versions::Controller> controller_;
};

}  // namespace

std::unique_ptr<SimulatedController> start_controller(ControllerVersion version,
                                                      const ControllerStart& start) {
  switch (version) {
    case ControllerVersion::commit_9fefab8:
      return std::make_unique<EarlierController>(previous_versions::commit_9fefab8(), start);
    case ControllerVersion::commit_a244c51:
      return std::make_unique<EarlierController>(previous_versions::commit_a244c51(), start);
    case ControllerVersion::current: break;
  }
  return std::make_unique<CurrentController>(start);
}

}  // namespace rushtrestle::testing
