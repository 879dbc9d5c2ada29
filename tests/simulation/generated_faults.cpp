#include "simulation/generated_faults.h"

#include "simulation/scenario.h"

namespace rushtrestle::testing {

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << "{" << fault.at << ", " << fault.kind << ", " << fault.target << ", " << fault.for_s
             << ", " << fault.variant << "}";
}

rc::Gen<Fault> generated_fault() {
  return rc::gen::apply(
      [](int at, int kind, size_t target, int for_s, bool variant) {
        return Fault{static_cast<double>(at), kind, target, static_cast<double>(for_s), variant};
      },
      rc::gen::inRange(20, 110), rc::gen::inRange(0, 33), rc::gen::inRange<size_t>(0, 12),
      rc::gen::inRange(3, 45), rc::gen::arbitrary<bool>());
}

namespace {

void cut_from_state_and_peers(ClusterSimulation& sim, int node, const Fault& fault) {
  sim.cut(node_name(node), "state", fault.for_s, fault.variant);
  for (int peer = 0; peer < 3; ++peer)
    if (peer != node) sim.cut(node_name(node), node_name(peer), fault.for_s, fault.variant);
}

// A controller loses its workers for longer than cancel_s, while jobs are submitted and cancelled:
// their starts arrive at the end.
void hold_starts_of_cancelled_jobs(ClusterSimulation& sim, const Fault& fault) {
  constexpr bool kHold = true;
  constexpr int kJobs = 3;
  sim.cut_workers(static_cast<int>(fault.target % 3), sim.settings().cancel_s + fault.for_s / 3,
                  kHold);
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "job-held" + std::to_string(static_cast<int>(fault.at)) + "x" +
                           std::to_string(fault.target) + (fault.variant ? "r" : "b") +
                           std::to_string(i);
    store::JobSpec spec = array_job(id, 2, {1, 0, 1}, 200);
    spec.team = fault.variant ? "red" : "blue";
    spec.image = "img-" + std::to_string(i);
    sim.submit(spec, sim.now());
    sim.cancel(spec.id, sim.now() + 1 + i);
  }
}

void restart_twice_within_half_a_second(ClusterSimulation& sim, int node) {
  sim.kill_node(node, 0.1);
  sim.at(sim.now() + 0.3, [&sim, node] { sim.kill_node(node, 0.1); });
}

void change_leaders_repeatedly(ClusterSimulation& sim) {
  for (int k = 0; k < 6; ++k)
    sim.at(sim.now() + 4 * k, [&sim, k] { sim.kill_node(k % 3, k % 2 ? 0.2 : 3); });
}

void repeat_requests(ClusterSimulation& sim, const Fault& fault) {
  const double share = fault.variant ? 0.5 : 1;
  sim.repeat_requests(fault.for_s, share, {1, 2 * sim.settings().cancel_s});
}

}  // namespace

void inject(ClusterSimulation& sim, const Fault& fault) {
  const int node = static_cast<int>(fault.target % 3);
  switch (fault.kind) {
    case 0: sim.kill_node(node, fault.variant ? 0.2 : 5); break;
    case 1:
      for (int i = 0; i < 3; ++i) sim.kill_node(i, 5);
      break;
    case 2: sim.state_outage(fault.for_s); break;
    case 3: sim.refuse_state(node, fault.for_s); break;
    case 4: sim.kill_machine(fault.target); break;
    case 5: sim.hang_machine(fault.target, fault.for_s); break;
    case 6: sim.fail_tasks_on_machine(fault.target, fault.for_s); break;
    case 7: sim.cut_machine(fault.target, fault.for_s, fault.variant, false); break;
    case 8: sim.cut_machine(fault.target, fault.for_s, true, true); break;
    case 9: sim.cut_node(node, fault.for_s, fault.variant); break;
    case 10: sim.cut("node-" + std::to_string(node), "state", fault.for_s, fault.variant); break;
    case 11: sim.throttle_state(fault.for_s); break;
    case 13: sim.slow_state(fault.for_s); break;
    case 12: sim.cut_workers(node, fault.for_s, fault.variant); break;
    case 14: sim.freeze_node(node, fault.for_s); break;
    case 15:
      sim.cut_zone(fault.variant ? "a" : "b", {node}, fault.for_s, fault.target % 2 == 0);
      break;
    case 16: restart_twice_within_half_a_second(sim, node); break;
    case 17: sim.lose_transaction_answers(fault.for_s, 0.3, fault.variant); break;
    case 18: sim.replay_heartbeats_to_new_holders(fault.for_s); break;
    case 19: sim.block_heartbeats(fault.target, fault.for_s); break;
    case 20:
      sim.cancel_running_jobs(1 + fault.target % 4, fault.variant ? fault.for_s / 2 : 0);
      break;
    case 21: sim.cancel_jobs_at_completion(fault.for_s, 0.4); break;
    case 22: sim.query_after_status_changes(fault.for_s); break;
    case 23:  // the state store refuses one controller, then all
      sim.refuse_state(node, 6);
      sim.at(sim.now() + 1 + static_cast<double>(fault.target) / 4,
             [&sim, fault] { sim.state_outage(fault.variant ? 45 : fault.for_s); });
      break;
    case 24:  // loses the state store and the other controllers, but not workers or users
      cut_from_state_and_peers(sim, node, fault);
      break;
    case 25: change_leaders_repeatedly(sim); break;
    case 26: sim.starve_node(node, fault.for_s, fault.variant ? 0.3 : 1.5); break;
    case 27:
      for (int i = 0; i < 3; ++i) sim.starve_node(i, fault.for_s, fault.variant ? 0.2 : 0.8);
      break;
    case 28:
      sim.starve_node(node, 0.1, fault.for_s);
      break;  // a single pause between a decision and the sending of its effects
    case 29: sim.submit_malformed_jobs(fault.for_s); break;
    case 30: hold_starts_of_cancelled_jobs(sim, fault); break;
    case 31: repeat_requests(sim, fault); break;
    default: sim.duplicate_heartbeats(fault.for_s, fault.for_s); break;
  }
}

store::JobSpec random_job(int number, std::mt19937_64& rng) {
  store::JobSpec spec;
  spec.id = "job-" + std::to_string(number);
  spec.team = rng() % 2 ? "red" : "blue";
  const bool service = rng() % 2;
  spec.kind = service ? store::JobKind::service : store::JobKind::array;
  spec.job_class = service ? "gateway" : "batch";
  spec.rank = service ? store::Rank::production : static_cast<store::Rank>(rng() % 3);
  spec.tasks = 1 + static_cast<uint32_t>(rng() % (service ? 3 : 5));
  spec.per_task = rng() % 3 ? store::Resources{2, 0, 4} : store::Resources{4, 1, 8};
  spec.image = "img-" + std::to_string(rng() % 3);
  spec.image_gb = 1 + static_cast<double>(rng() % 3);
  spec.estimate_s = service ? 0 : 3 + static_cast<double>(rng() % 25);
  spec.spread = service && rng() % 2;
  spec.one_zone = !spec.spread && rng() % 3 == 0;
  spec.spot = !service;
  if (!service && rng() % 3 == 0) spec.kind = store::JobKind::gang;
  if (!service && rng() % 2) {
    spec.checkpoint_s = 5;
    spec.save_s = 2;
  }
  return spec;
}

}  // namespace rushtrestle::testing
