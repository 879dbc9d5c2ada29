// Random schedules of faults with random jobs: no combination breaks a rule of the protocol, and
// all accepted jobs are served once the faults are over.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "simulation/generated_faults.h"
#include "simulation/scenario.h"

namespace rushtrestle::testing {
namespace {

RC_GTEST_PROP(Failures, NoScheduleOfFaultsBreaksARule, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  const auto schedule =
      *rc::gen::resize(8, rc::gen::container<std::vector<Fault>>(generated_fault()));
  ClusterSimulation sim(options_with_seed(seed));
  std::mt19937_64 rng(seed);
  constexpr int kJobs = 24;
  for (int i = 0; i < kJobs; ++i) {
    const double at = 2 + static_cast<double>(rng() % 100);
    sim.submit(random_job(i, rng), at);
    if (rng() % 4 == 0)
      sim.cancel("job-" + std::to_string(i), at + 5 + static_cast<double>(rng() % 60));
  }
  for (const auto& fault : schedule) sim.at(fault.at, [&sim, fault] { inject(sim, fault); });
  sim.run_until(330);
  for (const auto& violation : sim.violations) RC_LOG() << violation << "\n";
  RC_ASSERT(sim.violations.empty());
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "job-" + std::to_string(i);
    RC_ASSERT(sim.accepted(id));
    if (sim.cancelled_by_user(id)) continue;
    RC_ASSERT(sim.last_reported_status(id).has_value());
    const auto* record = sim.stored_value("job/" + id);
    RC_LOG() << id << " " << record->dump() << "\n";
    for (const auto& placement : record->value("placed", store::Json::array()))
      RC_LOG() << "  " << sim.stored_value("machine/" + placement[1].get<std::string>())->dump()
               << "\n";
    RC_ASSERT(*sim.last_reported_status(id) == "done" || sim.running(id) > 0);
  }
}

}  // namespace
}  // namespace rushtrestle::testing
