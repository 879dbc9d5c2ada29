// The state service refuses one controller alone for 24 s while large arrays run. The changes that
// it then holds for that controller's watch are more than the controller reads in one response.
#include <cstdio>

#include "../standins/rig.h"
#include "protocol/cbor.h"

using namespace review;

namespace {

constexpr double kRefusedS = 24;
constexpr double kUnansweredS = 75;  // the rule's bound
constexpr int kArrays = 16, kLateUsers = 10;
constexpr int kRefused = 1;

class Case {
 public:
  explicit Case(Rig& rig) : rig_(rig) {}

  void start() {
    rig_.record_tasks = false;
    rig_.state->on_watch_answered = [this](int controller, const std::string&, size_t bytes) {
      largest_[controller] = std::max(largest_[controller], bytes);
      if (bytes > 1000000 && ++large_answers_ <= 20)
        rig_.record("state service answers a watch of " + rig_.node(controller) + " with " +
                    std::to_string(bytes) + " bytes");
    };
    rig_.controllers->start_all();
    rig_.balancer->start();
    for (int i = 0; i < kArrays; ++i) submit("job-0003" + std::to_string(10 + i), true);
    wait_for_tasks();
  }

 private:
  struct User {
    std::unique_ptr<UserConnection> connection;
    double accepted_at = -1, answered_at = -1;
    int asked = 0, answered = 0;
  };

  void submit(const std::string& id, bool array) {
    Job& job = rig_.job(id);
    User& user = users_[id];
    if (!job.submitted) {
      job.spec = array ? job_spec(id, "finder-ops", "ironbridge", "array", "normal", 2500, 0.1, 0.3,
                                  "img-1", 0.1, 16)
                       : job_spec(id, "finder-ops", "switchyard", "daemon", "prod", 2, 1, 2,
                                  "img-1", 0.1, 0);
      job.submitted = true;
      user.connection = std::make_unique<UserConnection>(rig_);
    }
    user.connection->request("POST", "/v1/jobs", rushtrestle::protocol::to_cbor(job.spec), 5,
                             [this, id, array](int status, const Json& body, int node) {
                               rig_.record("user: POST " + id + " -> " + std::to_string(status) +
                                           " " + text_of(body) + " from node " +
                                           std::to_string(node));
                               if (status != 200 && status != 201) {
                                 rig_.loop.after(1, [this, id, array] { submit(id, array); });
                                 return;
                               }
                               users_[id].accepted_at = users_[id].answered_at = rig_.now();
                               rig_.loop.after(rig_.uniform(4, 5), [this, id] { poll(id); });
                             });
  }

  void poll(const std::string& id) {
    User& user = users_[id];
    ++user.asked;
    user.connection->request(
        "GET", "/v1/jobs/" + id, "", 2, [this, id](int status, const Json& body, int node) {
          rig_.record("user: GET " + id + " -> " + std::to_string(status) + " " + text_of(body) +
                      " from node " + std::to_string(node));
          User& u = users_[id];
          if (status == 200) {
            ++u.answered;
            u.answered_at = rig_.now();
            if (body.value("status", "") == "done") u.connection->reset();
            if (body.value("status", "") == "done") return;
          }
          rig_.loop.after(rig_.uniform(4.5, 5.5), [this, id] { poll(id); });
        });
  }

  void wait_for_tasks() {
    size_t running = 0;
    for (const auto& [id, worker] : rig_.cloud->workers()) running += worker->tasks_on_machine();
    if (running < 1500) {
      rig_.loop.after(0.2, [this] { wait_for_tasks(); });
      return;
    }
    rig_.record("tasks on machines: " + std::to_string(running));
    epoch_ = rig_.state->epoch();
    if (rig_.trouble) {
      rig_.record("case: the state service refuses " + rig_.node(kRefused));
      rig_.state->refuse(kRefused, true);
    }
    rig_.loop.after(kRefusedS, [this] { go_on(); });
  }

  void go_on() {
    rig_.record("the state service's changes since then: " +
                std::to_string(rig_.state->epoch() - epoch_) + " revisions, " +
                std::to_string(rig_.state->bytes_since(epoch_)) + " bytes in one response");
    if (rig_.trouble) {
      rig_.record("case: the state service serves " + rig_.node(kRefused) + " again");
      rig_.state->refuse(kRefused, false);
    }
    over_at_ = rig_.now();
    bring_late_users();
  }

  // Users come when the load balancer has the node again, and get it as any other.
  void bring_late_users() {
    if (!rig_.balancer->healthy(kRefused)) {
      if (rig_.now() - over_at_ > 12) return rig_.finish(2, "the node did not become healthy");
      rig_.loop.after(0.2, [this] { bring_late_users(); });
      return;
    }
    for (int i = 0; i < kLateUsers; ++i) {
      const std::string id = "job-0004" + std::to_string(10 + i);
      late_.push_back(id);
      rig_.loop.after(0.3 * i, [this, id] { submit(id, false); });
    }
    rig_.loop.after(kUnansweredS + 8, [this] { judge(); });
  }

  void judge() {
    int forgotten = 0;
    for (const auto& [id, user] : users_) {
      rig_.record(id + ": asked " + std::to_string(user.asked) + ", answered " +
                  std::to_string(user.answered));
      const bool open = user.connection->node() >= 0 && user.asked > 0 && user.accepted_at >= 0;
      if (!open) continue;
      const double since = std::max(over_at_, user.answered_at);
      if (rig_.now() - since < kUnansweredS || user.answered_at > over_at_ + kUnansweredS) continue;
      ++forgotten;
      rig_.record("forgotten: no question about " + id + " was answered for " +
                  std::to_string(rig_.now() - since) + " s, all troubles over");
    }
    if (rig_.controllers->ended_by_themselves() > 0)
      return rig_.finish(2, "a controller ended by itself");
    rig_.finish(forgotten ? 1 : 0,
                forgotten ? "broken: " + std::to_string(forgotten) + " accepted jobs forgotten"
                          : "held: all jobs stayed known");
  }

  Rig& rig_;
  std::map<std::string, User> users_;
  std::vector<std::string> late_;
  std::map<int, size_t> largest_;
  int large_answers_ = 0;
  uint64_t epoch_ = 0;
  double over_at_ = 0;
};

}  // namespace

int main(int, char** argv) {
  Deployment d;  // plugpoint-midlands-lean, with machines that are up sooner
  d.cores = 0.036;
  d.memory_mb = 37;
  d.controllers = 5;
  d.capacity = 8;
  d.teams = {{"finder-ops", 400, 1500, 40, 500}};
  d.types = {{"foundry-32", 32, 0, 128, 30, 0.8, 1.84, 0.76, 1.5}};
  Rig rig(d, argv[1]);
  Case the_case(rig);
  the_case.start();
  return rig.run(118);
}
