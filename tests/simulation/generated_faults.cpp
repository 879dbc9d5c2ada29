#include "simulation/generated_faults.h"

namespace rushtrestle::testing {

std::ostream& operator<<(std::ostream& out, const Fault& t) {
  return out << "{" << t.at << ", " << t.kind << ", " << t.which << ", " << t.for_s << ", "
             << t.flag << "}";
}

rc::Gen<Fault> faults() {
  return rc::gen::apply(
      [](int at, int kind, size_t which, int for_s, bool flag) {
        return Fault{static_cast<double>(at), kind, which, static_cast<double>(for_s), flag};
      },
      rc::gen::inRange(20, 110), rc::gen::inRange(0, 30), rc::gen::inRange<size_t>(0, 12),
      rc::gen::inRange(3, 45), rc::gen::arbitrary<bool>());
}

void play(ClusterSimulation& w, const Fault& t) {
  const int n = static_cast<int>(t.which % 3);
  switch (t.kind) {
    case 0: w.kill_node(n, t.flag ? 0.2 : 5); break;
    case 1:
      for (int i = 0; i < 3; ++i) w.kill_node(i, 5);
      break;
    case 2: w.state_outage(t.for_s); break;
    case 3: w.refuse_state(n, t.for_s); break;
    case 4: w.kill_machine(t.which); break;
    case 5: w.hang_machine(t.which, t.for_s); break;
    case 6: w.sick_machine(t.which, t.for_s); break;
    case 7: w.cut_machine(t.which, t.for_s, t.flag, false); break;
    case 8: w.cut_machine(t.which, t.for_s, true, true); break;
    case 9: w.cut_node(n, t.for_s, t.flag); break;
    case 10: w.cut("node-" + std::to_string(n), "state", t.for_s, t.flag); break;
    case 11: w.limit_state(t.for_s); break;
    case 13: w.slow_state(t.for_s); break;
    case 12: w.cut_workers(n, t.for_s, t.flag); break;
    case 14: w.freeze_node(n, t.for_s); break;
    case 15: w.cut_zone(t.flag ? "a" : "b", {n}, t.for_s, t.which % 2 == 0); break;
    case 16:  // back within a fraction of a second, twice
      w.kill_node(n, 0.1);
      w.at(w.now() + 0.3, [&w, n] { w.kill_node(n, 0.1); });
      break;
    case 17: w.unanswered_writes(t.for_s, 0.3, t.flag); break;
    case 18: w.keep_report_copies(t.for_s); break;
    case 19: w.mute_machine(t.which, t.for_s); break;
    case 20: w.cancel_some_now(1 + t.which % 4, t.flag ? t.for_s / 2 : 0); break;
    case 21: w.cancel_at_end(t.for_s, 0.4); break;
    case 22: w.close_looks(t.for_s); break;
    case 23:  // refused alone, then away for all
      w.refuse_state(n, 6);
      w.at(w.now() + 1 + static_cast<double>(t.which) / 4,
           [&w, t] { w.state_outage(t.flag ? 45 : t.for_s); });
      break;
    case 24:  // loses the state service and the other controllers, not its workers or users
      w.cut("node-" + std::to_string(n), "state", t.for_s, t.flag);
      for (int i = 0; i < 3; ++i)
        if (i != n)
          w.cut("node-" + std::to_string(n), "node-" + std::to_string(i), t.for_s, t.flag);
      break;
    case 25:  // leaders change again and again
      for (int k = 0; k < 6; ++k)
        w.at(w.now() + 4 * k, [&w, k] { w.kill_node(k % 3, k % 2 ? 0.2 : 3); });
      break;
    case 26: w.starve_node(n, t.for_s, t.flag ? 0.3 : 1.5); break;
    case 27:
      for (int i = 0; i < 3; ++i) w.starve_node(i, t.for_s, t.flag ? 0.2 : 0.8);
      break;
    case 28:
      w.starve_node(n, 0.1, t.for_s);
      break;  // one pause of any length between a decision and its sending
    default: w.delay_report_copies(t.for_s, t.for_s); break;
  }
}

store::JobSpec random_job(int number, std::mt19937_64& rng) {
  store::JobSpec s;
  s.id = "job-" + std::to_string(number);
  s.team = rng() % 2 ? "red" : "blue";
  const bool service = rng() % 2;
  s.kind = service ? store::JobKind::service : store::JobKind::array;
  s.job_class = service ? "gateway" : "batch";
  s.rank = service ? store::Rank::production : static_cast<store::Rank>(rng() % 3);
  s.tasks = 1 + static_cast<uint32_t>(rng() % (service ? 3 : 5));
  s.per_task = rng() % 3 ? store::Resources{2, 0, 4} : store::Resources{4, 1, 8};
  s.image = "img-" + std::to_string(rng() % 3);
  s.image_gb = 1 + static_cast<double>(rng() % 3);
  s.estimate_s = service ? 0 : 3 + static_cast<double>(rng() % 25);
  s.spread = service && rng() % 2;
  s.one_zone = !s.spread && rng() % 3 == 0;
  s.spot = !service;
  if (!service && rng() % 3 == 0) s.kind = store::JobKind::gang;
  if (!service && rng() % 2) {
    s.checkpoint_s = 5;
    s.save_s = 2;
  }
  return s;
}

}  // namespace rushtrestle::testing
