// Workers' reports, and the commands sent to workers.
#include <algorithm>
#include <charconv>

#include "protocol/codec_internal.h"

namespace rushtrestle::protocol {

using namespace coordination;
using store::Json;

namespace {

TaskState task_state(const std::string& s) {
  if (s == "pulling" || s == "gathering") return TaskState::fetching;  // not running yet
  if (s == "running") return TaskState::running;
  if (s == "saving") return TaskState::saving;
  if (s == "ended") return TaskState::exited;
  throw Invalid{};
}

ExitCause exit_cause(const std::string& s) {
  if (s == "done") return ExitCause::done;
  if (s == "stopped") return ExitCause::stopped;
  if (s == "full") return ExitCause::no_room;
  if (s == "in_use") return ExitCause::busy;
  if (s == "no_such") return ExitCause::unknown;
  // A gang's task that ended because of its peers did not fail by itself.
  if (s == "peers" || s == "incomplete") return ExitCause::stopped;
  return ExitCause::error;  // `error`, and any cause that a later version may bring
}

std::string task_name(const std::string& job, uint32_t task) {
  return job + "/" + std::to_string(task);
}

}  // namespace

Json commands_json(const std::vector<WorkerCommand>& commands) {
  Json list = Json::array();
  for (const auto& c : commands) {
    Json j = {{"chore", task_name(c.job, c.task)}, {"try", c.attempt}};
    switch (c.verb) {
      case WorkerVerb::start: j["verb"] = "run"; break;
      case WorkerVerb::forget: j["verb"] = "forget"; break;
      case WorkerVerb::stop:
        j["verb"] = "kill";
        j["leewayS"] = c.grace_s;
        break;
    }
    list.push_back(std::move(j));
  }
  return list;
}

bool valid_job_id(const std::string& id) {
  constexpr size_t kLongest = 64;
  return id.size() > 4 && id.size() <= kLongest && id.compare(0, 4, "job-") == 0 &&
         std::all_of(id.begin() + 4, id.end(), [](unsigned char c) { return std::isalnum(c); });
}

bool parse_task_name(const std::string& text, std::string& job, uint32_t& task) {
  const auto slash = text.rfind('/');
  if (slash == std::string::npos) return false;
  job = text.substr(0, slash);
  const char* end = text.data() + text.size();
  const auto [p, ec] = std::from_chars(text.data() + slash + 1, end, task);
  return ec == std::errc{} && p == end && valid_job_id(job);
}

std::optional<Heartbeat> decode_heartbeat(const Json& j) {
  return guarded([&] {
    const Fields f(j);
    Heartbeat r;
    r.machine = f.text("rig");
    r.address = f.text("addr");
    r.type = f.text("breed");
    r.zone = f.text("yard");
    r.spot = f.flag_or("loaners", false);
    r.agent_epoch = f.count("shift");
    r.sequence = f.count("tally");
    r.fencing_token = f.count("baton");
    if (f.find("warningS")) r.notice_s = f.amount("warningS");
    for (const auto& t : f.list("chores")) {
      const Fields tf(t);
      ReportedTask task;
      if (!parse_task_name(tf.text("chore"), task.job, task.task)) throw Invalid{};
      task.attempt = tf.count("try");
      const std::string status = tf.text("status");
      task.state = task_state(status);
      task.gathering = status == "gathering";
      if (task.state == TaskState::exited) task.cause = exit_cause(tf.text("cause"));
      task.saved = tf.flag_or("kept", false);
      r.tasks.push_back(std::move(task));
    }
    return r;
  });
}

}  // namespace rushtrestle::protocol
