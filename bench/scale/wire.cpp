#include "wire.h"

#include "protocol/codec.h"

namespace rushtrestle::scale {

using namespace coordination;
using store::Json;

namespace {

std::string query_value(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

Txn transaction(const Json& j) {
  Txn out;
  for (const auto& c : j.at("if")) out.preconditions.push_back({c.at("k"), c.at("stamp")});
  for (const auto& w : j.at("then")) {
    if (w.contains("put")) {
      out.writes.push_back({w.at("put"), w.at("v"), w.value("tenancy", uint64_t{0})});
    } else {
      out.writes.push_back({w.at("delete"), std::nullopt, 0});
    }
  }
  return out;
}

Json entry(const store::Change& c) {
  return {{"k", c.key}, {"v", *c.value}, {"stamp", c.mod_revision}};
}

struct ReplyBody {
  Json operator()(const TxnReply& r) const {
    Json j = {{"epoch", r.revision}};
    if (!r.failed.empty()) j["failed"] = r.failed;
    return j;
  }
  Json operator()(const KeyReply& r) const {
    return r.entry ? entry(*r.entry) : Json{{"epoch", r.revision}};
  }
  Json operator()(const ListKeysReply& r) const {
    Json entries = Json::array();
    for (const auto& e : r.entries) entries.push_back(entry(e));
    return {{"entries", std::move(entries)}, {"hasNext", r.more}, {"epoch", r.revision}};
  }
  Json operator()(const LeaseReply& r) const { return {{"tenancy", r.lease}}; }
  Json operator()(const WatchReply& r) const {
    Json log = Json::array();
    for (const auto& e : r.events) {
      Json change = {{e.value ? "put" : "delete", e.key}, {"stamp", e.mod_revision}};
      if (e.value) change["v"] = *e.value;
      log.push_back(std::move(change));
    }
    return {{"epoch", r.revision}, {"log", std::move(log)}};
  }
  template <class Other>
  Json operator()(const Other&) const {
    return Json::object();
  }
};

const char* state_name(const ReportedTask& t) {
  switch (t.state) {
    case TaskState::fetching: return "pulling";
    case TaskState::running: return "running";
    case TaskState::saving: return "saving";
    case TaskState::exited: break;
  }
  return "ended";
}

const char* cause_name(ExitCause cause) {
  switch (cause) {
    case ExitCause::done: return "done";
    case ExitCause::stopped: return "stopped";
    case ExitCause::no_room: return "full";
    case ExitCause::busy: return "in_use";
    case ExitCause::unknown: return "no_such";
    default: return "error";
  }
}

}  // namespace

std::optional<CallBody> decode_state_request(const std::string& method, const std::string& target,
                                             const std::string& body) {
  const std::string path = target.substr(0, target.find('?'));
  if (method == "GET" && path == "/follow")
    return Watch{std::stoull(query_value(target, "since")),
                 std::stod(query_value(target, "holdMs")) / 1000};
  if (method == "GET" && path == "/store")
    return ListKeys{query_value(target, "starts"), query_value(target, "since")};
  if (method == "GET" && path.rfind("/store/", 0) == 0)
    return ReadKey{path.substr(std::string("/store/").size())};
  const auto j = protocol::parse_cbor(body);
  if (method != "POST" || !j) return std::nullopt;
  if (path == "/txn") return transaction(*j);
  if (path == "/leases") return GrantLease{j->at("ttlMs").get<double>() / 1000};
  if (path.rfind("/leases/", 0) == 0)
    return RenewLease{std::stoull(path.substr(std::string("/leases/").size()))};
  return std::nullopt;
}

std::string encode_state_reply(const CallDone& done) {
  return protocol::to_cbor(std::visit(ReplyBody{}, done.reply));
}

std::string encode_report(const Heartbeat& r) {
  Json chores = Json::array();
  for (const auto& t : r.tasks) {
    Json j = {{"chore", t.job + "/" + std::to_string(t.task)},
              {"try", t.attempt},
              {"status", state_name(t)}};
    if (t.state == TaskState::exited) j["cause"] = cause_name(t.cause);
    if (t.saved) j["kept"] = true;
    chores.push_back(std::move(j));
  }
  return protocol::to_cbor({{"rig", r.machine},
                            {"addr", r.address},
                            {"breed", r.type},
                            {"yard", r.zone},
                            {"loaners", r.spot},
                            {"shift", r.agent_epoch},
                            {"tally", r.sequence},
                            {"baton", r.fencing_token},
                            {"warningS", nullptr},
                            {"chores", std::move(chores)}});
}

std::vector<WorkerCommand> decode_commands(const Json& commands) {
  std::vector<WorkerCommand> out;
  for (const auto& o : commands) {
    WorkerCommand c;
    const std::string verb = o.at("verb");
    c.verb = verb == "run"    ? WorkerVerb::start
             : verb == "kill" ? WorkerVerb::stop
                              : WorkerVerb::forget;
    protocol::parse_task_name(o.at("chore"), c.job, c.task);
    c.attempt = o.at("try");
    c.grace_s = o.value("leewayS", 0.0);
    out.push_back(std::move(c));
  }
  return out;
}

std::string encode_submission(const store::JobSpec& s) {
  static constexpr const char* kRanks[] = {"idle", "normal", "urgent", "prod"};
  Json j = {{"id", s.id},
            {"berth", s.job_class},
            {"crew", s.team},
            {"sort", s.kind == store::JobKind::service ? "daemon" : "array"},
            {"rank", kRanks[static_cast<size_t>(s.rank)]},
            {"chores", s.tasks},
            {"cores", s.per_task.cpus},
            {"cards", s.per_task.gpus},
            {"memoryGb", s.per_task.memory_gb},
            {"bundle", s.image},
            {"imageGb", s.image_gb},
            {"oneZone", s.one_zone},
            {"scatter", s.spread},
            {"loaners", s.spot},
            {"guessS", s.estimate_s},
            {"snapshotS", s.checkpoint_s},
            {"stowS", s.save_s}};
  if (s.deadline_s) j["dueS"] = *s.deadline_s;
  return protocol::to_cbor(j);
}

}  // namespace rushtrestle::scale
