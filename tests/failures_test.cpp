// Generated troubles over generated work: whatever comes together, no rule is broken,
// and once the troubles are over all that was accepted is served.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "simulation/generated_faults.h"

namespace rushtrestle::testing {
namespace {

RC_GTEST_PROP(Failures, NoScheduleOfTroublesBreaksARule, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  const auto schedule =
      *rc::gen::resize(8, rc::gen::container<std::vector<Fault>>(generated_fault()));
  ClusterSimulation::Options options;
  options.seed = seed;
  options.trace = std::getenv("WORLD_TRACE") != nullptr;
  ClusterSimulation w(options);
  std::mt19937_64 rng(seed);
  constexpr int kJobs = 24;
  for (int i = 0; i < kJobs; ++i) {
    const double at = 2 + static_cast<double>(rng() % 100);
    w.submit(random_job(i, rng), at);
    if (rng() % 4 == 0)
      w.cancel("job-" + std::to_string(i), at + 5 + static_cast<double>(rng() % 60));
  }
  for (const auto& t : schedule) w.at(t.at, [&w, t] { inject(w, t); });
  w.run_until(330);
  for (const auto& b : w.violations) RC_LOG() << b << "\n";
  RC_ASSERT(w.violations.empty());
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "job-" + std::to_string(i);
    RC_ASSERT(w.accepted(id));
    if (w.cancelled_by_user(id)) continue;
    RC_ASSERT(w.last_reported_status(id).has_value());
    const auto* record = w.stored_value("job/" + id);
    RC_LOG() << id << " " << record->dump() << "\n";
    for (const auto& p : record->value("placed", store::Json::array()))
      RC_LOG() << "  " << w.stored_value("machine/" + p[1].get<std::string>())->dump() << "\n";
    RC_ASSERT(*w.last_reported_status(id) == "done" || w.running(id) > 0);
  }
}

}  // namespace
}  // namespace rushtrestle::testing
