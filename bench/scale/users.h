// Open-loop users: send submissions, polls, cancellations and repeats, each to a random controller.
#pragma once
#include <random>

#include "jobs.h"
#include "protocol/codec.h"
#include "transport/http_client.h"

namespace rushtrestle::scale {

class Users {
 public:
  Users(transport::EventLoop& event_loop, JobTracker& jobs, const Experiment& experiment,
        std::mt19937_64& random);

  /// Submits the jobs of the start and schedules the arrivals.
  void start();

  struct Figures {
    uint64_t submitted = 0, accepted = 0, given_up = 0, repeated = 0;
    uint64_t requests = 0, answered = 0, refused = 0, unanswered = 0;  // refused: 429 and 503
    std::vector<double> acceptance_s;  // seconds from the first attempt
    // Seconds from the end of a job's last task until its user was told, for followed jobs.
    std::vector<double> done_lag_s;
  };
  const Figures& figures() const { return figures_; }

 private:
  using ResponseHandler = std::function<void(int status, const std::string& state)>;
  void schedule_arrival(const JobClass& job_class);
  void submit_new(const JobClass& job_class);
  void submit(const std::string& id);
  void on_accepted(Job& job);
  void on_refused(Job& job);
  void poll(const std::string& id);
  void poll_until_done(const std::string& id);
  void cancel(const std::string& id);
  void poll_unknown();
  void send_request(const std::string& method, const std::string& target, const std::string& body,
                    double timeout_s, const ResponseHandler& answered);
  double draw(double from, double to) {
    return std::uniform_real_distribution<>(from, to)(random_);
  }

  transport::EventLoop& event_loop_;
  JobTracker& jobs_;
  const Experiment& experiment_;
  std::mt19937_64& random_;
  transport::HttpClient client_;
  uint64_t next_id_ = 0;
  Figures figures_;
};

}  // namespace rushtrestle::scale
