#include "protocol/user_codec.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include "protocol/fields.h"

namespace rushtrestle::protocol {

using namespace coordination;
using store::Json;

namespace {

constexpr size_t kMaxTypes = 64;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

store::JobKind job_kind(const Fields& fields) {
  const std::string word = fields.text("sort");
  if (word == "array") return store::JobKind::array;
  if (word == "daemon") return store::JobKind::service;
  // `group` is a gang, whose tasks run together. The platform's word list names it, but its
  // protocol page does not (docs/questions.md).
  if (word == "group") return store::JobKind::gang;
  fail("sort", "no such kind of job");
}

store::Rank rank_of(const Fields& fields) {
  static constexpr const char* kRanks[] = {"idle", "normal", "urgent", "prod"};
  const std::string word = fields.text("rank");
  const auto* rank = std::find(std::begin(kRanks), std::end(kRanks), word);
  if (rank == std::end(kRanks)) fail("rank", "no such rank");
  return static_cast<store::Rank>(rank - std::begin(kRanks));
}

uint32_t task_count(const Fields& fields) {
  const uint64_t tasks = fields.count("chores");
  if (tasks == 0 || tasks > store::kMaxTasks) fail("chores", "none or too many");
  return static_cast<uint32_t>(tasks);
}

std::optional<std::vector<std::string>> machine_types(const Fields& fields) {
  constexpr const char* kTypes = "breeds";
  if (!fields.find(kTypes)) return std::nullopt;
  std::vector<std::string> types;
  for (const auto& type : fields.list(kTypes)) {
    if (!type.is_string()) fail(kTypes, "not a list of texts");
    if (type.get_ref<const std::string&>().size() > kMaxText) fail(kTypes, "too long a name");
    types.push_back(type.get<std::string>());
  }
  if (types.size() > kMaxTypes) fail(kTypes, "too many");
  return types;
}

store::JobSpec job_from_user(const Json& json) {
  const Fields fields(json);
  store::JobSpec spec;
  spec.id = fields.text("id");
  if (!valid_job_id(spec.id)) fail("id", "not a job's id");
  spec.job_class = fields.text("berth");
  spec.team = fields.text("crew");
  spec.kind = job_kind(fields);
  spec.rank = rank_of(fields);
  spec.tasks = task_count(fields);
  spec.per_task = {fields.amount("cores"), fields.amount_or("cards", 0), fields.amount("memoryGb")};
  spec.types = machine_types(fields);
  if (fields.find("yard")) spec.zone = fields.text("yard");
  spec.one_zone = fields.flag_or("oneZone", false);
  spec.spread = fields.flag_or("scatter", false);
  spec.spot = fields.flag_or("loaners", false);
  spec.image = fields.text("bundle");
  spec.image_gb = fields.amount("imageGb");
  spec.estimate_s = fields.amount_or("guessS", 0);
  spec.checkpoint_s = fields.amount_or("snapshotS", 0);
  spec.save_s = fields.amount_or("stowS", 0);
  if (fields.find("dueS")) spec.deadline_s = fields.amount("dueS");
  return spec;
}

const char* status_name(const JobView& job) {
  if (job.status == store::JobStatus::done) return "done";
  if (job.status == store::JobStatus::cancelled) return "withdrawn";
  return job.running > 0 ? "running" : "queued";
}

const char* error_reason(int status) {
  if (status == kNotFound) return "no such job";
  return status == kUnprocessable ? "can never run" : "not now";
}

/// Returns a Retry-After header in whole seconds, rounded up: an earlier retry would get the same
/// answer.
std::string retry_header(const AnswerUser& answer) {
  if (answer.status != kUnavailable && answer.status != kTooManyRequests) return "";
  const int seconds = std::max(1, static_cast<int>(std::ceil(answer.retry_after_s)));
  return "Retry-After: " + std::to_string(seconds) + "\r\n";
}

}  // namespace

Decoded<store::JobSpec> decode_job(const Json& json) {
  return catch_decode_errors([&] { return job_from_user(json); });
}

DecodedRequest decode_submission(RequestId id, const std::string& method, const std::string& body,
                                 BodySize size) {
  if (method != "POST") return method_not_allowed("POST");
  auto spec = decode_cbor(body, size).and_then(decode_job);
  if (!spec) return error_answer(400, "malformed job");
  return Command{SubmitJob{id, std::move(*spec)}};
}

DecodedRequest decode_job_request(RequestId id, const std::string& method, std::string path) {
  static const std::string cancel_suffix = "/abort";
  const bool cancels =
      path.size() > cancel_suffix.size() &&
      path.compare(path.size() - cancel_suffix.size(), cancel_suffix.size(), cancel_suffix) == 0;
  if (cancels) path.resize(path.size() - cancel_suffix.size());
  if (!valid_job_id(path)) return error_answer(kNotFound, "no such job");
  const char* allowed = cancels ? "POST" : "GET";
  if (method != allowed) return method_not_allowed(allowed);
  if (cancels) return Command{CancelJob{id, std::move(path)}};
  return Command{QueryJob{id, std::move(path)}};
}

HttpAnswer encode(const AnswerUser& answer) {
  const std::string headers = retry_header(answer);
  if (!answer.job) {
    if (answer.status == kOk) return {kOk, "", headers, "application/cbor"};
    return cbor_answer(answer.status, {{"error", error_reason(answer.status)}}, headers);
  }
  const auto& job = *answer.job;
  return cbor_answer(
      answer.status,
      {{"id", job.id}, {"status", status_name(job)}, {"done", job.done}, {"running", job.running}},
      headers);
}

HttpAnswer encode(const AnswerStats& answer) {
  constexpr int kIndent = 2;
  return {kOk, store::to_json_text(answer.body, kIndent) + "\n", "", "application/json"};
}

}  // namespace rushtrestle::protocol
