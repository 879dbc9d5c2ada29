// Open-loop users: submissions, polls, cancellations and repeats, each to a controller drawn at
// random.
#pragma once
#include <random>

#include "jobs.h"
#include "protocol/codec.h"
#include "transport/http_client.h"

namespace rushtrestle::scale {

class Users {
 public:
  Users(transport::EventLoop& event_loop, JobBook& jobs, const Experiment& experiment,
        std::mt19937_64& random);

  /// Arrivals begin.
  void start();

  struct Figures {
    uint64_t submitted = 0, accepted = 0, given_up = 0, repeated = 0;
    uint64_t requests = 0, answered = 0, refused = 0, unanswered = 0;  // refused: 429 and 503
    std::vector<double> acceptance_s;                                  // from the first attempt
    std::vector<double>
        done_lag_s;  // from a job's last end until its user was told, of those that are followed
  };
  const Figures& figures() const { return figures_; }

 private:
  using Answered = std::function<void(int status, const std::string& state)>;
  void arrivals(const JobClass& job_class);
  void submit_new(const JobClass& job_class);
  void submit(const std::string& id);
  void accepted(Job& job);
  void refused(Job& job);
  void poll(const std::string& id);
  void follow_end(const std::string& id);
  void cancel(const std::string& id);
  void poll_unknown();
  void ask(const std::string& method, const std::string& target, const std::string& body,
           double within_s, const Answered& answered);
  double draw(double from, double to) {
    return std::uniform_real_distribution<>(from, to)(random_);
  }

  transport::EventLoop& event_loop_;
  JobBook& jobs_;
  const Experiment& experiment_;
  std::mt19937_64& random_;
  transport::HttpClient client_;
  uint64_t next_id_ = 0;
  Figures figures_;
};

}  // namespace rushtrestle::scale
