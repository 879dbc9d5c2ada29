// Requests of users and workers on the users' address, and the answers to them.
#include <algorithm>
#include <cmath>

#include "protocol/codec_internal.h"

namespace rushtrestle::protocol {

using namespace coordination;
using store::Json;

namespace {

constexpr uint32_t kMaxTasks = 100000;

}  // namespace

HttpAnswer cbor_answer(int status, const Json& body, std::string headers) {
  return {status, to_cbor(body), std::move(headers), "application/cbor"};
}

HttpAnswer refusal(int status, const char* why) { return cbor_answer(status, {{"error", why}}); }

HttpAnswer wrong_method(const char* allowed) {
  auto a = refusal(405, "method not allowed");
  a.headers = std::string("Allow: ") + allowed + "\r\n";
  return a;
}

std::optional<store::JobSpec> decode_job(const Json& j) {
  return guarded([&] {
    const Fields f(j);
    store::JobSpec s;
    s.id = f.text("id");
    if (!valid_job_id(s.id)) throw Invalid{};
    s.job_class = f.text("berth");
    s.team = f.text("crew");
    const std::string kind = f.text("sort"), rank = f.text("rank");
    // `group` stands in the platform's word list, though not on its protocol page:
    // tasks that run together (docs/questions.md).
    if (kind != "array" && kind != "daemon" && kind != "group") throw Invalid{};
    s.kind = kind == "array"    ? store::JobKind::array
             : kind == "daemon" ? store::JobKind::service
                                : store::JobKind::gang;
    static constexpr const char* kRanks[] = {"idle", "normal", "urgent", "prod"};
    const auto* r = std::find(std::begin(kRanks), std::end(kRanks), rank);
    if (r == std::end(kRanks)) throw Invalid{};
    s.rank = static_cast<store::Rank>(r - std::begin(kRanks));
    const uint64_t tasks = f.count("chores");
    if (tasks == 0 || tasks > kMaxTasks) throw Invalid{};
    s.tasks = static_cast<uint32_t>(tasks);
    s.per_task = {f.amount("cores"), f.amount_or("cards", 0), f.amount("memoryGb")};
    if (f.find("breeds")) {
      s.types.emplace();
      for (const auto& t : f.list("breeds")) {
        if (!t.is_string() || t.get_ref<const std::string&>().size() > kMaxText) throw Invalid{};
        s.types->push_back(t.get<std::string>());
      }
      constexpr size_t kMostTypes = 64;
      if (s.types->size() > kMostTypes) throw Invalid{};
    }
    if (f.find("yard")) s.zone = f.text("yard");
    s.one_zone = f.flag_or("oneZone", false);
    s.spread = f.flag_or("scatter", false);
    s.spot = f.flag_or("loaners", false);
    s.image = f.text("bundle");
    s.image_gb = f.amount("imageGb");
    s.estimate_s = f.amount_or("guessS", 0);
    s.checkpoint_s = f.amount_or("snapshotS", 0);
    s.save_s = f.amount_or("stowS", 0);
    if (f.find("dueS")) s.deadline_s = f.amount("dueS");
    return s;
  });
}

std::variant<Command, HttpAnswer> decode_request(RequestId id, const std::string& method,
                                                 const std::string& target, const std::string& body,
                                                 bool too_large) {
  const std::string path = target.substr(0, target.find('?'));
  static const std::string jobs = "/v1/jobs", abort_suffix = "/abort";
  if (path == "/checkin") {
    if (method != "POST") return wrong_method("POST");
    const auto j = too_large ? std::nullopt : parse_cbor(body);
    auto heartbeat = j ? decode_heartbeat(*j) : std::nullopt;
    if (!heartbeat) return refusal(400, "malformed report");
    return Command{HandleHeartbeat{id, std::move(*heartbeat)}};
  }
  if (path == jobs) {
    if (method != "POST") return wrong_method("POST");
    const auto j = too_large ? std::nullopt : parse_cbor(body);
    auto spec = j ? decode_job(*j) : std::nullopt;
    if (!spec) return refusal(400, "malformed job");
    return Command{SubmitJob{id, std::move(*spec)}};
  }
  if (path.compare(0, jobs.size() + 1, jobs + "/") == 0) {
    std::string job = path.substr(jobs.size() + 1);
    const bool abort =
        job.size() > abort_suffix.size() &&
        job.compare(job.size() - abort_suffix.size(), abort_suffix.size(), abort_suffix) == 0;
    if (abort) job.resize(job.size() - abort_suffix.size());
    if (!valid_job_id(job)) return refusal(404, "no such job");
    if (method != (abort ? "POST" : "GET")) return wrong_method(abort ? "POST" : "GET");
    if (abort) return Command{CancelJob{id, std::move(job)}};
    return Command{QueryJob{id, std::move(job)}};
  }
  if (path == "/up" || path == "/stats") {
    if (method != "GET") return wrong_method("GET");
    if (path == "/up") return Command{CheckHealth{id}};
    return Command{ShowStats{id}};
  }
  return refusal(404, "no such path");
}

HttpAnswer encode(const AnswerUser& a) {
  std::string headers;
  // Whole seconds, rounded up: an earlier retry would find nothing changed.
  if (a.status == 503 || a.status == 429)
    headers = "Retry-After: " +
              std::to_string(std::max(1, static_cast<int>(std::ceil(a.retry_after_s)))) + "\r\n";
  if (!a.job) {
    if (a.status == 200) return {200, "", headers, "application/cbor"};
    return cbor_answer(a.status,
                       {{"error", a.status == 404   ? "no such job"
                                  : a.status == 422 ? "can never run"
                                                    : "not now"}},
                       headers);
  }
  const auto& v = *a.job;
  const char* status = v.status == store::JobStatus::done        ? "done"
                       : v.status == store::JobStatus::cancelled ? "withdrawn"
                       : v.running > 0                           ? "running"
                                                                 : "queued";
  return cbor_answer(a.status,
                     {{"id", v.id}, {"status", status}, {"done", v.done}, {"running", v.running}},
                     headers);
}

HttpAnswer encode(const AnswerHeartbeat& a) {
  const auto& r = a.reply;
  if (r.status == 200)
    return cbor_answer(200, {{"baton", r.fencing_token}, {"orders", commands_json(r.commands)}});
  Json body = Json::object();
  if (r.status == 421 && !r.redirect.empty()) body["foreman"] = r.redirect;
  return cbor_answer(r.status, body, r.status == 503 ? "Retry-After: 1\r\n" : "");
}

HttpAnswer encode(const AnswerStats& a) {
  return {200, a.body.dump(2, ' ', false, Json::error_handler_t::replace) + "\n", "",
          "application/json"};
}

}  // namespace rushtrestle::protocol
