#include "users.h"

#include "wire.h"

namespace rushtrestle::scale {

namespace {

// Seconds, by the protocol.
constexpr double kSubmissionTimeout = 5, kPollTimeout = 2, kPollInterval = 5;
constexpr double kSubmissionRetryLimit = 60;  // seconds
constexpr double kFollowInterval = 0.25;      // seconds
constexpr size_t kConnections = 2000;

}  // namespace

Users::Users(transport::EventLoop& event_loop, JobTracker& jobs, const Experiment& experiment,
             std::mt19937_64& random)
    : event_loop_(event_loop),
      jobs_(jobs),
      experiment_(experiment),
      random_(random),
      client_(event_loop, kConnections, protocol::kBodyLimit) {}

void Users::start() {
  for (const auto& job_class : experiment_.classes) {
    for (int i = 0; i < job_class.at_start; ++i) submit_new(job_class);
    if (job_class.per_second > 0) schedule_arrival(job_class);
  }
  if (experiment_.unknown_polls_per_second > 0) poll_unknown();
}

void Users::schedule_arrival(const JobClass& job_class) {
  const double pause = std::exponential_distribution<>(job_class.per_second)(random_);
  event_loop_.after(pause, [this, &job_class] {
    submit_new(job_class);
    schedule_arrival(job_class);
  });
}

void Users::submit_new(const JobClass& job_class) {
  store::JobSpec spec = job_class.job_template;
  spec.id = "job-" + std::to_string(++next_id_);
  spec.team = "team-" + std::to_string(random_() % static_cast<uint64_t>(experiment_.team_count));
  spec.image = "image-" + spec.job_class + "-" +
               std::to_string(random_() % static_cast<uint64_t>(job_class.images));
  spec.tasks = static_cast<uint32_t>(
      std::uniform_int_distribution<>(job_class.least_tasks, job_class.most_tasks)(random_));
  std::vector<double> run_s;
  for (uint32_t task = 0; task < spec.tasks; ++task)
    run_s.push_back(job_class.run_s * draw(0.5, 1.5));
  const Job& job = jobs_.add(std::move(spec), std::move(run_s), event_loop_.now());
  ++figures_.submitted;
  const std::string id = job.spec.id;
  submit(id);
  const bool ends_by_user =
      job.spec.kind == store::JobKind::service || draw(0, 1) < job_class.cancelled_share;
  if (ends_by_user) event_loop_.after(job_class.run_s * draw(0.5, 1.5), [this, id] { cancel(id); });
}

void Users::send_request(const std::string& method, const std::string& target,
                         const std::string& body, double timeout_s,
                         const ResponseHandler& answered) {
  ++figures_.requests;
  const auto controller =
      static_cast<int>(random_() % static_cast<uint64_t>(experiment_.platform.nodes));
  client_.request(transport::parse_address(controller_address(controller)), method, target, body,
                  "application/cbor", timeout_s, [this, answered](int status, std::string&& text) {
                    ++(status == 0                      ? figures_.unanswered
                       : status == 429 || status == 503 ? figures_.refused
                                                        : figures_.answered);
                    const auto j = protocol::parse_cbor(text);
                    answered(status, j && j->is_object() ? j->value("status", "") : "");
                  });
}

void Users::submit(const std::string& id) {
  Job& job = *jobs_.find(id);
  const bool was_done = job.done_seen_at >= 0, was_cancelled = job.cancel_seen_at >= 0;
  send_request("POST", "/v1/jobs", encode_submission(job.spec), kSubmissionTimeout,
               [this, &job, was_done, was_cancelled](int status, const std::string& state) {
                 if (status == 200 || status == 201) {
                   jobs_.check_answer(job, 200, state, was_cancelled, was_done, event_loop_.now());
                   if (job.accepted_at < 0) on_accepted(job);
                 } else if (status == 400 || status == 422) {
                   jobs_.violations.push_back("forgotten: " + job.spec.id + " gets " +
                                              std::to_string(status));
                 } else {
                   on_refused(job);
                 }
               });
}

void Users::on_accepted(Job& job) {
  job.accepted_at = event_loop_.now();
  ++figures_.accepted;
  figures_.acceptance_s.push_back(event_loop_.now() - job.submitted_at);
  const std::string id = job.spec.id;
  event_loop_.after(kPollInterval * draw(0.5, 1), [this, id] { poll(id); });
  if (job.spec.kind == store::JobKind::array && draw(0, 1) < experiment_.followed_ends_share)
    poll_until_done(id);
  if (draw(0, 1) >= experiment_.repeat_share) return;
  ++figures_.repeated;
  event_loop_.after(draw(0, kSubmissionRetryLimit), [this, id] { submit(id); });
}

void Users::on_refused(Job& job) {
  if (job.accepted_at >= 0) return;  // a repeat of an accepted submission was refused
  if (event_loop_.now() - job.submitted_at > kSubmissionRetryLimit) {
    job.given_up = true;
    ++figures_.given_up;
    return;
  }
  event_loop_.after(draw(1, 2), [this, id = job.spec.id] { submit(id); });
}

void Users::poll(const std::string& id) {
  Job& job = *jobs_.find(id);
  if (job.done_seen_at >= 0 || job.cancel_seen_at >= 0) return;
  send_request("GET", "/v1/jobs/" + id, "", kPollTimeout,
               [this, &job](int status, const std::string& state) {
                 jobs_.check_answer(job, status, state, false, false, event_loop_.now());
                 event_loop_.after(kPollInterval, [this, id = job.spec.id] { poll(id); });
               });
}

void Users::poll_until_done(const std::string& id) {
  Job& job = *jobs_.find(id);
  if (job.cancel_asked) return;
  const auto again = [this, id] {
    event_loop_.after(kFollowInterval, [this, id] { poll_until_done(id); });
  };
  if (job.completed_at < 0) return again();
  if (job.done_seen_at >= 0) {
    figures_.done_lag_s.push_back(job.done_seen_at - job.completed_at);
    return;
  }
  send_request("GET", "/v1/jobs/" + id, "", kPollTimeout,
               [this, &job, again](int status, const std::string& state) {
                 jobs_.check_answer(job, status, state, false, false, event_loop_.now());
                 again();
               });
}

void Users::cancel(const std::string& id) {
  Job& job = *jobs_.find(id);
  if (job.given_up) return;
  if (job.accepted_at < 0) {
    event_loop_.after(kPollInterval, [this, id] { cancel(id); });
    return;
  }
  job.cancel_asked = true;
  const bool was_done = job.done_seen_at >= 0;
  send_request("POST", "/v1/jobs/" + id + "/abort", "", kSubmissionTimeout,
               [this, &job, was_done](int status, const std::string& state) {
                 jobs_.check_answer(job, status, state, false, was_done, event_loop_.now());
                 if (status != 200)
                   event_loop_.after(draw(1, 2), [this, id = job.spec.id] { cancel(id); });
               });
}

void Users::poll_unknown() {
  event_loop_.after(
      std::exponential_distribution<>(experiment_.unknown_polls_per_second)(random_), [this] {
        send_request(
            "GET", "/v1/jobs/job-unknown" + std::to_string(random_()), "", kPollTimeout,
            [this](int status, const std::string&) { jobs_.check_unknown_job_answer(status); });
        poll_unknown();
      });
}

}  // namespace rushtrestle::scale
