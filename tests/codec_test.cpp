#include "protocol/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rushtrestle::protocol {
namespace {

using namespace coordination;
using store::Json;

Json valid_job() {
  return {{"id", "job-000412"}, {"berth", "train"}, {"crew", "vision"},
          {"sort", "array"},    {"rank", "urgent"}, {"chores", 16},
          {"cores", 8.0},       {"cards", 1.0},     {"memoryGb", 64.0},
          {"bundle", "img-07"}, {"imageGb", 6.2},   {"breeds", Json::array({"g8"})},
          {"yard", nullptr},    {"oneZone", true},  {"scatter", false},
          {"loaners", true},    {"guessS", 240.0},  {"snapshotS", 30.0},
          {"stowS", 4.0},       {"dueS", 900.0},    {"later", Json::object({{"x", 1}})}};
}

int status_of(const std::string& method, const std::string& target, const std::string& body,
              bool too_large = false) {
  const auto d = decode_request(1, method, target, body, too_large);
  const auto* a = std::get_if<HttpAnswer>(&d);
  return a ? a->status : 0;  // 0: the request decodes to a command
}

TEST(Codec, DecodesTheExampleJobOfTheProtocol) {
  const auto spec = decode_job(*parse_cbor(to_cbor(valid_job())));
  ASSERT_TRUE(spec);
  EXPECT_EQ(spec->id, "job-000412");
  EXPECT_EQ(spec->tasks, 16u);
  EXPECT_EQ(spec->rank, store::Rank::high);
  EXPECT_EQ(spec->types, std::vector<std::string>{"g8"});
  EXPECT_FALSE(spec->zone);
  EXPECT_TRUE(spec->one_zone && spec->spot && !spec->spread);
  EXPECT_DOUBLE_EQ(*spec->deadline_s, 900);
}

TEST(Codec, RefusesEachInvalidField) {
  const std::vector<std::pair<const char*, Json>> bad = {
      {"id", "task-1"},    {"id", "job-"},    {"id", "job-a/b"},
      {"id", 7},           {"chores", 0},     {"chores", 100001},
      {"chores", 1.5},     {"chores", -1},    {"cores", -1.0},
      {"cores", "8"},      {"cards", 1e12},   {"sort", "cron"},
      {"rank", "highest"}, {"breeds", "g8"},  {"breeds", Json::array({1})},
      {"oneZone", 1},      {"guessS", -5.0},  {"imageGb", nullptr},
      {"bundle", ""},      {"crew", nullptr}, {"memoryGb", nullptr},
      {"yard", 3},         {"dueS", "soon"},  {"berth", std::string(300, 'x')}};
  for (const auto& [field, value] : bad) {
    Json j = valid_job();
    j[field] = value;
    EXPECT_EQ(status_of("POST", "/v1/jobs", to_cbor(j)), 400) << field << " = " << value;
  }
  Json nan = valid_job();
  nan["cores"] = std::nan("");
  EXPECT_EQ(status_of("POST", "/v1/jobs", to_cbor(nan)), 400);
}

// The answer to the user says only that the job is malformed; the decode error names the field.
TEST(Codec, AnInvalidFieldIsNamedWithItsReason) {
  struct Case {
    const char* field;
    Json value;
    const char* reason;
  };
  const std::vector<Case> cases = {{"id", "job-a/b", "not a job's id"},
                                   {"id", 7, "not a text"},
                                   {"berth", std::string(300, 'x'), "too long"},
                                   {"bundle", "", "empty"},
                                   {"crew", nullptr, "missing"},
                                   {"sort", "cron", "no such kind of job"},
                                   {"rank", "highest", "no such rank"},
                                   {"chores", 0u, "none or too many"},
                                   {"chores", -1, "not a whole number from 0"},
                                   {"cores", "8", "not a number"},
                                   {"cards", 1e12, "out of range"},
                                   {"breeds", "g8", "not a list"},
                                   {"breeds", Json::array({1}), "not a list of texts"},
                                   {"oneZone", 1, "not a truth value"}};
  for (const auto& [field, value, reason] : cases) {
    Json job = valid_job();
    job[field] = value;
    const auto decoded = decode_job(*parse_cbor(to_cbor(job)));
    ASSERT_FALSE(decoded) << field << " = " << value;
    EXPECT_EQ(decoded.error().field, field);
    EXPECT_EQ(decoded.error().reason, reason) << field << " = " << value;
  }
  const auto no_map = decode_job(Json::array({1}));
  ASSERT_FALSE(no_map);
  EXPECT_EQ(no_map.error().field, "");
  EXPECT_EQ(no_map.error().reason, "not a map");
}

TEST(Codec, AnInvalidFieldOfAHeartbeatIsNamedWithItsReason) {
  const Json heartbeat = {
      {"rig", "n-000001"}, {"addr", "a:1"}, {"breed", "g8"}, {"yard", "a"},
      {"shift", 1u},       {"tally", 1u},   {"baton", 1u},   {"chores", Json::array()}};
  const auto error_with = [&](const char* field, const Json& value) {
    Json changed = heartbeat;
    changed[field] = value;
    const auto decoded = decode_heartbeat(changed);
    return decoded ? DecodeError{"none", "none"} : decoded.error();
  };
  EXPECT_EQ(error_with("baton", "41").field, "baton");
  EXPECT_EQ(error_with("baton", "41").reason, "not a whole number from 0");
  const auto task_with = [](const char* name, const char* status) {
    return Json::array({{{"chore", name}, {"try", 1u}, {"status", status}}});
  };
  EXPECT_EQ(error_with("chores", task_with("job-1", "running")).field, "chore");
  EXPECT_EQ(error_with("chores", task_with("job-1", "running")).reason, "not a task's name");
  EXPECT_EQ(error_with("chores", task_with("job-1/0", "gathered")).field, "status");
  EXPECT_EQ(error_with("chores", task_with("job-1/0", "gathered")).reason, "no such state");
  EXPECT_EQ(error_with("chores", task_with("job-1/0", "ended")).field, "cause");
  EXPECT_EQ(error_with("chores", task_with("job-1/0", "ended")).reason, "missing");
  EXPECT_EQ(error_with("chores", task_with("job-1/0", "running")).field, "none") << "it is valid";
}

TEST(Codec, RefusesWhatIsNotAPlainCborMap) {
  EXPECT_EQ(status_of("POST", "/v1/jobs", ""), 400);
  EXPECT_EQ(status_of("POST", "/v1/jobs", "{\"id\":1}"), 400);
  EXPECT_EQ(status_of("POST", "/v1/jobs", to_cbor(Json::array({1}))), 400);
  EXPECT_EQ(status_of("POST", "/v1/jobs", to_cbor(valid_job()) + "x"), 400);
  EXPECT_EQ(status_of("POST", "/v1/jobs", to_cbor(valid_job()), true), 400);
  Json bytes = valid_job();
  bytes["bundle"] = Json::binary({1, 2});
  EXPECT_EQ(status_of("POST", "/v1/jobs", to_cbor(bytes)), 400);
  // The library's parser recurses as deep as the input nests; these would overflow the stack.
  EXPECT_FALSE(parse_cbor(std::string(60000, '\x81')));
  EXPECT_FALSE(parse_cbor(std::string(60000, '\xa1')));
  EXPECT_FALSE(parse_cbor(std::string(60000, '\x9f')));
}

// A submission with a Latin-1 image name was accepted, and the controllers that got it ended when
// they wrote it: JSON text of it can't be made.
TEST(Codec, RefusesTextThatIsNotUtf8) {
  const std::vector<std::string> not_utf8 = {
      "img-caf\xe9", "\xff", "a\x80", "\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82"};
  for (const auto& text : not_utf8) {
    for (const char* field : {"bundle", "berth", "crew", "yard", "sort", "a later field"}) {
      Json job = valid_job();
      job[field] = text;
      EXPECT_EQ(status_of("POST", "/v1/jobs", to_cbor(job)), 400) << field;
    }
    Json job = valid_job();
    job["breeds"] = Json::array({"g8", text});
    EXPECT_EQ(status_of("POST", "/v1/jobs", to_cbor(job)), 400);
    job = valid_job();
    job[text] = 1;
    EXPECT_EQ(status_of("POST", "/v1/jobs", to_cbor(job)), 400) << "the name of a field";
    const Json heartbeat = {{"rig", text}, {"addr", "a:1"}, {"breed", "g8"}, {"yard", "a"},
                            {"shift", 1u}, {"tally", 1u},   {"baton", 1u},   {"chores", {}}};
    EXPECT_EQ(status_of("POST", "/checkin", to_cbor(heartbeat)), 400);
  }
  Json job = valid_job();
  job["bundle"] = "img-caf\xc3\xa9-\xf0\x9f\x9a\x82";
  EXPECT_EQ(status_of("POST", "/v1/jobs", to_cbor(job)), 0) << "it is UTF-8";
}

TEST(Codec, RoutesByPathAndMethod) {
  EXPECT_EQ(status_of("GET", "/v1/jobs/job-1", ""), 0);
  EXPECT_EQ(status_of("POST", "/v1/jobs/job-1/abort", ""), 0);
  EXPECT_EQ(status_of("GET", "/v1/jobs/nope", ""), 404);
  EXPECT_EQ(status_of("GET", "/v1/jobs/", ""), 404);
  EXPECT_EQ(status_of("GET", "/elsewhere", ""), 404);
  EXPECT_EQ(status_of("GET", "/v1/jobs", ""), 405);
  EXPECT_EQ(status_of("DELETE", "/v1/jobs/job-1", ""), 405);
  EXPECT_EQ(status_of("POST", "/up", ""), 405);
  EXPECT_EQ(status_of("GET", "/checkin", ""), 405);
}

TEST(Codec, EncodesAnswersWithTheNamesOfTheProtocol) {
  const auto running =
      encode(AnswerUser{1, 200, JobView{"job-1", store::JobStatus::open, 3, 13}, 0});
  EXPECT_EQ(Json::from_cbor(running.body),
            (Json{{"id", "job-1"}, {"status", "running"}, {"done", 3}, {"running", 13}}));
  const auto cancelled =
      encode(AnswerUser{1, 200, JobView{"job-1", store::JobStatus::cancelled, 0, 0}, 0});
  EXPECT_EQ(Json::from_cbor(cancelled.body)["status"], "withdrawn");
  EXPECT_NE(encode(AnswerUser{1, 503, std::nullopt, 1.2}).headers.find("Retry-After: 2\r\n"),
            std::string::npos);
  const auto moved = encode(AnswerHeartbeat{1, {421, 0, {}, "trestle-2"}});
  EXPECT_EQ(Json::from_cbor(moved.body)["foreman"], "trestle-2");
  const auto orders =
      encode(AnswerHeartbeat{1, {200, 41, {{WorkerVerb::stop, "job-3", 1, 1, 10}}, ""}});
  EXPECT_EQ(Json::from_cbor(orders.body)["orders"][0],
            (Json{{"verb", "kill"}, {"chore", "job-3/1"}, {"try", 1}, {"leewayS", 10.0}}));
}

// A heartbeat that one controller forwards to another, and the response, arrive unchanged.
TEST(Codec, ForwardedHeartbeatsAndResponsesRoundTrip) {
  Heartbeat r;
  r.machine = "n-1";
  r.address = "10.1.0.1:9000";
  r.type = "g8";
  r.zone = "a";
  r.agent_epoch = 2;
  r.sequence = 9;
  r.fencing_token = 41;
  r.notice_s = 7.5;
  r.tasks = {{"job-3", 1, 4, TaskState::exited, ExitCause::stopped, true}};
  const auto call = encode(Call{1, 1, ForwardHeartbeat{"10.0.0.2:8081", r}});
  const auto got = decode_peer_request(5, call.method, call.target, call.body);
  const auto& command = std::get<HandleForwardedHeartbeat>(std::get<Command>(got));
  EXPECT_EQ(command.heartbeat.machine, "n-1");
  EXPECT_EQ(command.heartbeat.fencing_token, 41u);
  EXPECT_EQ(command.heartbeat.notice_s, 7.5);
  ASSERT_EQ(command.heartbeat.tasks.size(), 1u);
  EXPECT_EQ(command.heartbeat.tasks[0].cause, ExitCause::stopped);
  EXPECT_TRUE(command.heartbeat.tasks[0].saved);
  const auto answer =
      encode(AnswerForwardedHeartbeat{5, {200, 41, {{WorkerVerb::stop, "job-3", 1, 4, 10}}, ""}});
  const auto done =
      decode_reply(1, CallBody(ForwardHeartbeat{}).index(), "", answer.status, answer.body);
  const auto& reply = std::get<HeartbeatResponse>(done.reply);
  EXPECT_EQ(reply.status, 200);
  ASSERT_EQ(reply.commands.size(), 1u);
  EXPECT_EQ(reply.commands[0].grace_s, 10);
  EXPECT_EQ(
      std::get<HttpAnswer>(decode_peer_request(5, "POST", "/relay", "{\"machine\":1}")).status,
      400);
}

// A state or a verb that no version sends was taken as it came, outside of its enumeration.
TEST(Codec, RefusesNumbersThatNameNoStateAndNoVerb) {
  Heartbeat heartbeat;
  heartbeat.tasks = {{"job-3", 1, 4, TaskState::running, ExitCause::none, false}};
  const auto call = encode(Call{1, 1, ForwardHeartbeat{"10.0.0.2:8081", heartbeat}});
  constexpr int kStatePlace = 3, kCausePlace = 4;
  for (const int place : {kStatePlace, kCausePlace})
    for (const Json& number : {Json(99), Json(-1), Json(1e300), Json("1")}) {
      Json changed = Json::parse(call.body);
      changed["tasks"][0][place] = number;
      const auto decoded = decode_peer_request(5, "POST", "/relay", changed.dump());
      ASSERT_TRUE(std::holds_alternative<HttpAnswer>(decoded)) << number;
      EXPECT_EQ(std::get<HttpAnswer>(decoded).status, 400) << number;
    }
  const auto answer =
      encode(AnswerForwardedHeartbeat{5, {200, 41, {{WorkerVerb::stop, "job-3", 1, 4, 10}}, ""}});
  Json changed = Json::parse(answer.body);
  changed["commands"][0][0] = 3;
  EXPECT_EQ(decode_reply(1, CallBody(ForwardHeartbeat{}).index(), "", 200, changed.dump()).status,
            0);
}

PeerState peer_state_with_cancellations() {
  PeerState s;
  s.node = "node-2";
  s.incarnation = "i2";
  s.at = 5;
  s.revision = 90;
  s.current_age_s = 1.5;
  s.known_cancellations = CancellationPosition{"i1", 4};
  s.offered_cancellations = CancellationOffer{{"i2", 9}, 6, true, {{"job-3", 91}, {"job-7", 95}}};
  return s;
}

TEST(Codec, PeerStateRoundTrips) {
  const auto answer = encode(AnswerPeer{5, peer_state_with_cancellations()});
  const auto done =
      decode_reply(1, CallBody(SendPeerState{}).index(), "", answer.status, answer.body);
  const auto& got = std::get<PeerState>(done.reply);
  EXPECT_EQ(got.revision, 90u);
  EXPECT_EQ(got.current_age_s, 1.5);
  ASSERT_TRUE(got.known_cancellations && got.offered_cancellations);
  EXPECT_EQ(got.known_cancellations->count, 4u);
  EXPECT_EQ(got.offered_cancellations->end.count, 9u);
  EXPECT_EQ(got.offered_cancellations->from, 6u);
  EXPECT_TRUE(got.offered_cancellations->complete);
  ASSERT_EQ(got.offered_cancellations->cancellations.size(), 2u);
  EXPECT_EQ(got.offered_cancellations->cancellations[1].job, "job-7");
  EXPECT_EQ(got.offered_cancellations->cancellations[1].mod_revision, 95u);
}

// A controller of the previous version sends none of these fields. A state with an invalid field is
// rejected as a whole.
TEST(Codec, PeerStateFieldsMayBeAbsentButNotInvalid) {
  const auto call =
      encode(Call{1, 1, SendPeerState{"10.0.0.2:8081", peer_state_with_cancellations()}});
  const auto status_with = [&](const char* pointer, const Json& value) {
    Json j = Json::parse(call.body);
    j[Json::json_pointer(pointer)] = value;
    const auto d = decode_peer_request(5, "POST", "/peer", j.dump());
    return std::holds_alternative<HttpAnswer>(d) ? std::get<HttpAnswer>(d).status : 0;
  };
  Json old = Json::parse(call.body);
  for (const char* field : {"revision", "current_age", "has", "handover"}) old.erase(field);
  const auto d = decode_peer_request(5, "POST", "/peer", old.dump());
  const auto& state = std::get<HandlePeerState>(std::get<Command>(d)).state;
  EXPECT_EQ(state.node, "node-2");
  EXPECT_FALSE(state.known_cancellations || state.offered_cancellations || state.current_age_s);
  EXPECT_EQ(status_with("/handover/whole", true), 0);
  EXPECT_EQ(status_with("/handover/whole", "yes"), 400);
  EXPECT_EQ(status_with("/handover/from", 10), 400);
  EXPECT_EQ(status_with("/handover/upto", 7), 400);
  EXPECT_EQ(status_with("/handover/cancelled/0/0", "a/b"), 400);
  EXPECT_EQ(status_with("/handover/cancelled/0", Json::array()), 400);
  EXPECT_EQ(status_with("/has/upto", -1.5), 400);
}

TEST(Codec, UnreadableAnswersCountAsUnknownOutcomes) {
  const size_t txn = CallBody(Txn{}).index(), types = CallBody(ListMachineTypes{}).index();
  EXPECT_EQ(decode_reply(1, txn, "", 200, "garbage").status, 0);
  EXPECT_EQ(decode_reply(1, txn, "", 200, to_cbor({{"epoch", "x"}})).status, 0);
  EXPECT_EQ(decode_reply(1, txn, "", 503, "").status, 503);
  const auto ok = decode_reply(1, txn, "", 409, to_cbor({{"failed", {"a"}}, {"epoch", 4}}));
  EXPECT_EQ(std::get<TxnReply>(ok.reply).failed, std::vector<std::string>{"a"});
  EXPECT_EQ(decode_reply(1, types, "", 200, to_cbor({{"breeds", {{{"sku", 1}}}}})).status, 0);
}

// A worker's answer to commands that nests arrays deep enough overflowed the controller's stack.
TEST(Codec, ADeeplyNestedAnswerCountsAsAnUnknownOutcome) {
  constexpr size_t kLargestReply = size_t{4} * 1024 * 1024;
  for (size_t kind = 0; kind < std::variant_size_v<CallBody>; ++kind) {
    const bool has_body =
        kind != CallBody(RenewLease{}).index() && kind != CallBody(DeleteMachines{}).index();
    for (const char nested : {'\x81', '\xa1', '\x9f'})
      EXPECT_EQ(decode_reply(1, kind, "k", 200, std::string(kLargestReply, nested)).status,
                has_body ? 0 : 200)
          << "kind " << kind;
  }
}

// One record that an earlier version stored must not keep a controller from reading all others.
TEST(Codec, ARecordWithTextThatIsNotUtf8IsRead) {
  const Json changes = {{"epoch", 4},
                        {"log", {{{"put", "job/job-1"}, {"v", {{"x", "\xe9"}}}, {"stamp", 4}}}}};
  const auto done = decode_reply(1, CallBody(Watch{}).index(), "", 200, to_cbor(changes));
  ASSERT_EQ(done.status, 200);
  EXPECT_EQ(std::get<WatchReply>(done.reply).events.size(), 1u);
}

rc::Gen<Heartbeat> heartbeats() {
  const auto task = rc::gen::apply(
      [](uint16_t job, uint32_t n, uint64_t attempt, int state, int cause, bool saved) {
        ReportedTask t;
        t.job = "job-" + std::to_string(job);
        t.task = n;
        t.attempt = attempt;
        t.state = static_cast<TaskState>(state);
        t.cause = t.state == TaskState::exited ? static_cast<ExitCause>(cause) : ExitCause::none;
        t.saved = saved;
        return t;
      },
      rc::gen::arbitrary<uint16_t>(), rc::gen::arbitrary<uint32_t>(),
      rc::gen::arbitrary<uint64_t>(), rc::gen::inRange(0, 4), rc::gen::inRange(1, 7),
      rc::gen::arbitrary<bool>());
  return rc::gen::apply(
      [](uint64_t agent_epoch, uint64_t sequence, uint64_t fencing_token,
         std::vector<ReportedTask> tasks) {
        Heartbeat r;
        r.machine = "n-000231";
        r.address = "10.1.0.232:9000";
        r.type = "g8";
        r.zone = "a";
        r.agent_epoch = agent_epoch;
        r.sequence = sequence;
        r.fencing_token = fencing_token;
        r.tasks = std::move(tasks);
        return r;
      },
      rc::gen::arbitrary<uint64_t>(), rc::gen::arbitrary<uint64_t>(),
      rc::gen::arbitrary<uint64_t>(), rc::gen::container<std::vector<ReportedTask>>(task));
}

Json worker_json(const Heartbeat& r) {
  static const char* states[] = {"pulling", "running", "saving", "ended"};
  static const char* causes[] = {"", "done", "stopped", "error", "full", "in_use", "no_such"};
  Json j = {{"rig", r.machine},    {"addr", r.address},        {"breed", r.type},
            {"yard", r.zone},      {"loaners", r.spot},        {"shift", r.agent_epoch},
            {"tally", r.sequence}, {"baton", r.fencing_token}, {"chores", Json::array()}};
  for (const auto& t : r.tasks) {
    Json c = {{"chore", t.job + "/" + std::to_string(t.task)},
              {"try", t.attempt},
              {"status", states[static_cast<int>(t.state)]},
              {"kept", t.saved}};
    if (t.state == TaskState::exited) c["cause"] = causes[static_cast<int>(t.cause)];
    j["chores"].push_back(c);
  }
  return j;
}

RC_GTEST_PROP(Codec, HeartbeatsRoundTrip, ()) {
  const auto r = *heartbeats();
  const auto parsed = parse_cbor(to_cbor(worker_json(r)));
  RC_ASSERT(parsed.has_value());
  const auto back = decode_heartbeat(*parsed);
  RC_ASSERT(back.has_value());
  RC_ASSERT(back->agent_epoch == r.agent_epoch && back->sequence == r.sequence &&
            back->fencing_token == r.fencing_token);
  RC_ASSERT(worker_json(*back) == worker_json(r));
}

RC_GTEST_PROP(Codec, TruncatedMessagesAreRefused, ()) {
  const std::string whole = to_cbor(worker_json(*heartbeats()));
  const auto cut = *rc::gen::inRange<size_t>(0, whole.size());
  RC_ASSERT(status_of("POST", "/checkin", whole.substr(0, cut)) == 400);
}

RC_GTEST_PROP(Codec, NoBytesCrashTheDecoder, (const std::string& bytes)) {
  (void)status_of("POST", "/v1/jobs", bytes);
  (void)decode_reply(1, *rc::gen::inRange<size_t>(0, std::variant_size_v<CallBody>), "k", 200,
                     bytes);
  std::string flipped = to_cbor(valid_job());
  flipped[*rc::gen::inRange<size_t>(0, flipped.size())] = *rc::gen::arbitrary<char>();
  const int status = status_of("POST", "/v1/jobs", flipped);
  RC_ASSERT(status == 0 || status == 400);
}

TEST(Codec, DecodesTaskStatesOfGangs) {
  const auto heartbeat = [](const char* status, const char* cause) {
    Json task = {{"chore", "job-1/0"}, {"try", 1u}, {"status", status}};
    if (cause) task["cause"] = cause;
    return decode_heartbeat(Json{{"rig", "n-000001"},
                                 {"addr", "a:1"},
                                 {"breed", "g8"},
                                 {"yard", "a"},
                                 {"shift", 1u},
                                 {"tally", 1u},
                                 {"baton", 1u},
                                 {"chores", Json::array({task})}});
  };
  const auto gathering = heartbeat("gathering", nullptr);
  ASSERT_TRUE(gathering);
  EXPECT_EQ(gathering->tasks[0].state, TaskState::fetching) << "not running yet";
  EXPECT_TRUE(gathering->tasks[0].gathering);
  EXPECT_FALSE(heartbeat("pulling", nullptr)->tasks[0].gathering);
  for (const char* cause : {"peers", "incomplete"}) {
    const auto ended = heartbeat("ended", cause);
    ASSERT_TRUE(ended) << cause;
    EXPECT_EQ(ended->tasks[0].cause, ExitCause::stopped) << "the machine is not at fault";
  }
  EXPECT_FALSE(heartbeat("gathered", nullptr)) << "no such state";
  EXPECT_FALSE(heartbeat("ended", nullptr)) << "an end needs its cause";
}

}  // namespace
}  // namespace rushtrestle::protocol
