// One controller loses its workers for 42 s; what was sent is held and delivered afterwards.
// Jobs that were submitted at the beginning are cancelled a second later.
#include <cstdio>

#include "../standins/rig.h"
#include "protocol/cbor.h"

using namespace review;

namespace {

constexpr double kCutS = 42;
constexpr int kJobs = 6;

class Case {
 public:
  explicit Case(Rig& rig) : rig_(rig) {}

  void start() {
    rig_.on_start = [this](const std::string& job, uint32_t, const std::string& machine) {
      check(job, machine, "starts");
    };
    rig_.controllers->start_all();
    rig_.balancer->start();
    // Services that stand, so that machines are up, have the image and were sent commands before.
    for (int i = 0; i < kServices; ++i) submit(service_id(i), true);
    wait_until_all_run();
  }

 private:
  static constexpr int kServices = 4;
  static std::string service_id(int i) { return "job-0001" + std::to_string(10 + i); }
  static std::string job_id(int i) { return "job-0002" + std::to_string(10 + i); }

  void submit(const std::string& id, bool service) {
    Job& job = rig_.job(id);
    if (!job.submitted) {
      job.spec = job_spec(id, "exetaseis", "thyroros", "daemon", "prod", service ? 4 : 2, 2, 5.8,
                          "img-1", 1.2, 0);
      job.spec["scatter"] = true;
      job.submitted = true;
      users_.push_back(std::make_unique<UserConnection>(rig_));
      user_of_[id] = users_.back().get();
    }
    user_of_[id]->request("POST", "/v1/jobs", rushtrestle::protocol::to_cbor(job.spec), 5,
                          [this, id, service](int status, const Json& body, int node) {
                            rig_.record("user: POST " + id + " -> " + std::to_string(status) + " " +
                                        text_of(body) + " from node " + std::to_string(node));
                            if (status != 200 && status != 201) {
                              rig_.loop.after(1, [this, id, service] { submit(id, service); });
                              return;
                            }
                            rig_.job(id).accepted_at = rig_.now();
                            if (!service) rig_.loop.after(1, [this, id] { cancel(id); });
                          });
  }

  void cancel(const std::string& id) {
    user_of_[id]->request("POST", "/v1/jobs/" + id + "/abort", "", 5,
                          [this, id](int status, const Json& body, int node) {
                            rig_.record("user: POST " + id + "/abort -> " + std::to_string(status) +
                                        " " + text_of(body) + " from node " + std::to_string(node));
                            const std::string state =
                                body.is_object() ? body.value("status", "") : "";
                            if (status == 200 && state == "withdrawn") {
                              rig_.job(id).withdrawn_at = rig_.now();
                              return;
                            }
                            if (status != 200) rig_.loop.after(1, [this, id] { cancel(id); });
                          });
  }

  void wait_until_all_run() {
    size_t running = 0;
    std::map<int, int> reported;
    for (const auto& [id, worker] : rig_.cloud->workers()) {
      running += worker->tasks_on_machine();
      if (worker->controller() >= 0) ++reported[worker->controller()];
    }
    if (running < kServices * 4) {
      rig_.loop.after(0.2, [this] { wait_until_all_run(); });
      return;
    }
    for (const auto& [controller, workers] : reported)
      if (victim_ < 0 || workers > reported[victim_]) victim_ = controller;
    rig_.record("all services run; the workers report to " + rig_.node(victim_));
    rig_.loop.after(5, [this] { cut(); });
  }

  void cut() {
    if (rig_.trouble) {
      rig_.record("case: " + rig_.node(victim_) + " loses its workers");
      rig_.reports(victim_).hold();
      // Only this controller sends commands to these workers.
      for (const auto& [id, worker] : rig_.cloud->workers()) {
        worker->commands().hold();
        cut_.insert(id);
      }
    }
    for (int i = 0; i < kJobs; ++i) submit(job_id(i), false);
    rig_.loop.after(kCutS, [this] { heal(); });
  }

  void heal() {
    if (rig_.trouble) {
      rig_.record("case: " + rig_.node(victim_) + " has its workers again");
      rig_.reports(victim_).release();
      for (const auto& [id, worker] : rig_.cloud->workers())
        if (cut_.count(id)) worker->commands().release();
    }
    rig_.loop.after(10, [this] { judge(); });
  }

  void check(const std::string& id, const std::string& machine, const char* what) {
    const Job& job = rig_.job(id);
    if (job.withdrawn_at < 0 || rig_.now() - job.withdrawn_at <= rig_.deployment.cancel_s) return;
    ++broken_;
    rig_.record("ran_cancelled: " + id + " " + what + " on " + machine + " " +
                std::to_string(rig_.now() - job.withdrawn_at) + " s after its user was told");
  }

  void judge() {
    int withdrawn = 0;
    for (int i = 0; i < kJobs; ++i) withdrawn += rig_.job(job_id(i)).withdrawn_at >= 0;
    if (rig_.controllers->ended_by_themselves() > 0)
      return rig_.finish(2, "a controller ended by itself");
    if (withdrawn == 0) return rig_.finish(2, "no job was cancelled");
    rig_.finish(broken_ ? 1 : 0, broken_ ? "broken: " + std::to_string(broken_) +
                                               " starts of cancelled jobs after cancel_s"
                                         : "held: no cancelled job ran after cancel_s");
  }

  Rig& rig_;
  std::vector<std::unique_ptr<UserConnection>> users_;
  std::map<std::string, UserConnection*> user_of_;
  std::set<std::string> cut_;
  int victim_ = -1, broken_ = 0;
};

}  // namespace

int main(int, char** argv) {
  Deployment d;  // dimos-exams-llm, with machines that are up sooner
  d.zones = {"thermaikos", "chortiatis"};
  d.teams = {{"vathmologia", 616, 1232, 72, 144}, {"exetaseis", 984, 2208, 120, 224}};
  d.types = {{"lefka-32", 32, 0, 128, 60, 0.4, 1.14, 0.39, 3}};
  d.report_s = 2;
  d.lease_s = 14;
  d.cancel_s = 39;
  d.state_rps = 60;
  d.write_rps = 20;
  d.value_kb = 4;
  d.txn_ops = 8;
  d.state_latency_s = 0.003;
  d.cloud_rps = 8;
  d.list_lag_s = 3;
  d.cores = 0.16;
  d.restart_delay_s = 5;
  d.clock_error_ms = 1000;
  d.gang_wait_s = 50;
  d.gang_peer_s = 8;
  Rig rig(d, argv[1]);
  Case the_case(rig);
  the_case.start();
  return rig.run(110);
}
