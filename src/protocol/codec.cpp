#include "protocol/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace rushtrestle::protocol {

using namespace coordination;
using store::Json;

namespace {

constexpr int kMaxDepth = 16;     // the protocol's own messages nest five deep
constexpr size_t kMaxText = 200;  // names; longer ones could not be keys of the state service either
constexpr uint32_t kMaxTasks = 100000;
constexpr double kMaxAmount = 1e9;

// A first pass over foreign bytes: the library's reader recurses as deep as the
// input asks for, so the depth has to be bound before a tree is built.
struct Guard : nlohmann::json_sax<Json> {
  int depth = 0;
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t v, const string_t&) override { return std::isfinite(v); }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return false; }
  bool start_object(size_t) override { return ++depth <= kMaxDepth; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return --depth >= 0; }
  bool start_array(size_t) override { return ++depth <= kMaxDepth; }
  bool end_array() override { return --depth >= 0; }
  bool parse_error(size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }
};

struct Invalid {};

/// Typed access to a map's fields; anything unexpected ends the decoding.
class Fields {
 public:
  explicit Fields(const Json& j) : j_(j) {
    if (!j.is_object()) throw Invalid{};
  }
  const Json* find(const char* name) const {
    auto it = j_.find(name);
    return it == j_.end() || it->is_null() ? nullptr : &*it;
  }
  const Json& need(const char* name) const {
    const Json* v = find(name);
    if (!v) throw Invalid{};
    return *v;
  }
  std::string text(const char* name, bool empty_ok = false) const {
    const Json& v = need(name);
    if (!v.is_string()) throw Invalid{};
    const auto& s = v.get_ref<const std::string&>();
    if (s.size() > kMaxText || (s.empty() && !empty_ok)) throw Invalid{};
    return s;
  }
  double amount(const char* name) const {
    const Json& v = need(name);
    if (!v.is_number()) throw Invalid{};
    const double d = v.get<double>();
    if (!std::isfinite(d) || d < 0 || d > kMaxAmount) throw Invalid{};
    return d;
  }
  uint64_t count(const char* name) const {
    const Json& v = need(name);
    if (!v.is_number_unsigned()) throw Invalid{};
    return v.get<uint64_t>();
  }
  bool flag(const char* name) const {
    const Json& v = need(name);
    if (!v.is_boolean()) throw Invalid{};
    return v.get<bool>();
  }
  bool flag_or(const char* name, bool fallback) const { return find(name) ? flag(name) : fallback; }
  double amount_or(const char* name, double fallback) const { return find(name) ? amount(name) : fallback; }
  const Json& list(const char* name) const {
    const Json& v = need(name);
    if (!v.is_array()) throw Invalid{};
    return v;
  }

 private:
  const Json& j_;
};

template <class F>
auto guarded(F&& decode) -> std::optional<decltype(decode())> {
  try {
    return decode();
  } catch (const Invalid&) {
    return std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

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

HttpAnswer cbor_answer(int status, const Json& body, std::string headers = "") {
  return {status, to_cbor(body), std::move(headers), "application/cbor"};
}

HttpAnswer refusal(int status, const char* why) { return cbor_answer(status, {{"error", why}}); }

HttpAnswer wrong_method(const char* allowed) {
  auto a = refusal(405, "method not allowed");
  a.headers = std::string("Allow: ") + allowed + "\r\n";
  return a;
}

std::string task_name(const std::string& job, uint32_t task) { return job + "/" + std::to_string(task); }

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

Json peer_json(const PeerState& s) {
  Json j = {{"node", s.node},
            {"incarnation", s.incarnation},
            {"has_state", s.has_state},
            {"synced", s.synced},
            {"backlog", s.backlog},
            {"parts", s.parts},
            {"heard", s.heard},
            {"nodes", s.nodes},
            {"at", s.at},
            {"revision", s.revision}};
  if (s.current_age_s) j["current_age"] = *s.current_age_s;
  if (s.has) j["has"] = {{"incarnation", s.has->incarnation}, {"upto", s.has->upto}};
  if (s.handover) {
    Json cancelled = Json::array();
    for (const auto& c : s.handover->cancellations) cancelled.push_back({c.job, c.stamp});
    j["handover"] = {{"incarnation", s.handover->mark.incarnation},
                     {"from", s.handover->from},
                     {"upto", s.handover->mark.upto},
                     {"whole", s.handover->whole},
                     {"cancelled", std::move(cancelled)}};
  }
  return j;
}

HandoverMark mark_from_json(const Json& j) {
  const Fields f(j);
  return {f.text("incarnation", true), f.count("upto")};
}

Handover handover_from_json(const Json& j) {
  const Fields f(j);
  Handover h{mark_from_json(j), f.count("from"), f.flag("whole"), {}};
  for (const auto& c : f.list("cancelled")) {
    h.cancellations.push_back({c.at(0).get<std::string>(), c.at(1).get<uint64_t>()});
    if (!valid_job_id(h.cancellations.back().job)) throw Invalid{};
  }
  if (h.from > h.mark.upto || h.cancellations.size() > h.mark.upto - h.from) throw Invalid{};
  return h;
}

PeerState peer_from_json(const Json& j) {
  PeerState s;
  s.node = j.at("node").get<std::string>();
  s.incarnation = j.at("incarnation").get<std::string>();
  s.has_state = j.at("has_state").get<bool>();
  s.synced = j.at("synced").get<bool>();
  s.backlog = j.at("backlog").get<double>();
  s.parts = j.at("parts").get<std::vector<int>>();
  s.heard = j.at("heard").get<std::vector<std::string>>();
  s.nodes = j.at("nodes").get<std::vector<std::string>>();
  s.at = j.at("at").get<double>();
  const Fields f(j);
  if (f.find("revision")) s.revision = f.count("revision");
  if (f.find("current_age")) s.current_age_s = f.amount("current_age");
  if (j.contains("has")) s.has = mark_from_json(j["has"]);
  if (j.contains("handover")) s.handover = handover_from_json(j["handover"]);
  return s;
}

Json report_json(const WorkerReport& r) {
  Json tasks = Json::array();
  for (const auto& t : r.tasks)
    tasks.push_back({t.job, t.task, t.attempt, static_cast<int>(t.state), static_cast<int>(t.cause), t.saved});
  Json j = {{"machine", r.machine}, {"address", r.address}, {"type", r.type},   {"zone", r.zone},           {"spot", r.spot},
            {"session", r.session}, {"seq", r.seq},         {"token", r.token}, {"tasks", std::move(tasks)}};
  if (r.notice_s) j["notice"] = *r.notice_s;
  return j;
}

WorkerReport report_from_json(const Json& j) {
  WorkerReport r;
  r.machine = j.at("machine").get<std::string>();
  r.address = j.at("address").get<std::string>();
  r.type = j.at("type").get<std::string>();
  r.zone = j.at("zone").get<std::string>();
  r.spot = j.at("spot").get<bool>();
  r.session = j.at("session").get<uint64_t>();
  r.seq = j.at("seq").get<uint64_t>();
  r.token = j.at("token").get<uint64_t>();
  if (j.contains("notice")) r.notice_s = j["notice"].get<double>();
  for (const auto& t : j.at("tasks"))
    r.tasks.push_back({t.at(0).get<std::string>(), t.at(1).get<uint32_t>(), t.at(2).get<uint64_t>(),
                       static_cast<TaskState>(t.at(3).get<int>()), static_cast<ExitCause>(t.at(4).get<int>()),
                       t.at(5).get<bool>()});
  return r;
}

Json reply_json(const ReportReply& r) {
  Json commands = Json::array();
  for (const auto& c : r.commands) commands.push_back({static_cast<int>(c.verb), c.job, c.task, c.attempt, c.grace_s});
  return {{"status", r.status}, {"token", r.token}, {"commands", std::move(commands)}, {"redirect", r.redirect}};
}

ReportReply reply_from_json(const Json& j) {
  ReportReply r{j.at("status").get<int>(), j.at("token").get<uint64_t>(), {}, j.at("redirect").get<std::string>()};
  for (const auto& c : j.at("commands"))
    r.commands.push_back({static_cast<WorkerVerb>(c.at(0).get<int>()), c.at(1).get<std::string>(), c.at(2).get<uint32_t>(),
                          c.at(3).get<uint64_t>(), c.at(4).get<double>()});
  return r;
}

HttpAnswer peer_answer(const Json& body) {
  return {200, body.dump(-1, ' ', false, Json::error_handler_t::replace), "", "application/json"};
}

store::Change change_from_entry(const Json& j) {
  const Fields f(j);
  return {f.need("k").get<std::string>(), f.need("v"), f.count("stamp")};
}

CloudMachine cloud_machine(const Json& j) {
  const Fields f(j);
  CloudMachine m;
  m.id = f.text("id");
  m.address = f.find("addr") ? f.text("addr", true) : "";
  m.type = f.text("breed");
  m.zone = f.text("yard");
  m.spot = f.flag_or("loaners", false);
  const std::string status = f.text("status");
  m.state = status == "booting"  ? CloudMachine::State::booting
            : status == "failed" ? CloudMachine::State::failed
                                 : CloudMachine::State::running;
  m.age_s = f.amount_or("ageS", 0);
  return m;
}

store::MachineType machine_type(const Json& j) {
  const Fields f(j);
  store::MachineType t;
  t.name = f.text("sku");
  t.size = {f.amount("cores"), f.amount_or("cards", 0), f.amount("memoryGb")};
  t.cache_gb = f.amount_or("localGb", 0);
  t.fetch_gb_per_s = f.amount_or("pullGbPerS", 1);
  t.price = f.amount("hourly");
  t.spot_price = f.amount_or("lowPrice", t.price);
  t.boot_s = f.amount_or("readyS", 0);
  for (const auto& z : f.list("yards")) t.zones.push_back(z.get<std::string>());
  return t;
}

std::string percent_encode(const std::string& s) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const unsigned char c : s) {
    if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/' || c == '~') {
      out += static_cast<char>(c);
    } else {
      out += '%';
      out += kHex[c >> 4];
      out += kHex[c & 15];
    }
  }
  return out;
}

std::string milliseconds(double s) { return std::to_string(static_cast<int64_t>(s * 1000)); }

}  // namespace

namespace {
// The library throws for an announced size that no memory holds, even where it is told not to throw.
std::optional<Json> read_cbor(const std::string& body) try {
  Json j = Json::from_cbor(body, true, false);
  if (j.is_discarded()) return std::nullopt;
  return j;
} catch (const Json::exception&) {
  return std::nullopt;
}
}  // namespace

std::optional<Json> parse_cbor(const std::string& body) {
  Guard guard;
  if (body.empty() || !Json::sax_parse(body, &guard, Json::input_format_t::cbor)) return std::nullopt;
  return read_cbor(body);
}

std::string to_cbor(const Json& j) {
  std::string out;
  Json::to_cbor(j, out);
  return out;
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
    s.kind = kind == "array" ? store::JobKind::array : kind == "daemon" ? store::JobKind::service : store::JobKind::gang;
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

std::optional<WorkerReport> decode_report(const Json& j) {
  return guarded([&] {
    const Fields f(j);
    WorkerReport r;
    r.machine = f.text("rig");
    r.address = f.text("addr");
    r.type = f.text("breed");
    r.zone = f.text("yard");
    r.spot = f.flag_or("loaners", false);
    r.session = f.count("shift");
    r.seq = f.count("tally");
    r.token = f.count("baton");
    if (f.find("warningS")) r.notice_s = f.amount("warningS");
    for (const auto& t : f.list("chores")) {
      const Fields tf(t);
      ReportedTask task;
      if (!parse_task_name(tf.text("chore"), task.job, task.task)) throw Invalid{};
      task.attempt = tf.count("try");
      task.state = task_state(tf.text("status"));
      if (task.state == TaskState::exited) task.cause = exit_cause(tf.text("cause"));
      task.saved = tf.flag_or("kept", false);
      r.tasks.push_back(std::move(task));
    }
    return r;
  });
}

std::variant<Command, HttpAnswer> decode_request(RequestId id, const std::string& method, const std::string& target,
                                                 const std::string& body, bool too_large) {
  const std::string path = target.substr(0, target.find('?'));
  static const std::string kJobs = "/v1/jobs", kAbort = "/abort";
  if (path == "/checkin") {
    if (method != "POST") return wrong_method("POST");
    const auto j = too_large ? std::nullopt : parse_cbor(body);
    auto report = j ? decode_report(*j) : std::nullopt;
    if (!report) return refusal(400, "malformed report");
    return Command{TakeReport{id, std::move(*report)}};
  }
  if (path == kJobs) {
    if (method != "POST") return wrong_method("POST");
    const auto j = too_large ? std::nullopt : parse_cbor(body);
    auto spec = j ? decode_job(*j) : std::nullopt;
    if (!spec) return refusal(400, "malformed job");
    return Command{SubmitJob{id, std::move(*spec)}};
  }
  if (path.compare(0, kJobs.size() + 1, kJobs + "/") == 0) {
    std::string job = path.substr(kJobs.size() + 1);
    const bool abort = job.size() > kAbort.size() && job.compare(job.size() - kAbort.size(), kAbort.size(), kAbort) == 0;
    if (abort) job.resize(job.size() - kAbort.size());
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

std::variant<Command, HttpAnswer> decode_peer_request(RequestId id, const std::string& method, const std::string& target,
                                                      const std::string& body) {
  if (target != "/peer" && target != "/relay") return refusal(404, "no such path");
  if (method != "POST") return wrong_method("POST");
  const Json j = Json::parse(body, nullptr, false);
  if (target == "/relay") {
    auto report = j.is_discarded() ? std::nullopt : guarded([&] { return report_from_json(j); });
    if (!report) return refusal(400, "malformed");
    return Command{TakeRelayedReport{id, std::move(*report)}};
  }
  auto state = j.is_discarded() ? std::nullopt : guarded([&] { return peer_from_json(j); });
  if (!state) return refusal(400, "malformed");
  return Command{TakePeerState{id, std::move(*state)}};
}

HttpAnswer encode(const AnswerUser& a) {
  std::string headers;
  // Whole seconds, rounded up: an earlier retry would find nothing changed.
  if (a.status == 503 || a.status == 429)
    headers = "Retry-After: " + std::to_string(std::max(1, static_cast<int>(std::ceil(a.retry_after_s)))) + "\r\n";
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
  return cbor_answer(a.status, {{"id", v.id}, {"status", status}, {"done", v.done}, {"running", v.running}}, headers);
}

HttpAnswer encode(const AnswerReport& a) {
  const auto& r = a.reply;
  if (r.status == 200) return cbor_answer(200, {{"baton", r.token}, {"orders", commands_json(r.commands)}});
  Json body = Json::object();
  if (r.status == 421 && !r.redirect.empty()) body["foreman"] = r.redirect;
  return cbor_answer(r.status, body, r.status == 503 ? "Retry-After: 1\r\n" : "");
}

HttpAnswer encode(const AnswerRelayedReport& a) { return peer_answer(reply_json(a.reply)); }

HttpAnswer encode(const AnswerPeer& a) { return peer_answer(peer_json(a.state)); }

HttpAnswer encode(const AnswerStats& a) {
  return {200, a.body.dump(2, ' ', false, Json::error_handler_t::replace) + "\n", "", "application/json"};
}

HttpCall encode(const Call& call) {
  struct Encoder {
    HttpCall operator()(const Txn& t) const {
      Json conditions = Json::array(), writes = Json::array();
      for (const auto& c : t.conditions) conditions.push_back({{"k", c.key}, {"stamp", c.stamp}});
      for (const auto& w : t.writes) {
        if (!w.value) {
          writes.push_back({{"delete", w.key}});
          continue;
        }
        Json put = {{"put", w.key}, {"v", *w.value}};
        if (w.lease != 0) put["tenancy"] = w.lease;
        writes.push_back(std::move(put));
      }
      return state("POST", "/txn", {{"if", std::move(conditions)}, {"then", std::move(writes)}});
    }
    HttpCall operator()(const ReadKey& r) const {
      return {Service::state, "", "GET", "/store/" + percent_encode(r.key), ""};
    }
    HttpCall operator()(const ReadPage& r) const {
      std::string target = "/store?page=200&starts=" + percent_encode(r.prefix);
      if (!r.after.empty()) target += "&since=" + percent_encode(r.after);
      return {Service::state, "", "GET", target, ""};
    }
    HttpCall operator()(const GrantLease& l) const {
      return state("POST", "/leases", {{"ttlMs", static_cast<int64_t>(l.ttl_s * 1000)}});
    }
    HttpCall operator()(const ExtendLease& l) const {
      return state("POST", "/leases/" + std::to_string(l.lease) + "/extend", Json::object());
    }
    HttpCall operator()(const Watch& w) const {
      return {Service::state, "", "GET",
              "/follow?starts=&since=" + std::to_string(w.since) + "&holdMs=" + milliseconds(w.hold_s), ""};
    }
    HttpCall operator()(const GetTypes&) const { return {Service::cloud, "", "GET", "/flavors", ""}; }
    HttpCall operator()(const RentMachines& r) const {
      return cloud("/rentals",
                   {{"hire", r.request}, {"breed", r.type}, {"yard", r.zone}, {"loaners", r.spot}, {"count", r.count}});
    }
    HttpCall operator()(const DeleteMachines& d) const { return cloud("/rentals/delete", {{"rigs", d.machines}}); }
    HttpCall operator()(const ListMachines& l) const {
      return {Service::cloud, "", "GET", "/rentals?since=" + percent_encode(l.after) + "&page=500", ""};
    }
    HttpCall operator()(const CommandWorker& c) const {
      return {Service::worker, c.address, "POST", "/commands",
              to_cbor({{"baton", c.token}, {"shift", c.session}, {"orders", commands_json(c.commands)}})};
    }
    HttpCall operator()(const TellPeer& p) const { return peer(p.address, "/peer", peer_json(p.state)); }
    HttpCall operator()(const RelayReport& r) const { return peer(r.address, "/relay", report_json(r.report)); }
    static HttpCall peer(const std::string& address, const char* target, const Json& body) {
      return {Service::peer,     address, "POST", target, body.dump(-1, ' ', false, Json::error_handler_t::replace),
              "application/json"};
    }
    static HttpCall state(const char* method, std::string target, const Json& body) {
      return {Service::state, "", method, std::move(target), to_cbor(body)};
    }
    static HttpCall cloud(std::string target, const Json& body) {
      return {Service::cloud, "", "POST", std::move(target), to_cbor(body)};
    }
  };
  return std::visit(Encoder{}, call.body);
}

namespace {
template <class T>
constexpr size_t kind_of() {
  return CallBody(T{}).index();
}

Reply decode_body(ReplyKind kind, const std::string& key, int status, const Json& j) {
  const Fields f(j);
  if (kind == kind_of<Txn>()) {
    TxnReply r;
    r.revision = f.count("epoch");
    if (status == 409)
      for (const auto& k : f.list("failed")) r.failed.push_back(k.get<std::string>());
    return r;
  }
  if (kind == kind_of<ReadKey>()) {
    KeyReply r;
    if (status == 404) {
      r.revision = f.count("epoch");
    } else {
      r.entry = store::Change{key, f.need("v"), f.count("stamp")};
      r.revision = r.entry->stamp;
    }
    return r;
  }
  if (kind == kind_of<ReadPage>()) {
    PageReply r;
    for (const auto& e : f.list("entries")) r.entries.push_back(change_from_entry(e));
    r.more = f.flag_or("hasNext", false);
    r.revision = f.count("epoch");
    return r;
  }
  if (kind == kind_of<GrantLease>()) return LeaseReply{f.count("tenancy")};
  if (kind == kind_of<Watch>()) {
    WatchReply r;
    r.revision = f.count("epoch");
    for (const auto& e : f.list("log")) {
      const Fields ef(e);
      if (ef.find("put")) {
        r.events.push_back({ef.need("put").get<std::string>(), ef.need("v"), ef.count("stamp")});
      } else {
        r.events.push_back({ef.need("delete").get<std::string>(), std::nullopt, ef.count("stamp")});
      }
    }
    return r;
  }
  if (kind == kind_of<GetTypes>()) {
    TypesReply r;
    for (const auto& t : f.list("breeds")) r.types.push_back(machine_type(t));
    return r;
  }
  if (kind == kind_of<RentMachines>()) {
    RentReply r;
    for (const auto& m : f.list("rigs")) r.machines.push_back(m.get<std::string>());
    return r;
  }
  if (kind == kind_of<ListMachines>()) {
    ListReply r;
    for (const auto& m : f.list("rigs")) r.machines.push_back(cloud_machine(m));
    r.more = f.flag_or("hasNext", false);
    return r;
  }
  if (kind == kind_of<CommandWorker>()) {
    auto report = decode_report(j);
    if (!report) throw Invalid{};
    return std::move(*report);
  }
  return std::monostate{};
}
}  // namespace

CallDone decode_reply(CallId id, ReplyKind kind, const std::string& key, int status, const std::string& body) {
  CallDone done{id, status, {}};
  if (kind == kind_of<ExtendLease>() || kind == kind_of<DeleteMachines>()) return done;
  const bool has_body = status == 200 || (status == 409 && (kind == kind_of<Txn>() || kind == kind_of<CommandWorker>())) ||
                        (status == 404 && kind == kind_of<ReadKey>());
  if (!has_body) return done;
  if (kind == kind_of<TellPeer>() || kind == kind_of<RelayReport>()) {
    const Json j = Json::parse(body, nullptr, false);
    auto reply = j.is_discarded() ? std::nullopt : guarded([&] {
      return kind == kind_of<TellPeer>() ? Reply{peer_from_json(j)} : Reply{reply_from_json(j)};
    });
    if (reply) {
      done.reply = std::move(*reply);
    } else {
      done.status = 0;
    }
    return done;
  }
  const auto j = read_cbor(body);
  auto reply = j ? guarded([&] { return decode_body(kind, key, status, *j); }) : std::nullopt;
  // An answer that can't be read says nothing about the outcome.
  if (reply) {
    done.reply = std::move(*reply);
  } else {
    done.status = 0;
  }
  return done;
}

}  // namespace rushtrestle::protocol
