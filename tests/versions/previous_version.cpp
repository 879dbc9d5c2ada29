// Compiled once for each earlier version, with its headers and with its namespace renamed by the
// build, which also names the factory.
#include "versions/previous_version.h"

#include <deque>

#include "versions/earlier_fields.h"

namespace rushtrestle::exchange {
namespace {

using coordination::Command;

class PreviousController final : public previous_versions::Controller {
 public:
  PreviousController(const store::Settings& settings, const store::OperatorSettings& operators,
                     const previous_versions::Start& start)
      : core_(settings, operators, start.incarnation, start.seed) {}

  Json handle(const Json& commands, double steady, double wall) override {
    std::vector<Command> batch;
    load(commands, batch);
    std::deque<Command> queue(std::make_move_iterator(batch.begin()),
                              std::make_move_iterator(batch.end()));
    return save(core_.handle(queue, {steady, wall}));
  }

 private:
  coordination::Core core_;
};

std::unique_ptr<previous_versions::Controller> start(const previous_versions::Start& start) {
  store::Settings settings;
  store::OperatorSettings operators;
  load(start.settings, settings);
  load(start.operators, operators);
  return std::make_unique<PreviousController>(settings, operators, start);
}

Json rewrite_job(const Json& record) { return to_json(store::job_record_from_json(record)); }

Json rewrite_machine(const Json& record) {
  return to_json(store::machine_record_from_json(record));
}

/// Reads a value of the type and writes it again.
template <class T>
Json rewrite(const Json& value) {
  T read;
  load(value, read);
  return save(read);
}

}  // namespace
}  // namespace rushtrestle::exchange

namespace previous_versions {

Version RUSHTRESTLE_VERSION_FACTORY() {
  namespace exchange = rushtrestle::exchange;
  namespace coordination = rushtrestle::coordination;
  return {exchange::start, exchange::rewrite_job, exchange::rewrite_machine,
          exchange::rewrite<std::vector<coordination::Command>>,
          exchange::rewrite<std::vector<coordination::Effect>>};
}

}  // namespace previous_versions
