// A user submits a job whose image name is a text with a byte that is no UTF-8. The page answers a
// malformed submission with 400.
#include <cstdio>

#include "../standins/rig.h"
#include "protocol/cbor.h"

using namespace review;

namespace {

constexpr double kRetryFor = 30;  // the page lets users retry for 60 s

class Case {
 public:
  explicit Case(Rig& rig) : rig_(rig) {}

  void start() {
    rig_.controllers->start_all();
    rig_.balancer->start();
    submit_good();
  }

 private:
  // A user of the ordinary kind: one service of two tasks, then a question every second.
  void submit_good() {
    Job& job = rig_.job("job-000001");
    if (!job.submitted)
      job.spec = job_spec("job-000001", "finder-ops", "switchyard", "daemon", "prod", 2, 1, 2,
                          "img-1", 0.1, 0);
    job.submitted = true;
    good_.request("POST", "/v1/jobs", rushtrestle::protocol::to_cbor(job.spec), 5,
                  [this](int status, const Json& body, int node) {
                    rig_.record("user A: POST job-000001 -> " + std::to_string(status) + " " +
                                text_of(body) + " from node " + std::to_string(node));
                    if (status == 200 || status == 201) return poll();
                    rig_.loop.after(1, [this] { submit_good(); });
                  });
  }

  void poll() {
    good_.request("GET", "/v1/jobs/job-000001", "", 2,
                  [this](int status, const Json& body, int node) {
                    rig_.record("user A: GET job-000001 -> " + std::to_string(status) + " " +
                                text_of(body) + " from node " + std::to_string(node));
                    if (status == 200) {
                      ++answered_;
                    } else if (sent_at_ >= 0) {
                      ++unanswered_;
                    }
                    if (sent_at_ < 0 && status == 200 && body.value("running", 0) == 2)
                      submit_odd();
                    rig_.loop.after(1, [this] { poll(); });
                  });
  }

  void submit_odd() {
    sent_at_ = rig_.now();
    answered_ = unanswered_ = 0;
    spec_ = job_spec("job-000002", "finder-ops", "ironbridge", "array", "normal", 1, 1, 2,
                     rig_.trouble ? std::string("img-caf\xe9") : std::string("img-cafe"), 0.1, 5);
    Job& job = rig_.job("job-000002");
    job.spec = spec_;
    job.submitted = true;
    rig_.loop.after(kRetryFor, [this] { judge(); });
    send_odd();
  }

  void send_odd() {
    odd_.request("POST", "/v1/jobs", rushtrestle::protocol::to_cbor(spec_), 5,
                 [this](int status, const Json& body, int node) {
                   rig_.record("user B: POST job-000002 -> " +
                               (status ? std::to_string(status) : "connection lost, no answer") +
                               " " + text_of(body) + " from node " + std::to_string(node));
                   if (status == 0 && node >= 0) ++no_answer_;
                   if (status == 400 || status == 200 || status == 201) {
                     final_ = status;
                     return;
                   }
                   if (rig_.now() - sent_at_ < kRetryFor)
                     rig_.loop.after(rig_.uniform(1, 1.5), [this] { send_odd(); });
                 });
  }

  void judge() {
    const int ended = rig_.controllers->ended_by_themselves();
    rig_.record("controllers that ended by themselves: " + std::to_string(ended) +
                "; submissions of user B without an answer: " + std::to_string(no_answer_) +
                "; final status: " + std::to_string(final_) + "; polls of user A answered: " +
                std::to_string(answered_) + ", not answered: " + std::to_string(unanswered_));
    if (rig_.trouble) {
      const bool held = ended == 0 && final_ == 400;
      rig_.finish(held ? 0 : 1, held ? "held: the malformed submission got 400"
                                     : "broken: the malformed submission got no 400, and " +
                                           std::to_string(ended) +
                                           " controllers ended by themselves");
    } else {
      const bool held = ended == 0 && (final_ == 200 || final_ == 201);
      rig_.finish(held ? 0 : 1, held ? "held: the well-formed submission was accepted"
                                     : "broken without the disruption");
    }
  }

  Rig& rig_;
  UserConnection good_{rig_}, odd_{rig_};
  Json spec_;
  double sent_at_ = -1;
  int final_ = 0, no_answer_ = 0, answered_ = 0, unanswered_ = 0;
};

}  // namespace

int main(int, char** argv) {
  Deployment d;
  d.types = {{"foundry-32", 32, 0, 128, 30, 0.8, 1.84, 0.76, 3}};
  Rig rig(d, argv[1]);
  Case the_case(rig);
  the_case.start();
  return rig.run(100);
}
