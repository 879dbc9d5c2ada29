#include "users.h"

#include "wire.h"

namespace rushtrestle::scale {

namespace {

constexpr double kSubmissionWithin = 5, kPollWithin = 2,
                 kPollEvery = 5;  // seconds, by the protocol
constexpr double kGiveUpAfter = 60;
constexpr double kFollowEvery = 0.25;
constexpr size_t kConnections = 2000;

}  // namespace

Users::Users(transport::EventLoop& event_loop, JobBook& jobs, const Experiment& experiment,
             std::mt19937_64& random)
    : event_loop_(event_loop),
      jobs_(jobs),
      experiment_(experiment),
      random_(random),
      client_(event_loop, kConnections, protocol::kBodyLimit) {}

void Users::start() {
  for (const auto& job_class : experiment_.classes) {
    for (int i = 0; i < job_class.at_start; ++i) submit_new(job_class);
    if (job_class.per_second > 0) arrivals(job_class);
  }
  if (experiment_.unknown_polls_per_second > 0) poll_unknown();
}

void Users::arrivals(const JobClass& job_class) {
  const double pause = std::exponential_distribution<>(job_class.per_second)(random_);
  event_loop_.after(pause, [this, &job_class] {
    submit_new(job_class);
    arrivals(job_class);
  });
}

void Users::submit_new(const JobClass& job_class) {
  store::JobSpec spec = job_class.shape;
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

void Users::ask(const std::string& method, const std::string& target, const std::string& body,
                double within_s, const Answered& answered) {
  ++figures_.requests;
  const auto controller =
      static_cast<int>(random_() % static_cast<uint64_t>(experiment_.platform.nodes));
  client_.request(transport::parse_address(controller_address(controller)), method, target, body,
                  "application/cbor", within_s, [this, answered](int status, std::string&& text) {
                    ++(status == 0                      ? figures_.unanswered
                       : status == 429 || status == 503 ? figures_.refused
                                                        : figures_.answered);
                    const auto j = protocol::parse_cbor(text);
                    answered(status, j && j->is_object() ? j->value("status", "") : "");
                  });
}

void Users::submit(const std::string& id) {
  Job& job = *jobs_.find(id);
  const bool was_done = job.done_told_at >= 0, was_cancelled = job.cancel_told_at >= 0;
  ask("POST", "/v1/jobs", encode_submission(job.spec), kSubmissionWithin,
      [this, &job, was_done, was_cancelled](int status, const std::string& state) {
        if (status == 200 || status == 201) {
          jobs_.told(job, 200, state, was_cancelled, was_done, event_loop_.now());
          if (job.accepted_at < 0) accepted(job);
        } else if (status == 400 || status == 422) {
          jobs_.violations.push_back("forgotten: " + job.spec.id + " gets " +
                                     std::to_string(status));
        } else {
          refused(job);
        }
      });
}

void Users::accepted(Job& job) {
  job.accepted_at = event_loop_.now();
  ++figures_.accepted;
  figures_.acceptance_s.push_back(event_loop_.now() - job.submitted_at);
  const std::string id = job.spec.id;
  event_loop_.after(kPollEvery * draw(0.5, 1), [this, id] { poll(id); });
  if (job.spec.kind == store::JobKind::array && draw(0, 1) < experiment_.followed_ends_share)
    follow_end(id);
  if (draw(0, 1) >= experiment_.repeat_share) return;
  ++figures_.repeated;
  event_loop_.after(draw(0, kGiveUpAfter), [this, id] { submit(id); });
}

void Users::refused(Job& job) {
  if (job.accepted_at >= 0) return;  // a repeat of one that is known to be accepted
  if (event_loop_.now() - job.submitted_at > kGiveUpAfter) {
    job.given_up = true;
    ++figures_.given_up;
    return;
  }
  event_loop_.after(draw(1, 2), [this, id = job.spec.id] { submit(id); });
}

void Users::poll(const std::string& id) {
  Job& job = *jobs_.find(id);
  if (job.done_told_at >= 0 || job.cancel_told_at >= 0) return;
  ask("GET", "/v1/jobs/" + id, "", kPollWithin, [this, &job](int status, const std::string& state) {
    jobs_.told(job, status, state, false, false, event_loop_.now());
    event_loop_.after(kPollEvery, [this, id = job.spec.id] { poll(id); });
  });
}

void Users::follow_end(const std::string& id) {
  Job& job = *jobs_.find(id);
  if (job.cancel_asked) return;
  const auto again = [this, id] {
    event_loop_.after(kFollowEvery, [this, id] { follow_end(id); });
  };
  if (job.completed_at < 0) return again();
  if (job.done_told_at >= 0) {
    figures_.done_lag_s.push_back(job.done_told_at - job.completed_at);
    return;
  }
  ask("GET", "/v1/jobs/" + id, "", kPollWithin,
      [this, &job, again](int status, const std::string& state) {
        jobs_.told(job, status, state, false, false, event_loop_.now());
        again();
      });
}

void Users::cancel(const std::string& id) {
  Job& job = *jobs_.find(id);
  if (job.given_up) return;
  if (job.accepted_at < 0) {
    event_loop_.after(kPollEvery, [this, id] { cancel(id); });
    return;
  }
  job.cancel_asked = true;
  const bool was_done = job.done_told_at >= 0;
  ask("POST", "/v1/jobs/" + id + "/abort", "", kSubmissionWithin,
      [this, &job, was_done](int status, const std::string& state) {
        jobs_.told(job, status, state, false, was_done, event_loop_.now());
        if (status != 200) event_loop_.after(draw(1, 2), [this, id = job.spec.id] { cancel(id); });
      });
}

void Users::poll_unknown() {
  event_loop_.after(
      std::exponential_distribution<>(experiment_.unknown_polls_per_second)(random_), [this] {
        ask("GET", "/v1/jobs/job-unknown" + std::to_string(random_()), "", kPollWithin,
            [this](int status, const std::string&) { jobs_.told_of_unknown(status); });
        poll_unknown();
      });
}

}  // namespace rushtrestle::scale
