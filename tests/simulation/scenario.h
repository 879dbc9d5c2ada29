// What tests in the cluster simulation have in common: job descriptions, options and the first
// violation. Amounts are CPUs, GPUs and GB; times are in seconds.
#pragma once
#include <cstdlib>
#include <string>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

/// Returns a job of team red with an image of 1 GB, for `array_job` and `service_job`.
inline store::JobSpec job_of_team_red(const std::string& id, uint32_t tasks,
                                      const store::Resources& per_task) {
  store::JobSpec spec;
  spec.id = id;
  spec.team = "red";
  spec.tasks = tasks;
  spec.per_task = per_task;
  spec.image = "img";
  spec.image_gb = 1;
  return spec;
}

/// Returns an array of normal priority whose tasks run for about `run_s`.
inline store::JobSpec array_job(const std::string& id, uint32_t tasks,
                                const store::Resources& per_task, double run_s) {
  store::JobSpec spec = job_of_team_red(id, tasks, per_task);
  spec.job_class = "batch";
  spec.kind = store::JobKind::array;
  spec.rank = store::Rank::normal;
  spec.estimate_s = run_s;
  return spec;
}

/// Returns a service of the highest priority.
inline store::JobSpec service_job(const std::string& id, uint32_t tasks,
                                  const store::Resources& per_task) {
  store::JobSpec spec = job_of_team_red(id, tasks, per_task);
  spec.job_class = "gateway";
  spec.kind = store::JobKind::service;
  spec.rank = store::Rank::production;
  return spec;
}

/// Returns a job of the given kind with the highest priority; one that ends runs for five minutes.
inline store::JobSpec small_job(const std::string& id, store::JobKind kind, uint32_t tasks) {
  store::JobSpec spec = service_job(id, tasks, {1, 0, 1});
  spec.kind = kind;
  spec.estimate_s = kind == store::JobKind::service ? 0 : 300;
  return spec;
}

/// Returns default options with this seed. WORLD_TRACE in the environment prints what happens.
inline ClusterSimulation::Options options_with_seed(uint64_t seed) {
  ClusterSimulation::Options options;
  options.seed = seed;
  options.trace = std::getenv("WORLD_TRACE") != nullptr;
  return options;
}

/// Returns the first violation of a rule, or an empty text.
inline std::string first_violation(const ClusterSimulation& sim) {
  return sim.violations.empty() ? "" : sim.violations.front();
}

}  // namespace rushtrestle::testing
