// Guards the formats that must never change, because users, workers and earlier versions read and
// write them: paths, field names and bytes of each message and stored record, keys, settings, and
// the keys of `/stats`. The test compares them with tests/golden/frozen_formats.json, which the
// sources at b25747b wrote. A difference breaks compatibility and is no reason to regenerate the
// file. Only new messages and fields are added to it:
// `WRITE_FROZEN_FORMATS=FILE rushtrestle_tests --gtest_filter=FrozenFormats.*`.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <set>

#include "protocol/codec.h"
#include "protocol/settings.h"
#include "simulation/generated_faults.h"
#include "versions/current_fields.h"

namespace rushtrestle::testing {
namespace {

using protocol::HttpAnswer;
using protocol::HttpCall;

std::string hex(const std::string& bytes) {
  static constexpr char kHex[] = "0123456789abcdef";
  std::string out;
  for (const unsigned char c : bytes) {
    out += kHex[c >> 4];
    out += kHex[c & 15];
  }
  return out;
}

Json form_of(const HttpCall& call) {
  return {{"service", static_cast<int>(call.service)},
          {"address", call.address},
          {"request", call.method + " " + call.target},
          {"content_type", call.content_type},
          {"body", hex(call.body)}};
}

Json form_of(const HttpAnswer& answer) {
  return {{"status", answer.status},
          {"headers", answer.headers},
          {"content_type", answer.content_type},
          {"body", hex(answer.body)}};
}

Json form_of(const std::variant<Command, HttpAnswer>& decoded) {
  if (const auto* answer = std::get_if<HttpAnswer>(&decoded)) return form_of(*answer);
  return exchange::save(std::get<Command>(decoded));
}

store::JobSpec job_spec() {
  store::JobSpec s;
  s.id = "job-000412";
  s.job_class = "train";
  s.team = "vision";
  s.kind = store::JobKind::gang;
  s.rank = store::Rank::high;
  s.tasks = 16;
  s.per_task = {8, 1, 64};
  s.types = {"g8", "g4"};
  s.zone = "north";
  s.one_zone = s.spread = s.spot = true;
  s.image = "img-07";
  s.image_gb = 6.25;
  s.estimate_s = 240;
  s.checkpoint_s = 30;
  s.save_s = 4;
  s.deadline_s = 900;
  return s;
}

store::JobRecord job_record() {
  store::JobRecord r;
  r.spec = job_spec();
  r.status = store::JobStatus::cancelled;
  r.submitted = 1000.5;
  r.last_start = 1010.25;
  r.not_before = 1070;
  r.attempts = 7;
  for (const uint32_t task : {0U, 1U, 2U, 5U}) r.done.insert(task);
  r.placed = {{3, "n-000001", 6, true, false}, {4, "n-000002", 7, false, true}};
  return r;
}

store::MachineRecord machine_record() {
  return {"n-000001",
          "10.1.0.1:9000",
          "g8",
          "north",
          true,
          2,
          1,
          true,
          store::MachinePhase::reassignment_requested,
          990.5};
}

Heartbeat worker_report() {
  Heartbeat r{"n-000001", "10.1.0.1:9000", "g8", "north", true, 3, 17, 42, 25.0, {}};
  r.tasks = {{"job-000412", 3, 6, TaskState::running, ExitCause::none, true, false},
             {"job-000413", 0, 1, TaskState::exited, ExitCause::error, false, false}};
  return r;
}

std::vector<WorkerCommand> worker_commands() {
  return {{WorkerVerb::start, "job-000412", 3, 6, 0},
          {WorkerVerb::stop, "job-000413", 0, 1, 5.5},
          {WorkerVerb::forget, "job-000414", 9, 2, 0}};
}

PeerState peer_state() {
  PeerState s;
  s.node = "node-1";
  s.incarnation = "node-1.7";
  s.has_state_store = s.synced = true;
  s.backlog = 3;
  s.shards = {0, 2};
  s.machines_heard = {"n-000009"};
  s.nodes = {"node-0", "node-2"};
  s.at = 1000.5;
  s.revision = 77;
  s.current_age_s = 0.5;
  s.known_cancellations = CancellationPosition{"node-0.3", 5};
  s.offered_cancellations =
      CancellationOffer{{"node-1.7", 4}, 2, true, {{"job-000412", 70}, {"job-000413", 71}}};
  s.version = "0.2.0";
  s.record_format = 1;
  s.budget_need = 0.25;
  return s;
}

Json calls() {
  const Txn txn{{{"job/job-000412", 12}, {"part/2", 3}},
                {{"job/job-000412", Json{{"a", 1}}, 0},
                 {"part/2", Json{{"b", 2}}, 9},
                 {"leader", std::nullopt, 0}}};
  const std::vector<std::pair<const char*, CallBody>> all = {
      {"txn", txn},
      {"read_key", ReadKey{"job/a b"}},
      {"read_page", ListKeys{"job/", "job/job-1"}},
      {"grant_lease", GrantLease{3.5}},
      {"extend_lease", RenewLease{9}},
      {"watch", Watch{77, 4}},
      {"get_types", ListMachineTypes{}},
      {"rent_machines", ProvisionMachines{"h-1", "g8", "north", true, 3}},
      {"delete_machines", DeleteMachines{{"n-000001", "n-000002"}}},
      {"list_machines", ListMachines{"n-000001"}},
      {"command_worker", PushCommands{"10.1.0.1:9000", 42, 3, worker_commands()}},
      {"tell_peer", SendPeerState{"10.0.0.2:8081", peer_state()}},
      {"relay_report", ForwardHeartbeat{"10.0.0.2:8081", worker_report()}}};
  Json out;
  for (const auto& [name, body] : all) out[name] = form_of(protocol::encode(Call{1, 1, body}));
  return out;
}

Json answers() {
  const JobView view{"job-000412", store::JobStatus::open, 4, 2};
  const JobView cancelled{"job-000412", store::JobStatus::cancelled, 4, 0};
  Json out;
  out["user_accepted"] = form_of(protocol::encode(AnswerUser{1, 201, view, 0}));
  out["user_cancelled"] = form_of(protocol::encode(AnswerUser{1, 200, cancelled, 0}));
  out["user_not_now"] = form_of(protocol::encode(AnswerUser{1, 503, std::nullopt, 1.5}));
  out["user_limited"] = form_of(protocol::encode(AnswerUser{1, 429, std::nullopt, 2}));
  out["user_unknown"] = form_of(protocol::encode(AnswerUser{1, 404, std::nullopt, 0}));
  out["user_never"] = form_of(protocol::encode(AnswerUser{1, 422, std::nullopt, 0}));
  out["healthy"] = form_of(protocol::encode(AnswerUser{1, 200, std::nullopt, 0}));
  out["worker"] = form_of(protocol::encode(AnswerHeartbeat{1, {200, 42, worker_commands(), ""}}));
  out["worker_sent_on"] = form_of(protocol::encode(AnswerHeartbeat{1, {421, 0, {}, "node-2"}}));
  out["worker_not_now"] = form_of(protocol::encode(AnswerHeartbeat{1, {}}));
  out["relayed"] =
      form_of(protocol::encode(AnswerForwardedHeartbeat{1, {200, 42, worker_commands(), ""}}));
  out["peer"] = form_of(protocol::encode(AnswerPeer{1, peer_state()}));
  out["stats"] = form_of(protocol::encode(AnswerStats{1, {{"a", 1}}}));
  return out;
}

Json job_message() {
  return {{"id", "job-000412"}, {"berth", "train"}, {"crew", "vision"},
          {"sort", "group"},    {"rank", "urgent"}, {"chores", 16},
          {"cores", 8.0},       {"cards", 1.0},     {"memoryGb", 64.0},
          {"bundle", "i-7"},    {"imageGb", 6.2},   {"breeds", Json::array({"g8"})},
          {"yard", "north"},    {"oneZone", true},  {"scatter", true},
          {"loaners", true},    {"guessS", 240.0},  {"snapshotS", 30.0},
          {"stowS", 4.0},       {"dueS", 900.0}};
}

Json report_message() {
  Json chores = Json::array();
  for (const char* status : {"pulling", "gathering", "running", "saving"})
    chores.push_back({{"chore", "job-000412/3"}, {"try", 6}, {"status", status}, {"kept", true}});
  for (const char* cause :
       {"done", "stopped", "full", "in_use", "no_such", "peers", "incomplete", "error", "other"})
    chores.push_back(
        {{"chore", "job-000413/0"}, {"try", 1}, {"status", "ended"}, {"cause", cause}});
  return {{"rig", "n-000001"}, {"addr", "10.1.0.1:9000"},
          {"breed", "g8"},     {"yard", "north"},
          {"loaners", true},   {"shift", 3},
          {"tally", 17},       {"baton", 42},
          {"warningS", 25.0},  {"chores", chores}};
}

Json requests() {
  const std::string job = protocol::to_cbor(job_message());
  const std::string heartbeat = protocol::to_cbor(report_message());
  const auto user = [](const char* method, const char* target, const std::string& body) {
    return form_of(protocol::decode_request(1, method, target, body, false));
  };
  Json out;
  out["submit"] = user("POST", "/v1/jobs", job);
  out["submit_malformed"] = user("POST", "/v1/jobs", "x");
  out["submit_wrong_method"] = user("GET", "/v1/jobs", "");
  out["query"] = user("GET", "/v1/jobs/job-000412", "");
  out["cancel"] = user("POST", "/v1/jobs/job-000412/abort", "");
  out["cancel_wrong_method"] = user("GET", "/v1/jobs/job-000412/abort", "");
  out["query_odd_id"] = user("GET", "/v1/jobs/task-1", "");
  out["health"] = user("GET", "/up", "");
  out["stats"] = user("GET", "/stats", "");
  out["report"] = user("POST", "/checkin", heartbeat);
  out["report_malformed"] = user("POST", "/checkin", "x");
  out["no_such_path"] = user("GET", "/other", "");
  const auto too_large = protocol::decode_request(1, "POST", "/v1/jobs", job, true);
  out["submit_too_large"] = form_of(too_large);
  const std::string status = protocol::encode(AnswerPeer{0, peer_state()}).body;
  const std::string forwarded =
      protocol::encode(Call{0, 0, ForwardHeartbeat{"", worker_report()}}).body;
  out["peer"] = form_of(protocol::decode_peer_request(1, "POST", "/peer", status));
  out["relay"] = form_of(protocol::decode_peer_request(1, "POST", "/relay", forwarded));
  out["peer_malformed"] = form_of(protocol::decode_peer_request(1, "POST", "/peer", "{}"));
  return out;
}

Json replies() {
  const auto decoded = [](const CallBody& call, int status, const Json& body) {
    const auto kind = call.index();
    return exchange::save(
        protocol::decode_reply(1, kind, "job/job-1", status, protocol::to_cbor(body)));
  };
  const Json machine = {{"id", "n-1"},     {"addr", "10.1.0.1:9"}, {"breed", "g8"},
                        {"yard", "north"}, {"loaners", true},      {"status", "booting"},
                        {"ageS", 4.0}};
  const Json type = {{"sku", "g8"},      {"cores", 64.0},
                     {"cards", 8.0},     {"memoryGb", 512.0},
                     {"localGb", 600.0}, {"pullGbPerS", 4.6},
                     {"hourly", 24.5},   {"lowPrice", 9.0},
                     {"readyS", 40.0},   {"yards", Json::array({"north"})}};
  Json out;
  out["txn"] = decoded(Txn{}, 200, {{"epoch", 9}});
  out["txn_conflict"] = decoded(Txn{}, 409, {{"epoch", 9}, {"failed", Json::array({"job/job-1"})}});
  out["read_key"] = decoded(ReadKey{}, 200, {{"v", {{"a", 1}}}, {"stamp", 5}});
  out["read_key_absent"] = decoded(ReadKey{}, 404, {{"epoch", 9}});
  out["read_page"] =
      decoded(ListKeys{}, 200,
              {{"entries", Json::array({{{"k", "job/job-1"}, {"v", {{"a", 1}}}, {"stamp", 5}}})},
               {"hasNext", true},
               {"epoch", 9}});
  out["lease"] = decoded(GrantLease{}, 200, {{"tenancy", 4}});
  out["watch"] =
      decoded(Watch{}, 200,
              {{"epoch", 9},
               {"log", Json::array({{{"put", "job/job-1"}, {"v", {{"a", 1}}}, {"stamp", 5}},
                                    {{"delete", "part/1"}, {"stamp", 6}}})}});
  out["types"] = decoded(ListMachineTypes{}, 200, {{"breeds", Json::array({type})}});
  out["rent"] = decoded(ProvisionMachines{}, 200, {{"rigs", Json::array({"n-1", "n-2"})}});
  out["list"] = decoded(ListMachines{}, 200, {{"rigs", Json::array({machine})}, {"hasNext", true}});
  out["worker"] = decoded(PushCommands{}, 200, report_message());
  out["unreadable"] = decoded(GrantLease{}, 200, Json::object());
  return out;
}

Json records() {
  store::MachineType type{"g8", {64, 8, 512}, 600, 4.6, 24.5, 9, 40, {"north", "south"}};
  Json out;
  out["job"] = to_json(job_record());
  out["job_plain"] = to_json(store::job_record_from_json(to_json(store::JobRecord{})));
  out["machine"] = to_json(machine_record());
  out["machine_plain"] = to_json(store::machine_record_from_json(to_json(store::MachineRecord{})));
  out["holder"] = to_json(store::LeaseHolderRecord{"node-1", "node-1.7"});
  out["types"] = to_json(std::vector<store::MachineType>{type});
  out["keys"] = {store::job_key("job-1"), store::cancel_key("job-1"), store::machine_key("n-1"),
                 store::shard_key(2),     store::leader_key,          store::types_key,
                 store::format_key};
  out["record_format"] = store::kRecordFormat;
  out["read_again"] = {to_json(store::job_record_from_json(to_json(job_record()))),
                       to_json(store::machine_record_from_json(to_json(machine_record())))};
  return out;
}

constexpr const char* kSettingsFile = R"(node = "trestle-0"
area = "north"
serve_on = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
later = 1
[[peers]]
node = "trestle-1"
area = "south"
peer_addr = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
count = 2
zones = ["north", "south"]
clock_error_ms = 1000.0
[[deployment.teams]]
name = "red"
cpus = 616.0
cpus_max = 1232.0
gpus = 72.0
gpus_max = 144.0
[[deployment.objectives]]
kind = "wait"
class = "kalamos"
within_s = 80.0
share = 0.9
[[deployment.objectives]]
kind = "guarantee"
within_s = 10.0
share = 0.975
[deployment.workers]
report_s = 2.0
lease_s = 14.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 39.0
[deployment.state]
rps = 60.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 8
[deployment.state.next]
value_kb = 3.0
txn_ops = 6
write_rps = 15.0
[deployment.cloud]
rps = 8.0
list_lag_s = 3.0
[deployment.resources]
cores = 0.16
ram_mb = 56.0
fd_limit = 800
)";

constexpr const char* kOperatorSettings = R"((requeue-delay 30)
(scan-period 4)
(share-period 6)
(preemptible low normal)
(reclaim-guarantee off)
(consolidate off)
(team-share red 2))";

Json settings() {
  const std::string path = ::testing::TempDir() + "rushtrestle-frozen-formats.toml";
  std::ofstream(path) << kSettingsFile;
  const store::Settings platform = protocol::read_settings(path);
  std::remove(path.c_str());
  return {{"platform", exchange::save(platform)},
          {"operators",
           exchange::save(protocol::parse_operator_settings(kOperatorSettings, platform))}};
}

/// Collects the paths of all keys. The names of the controllers are the same in each run.
void collect_keys(const Json& value, const std::string& path, std::set<std::string>& keys) {
  if (!value.is_object()) return;
  for (const auto& [name, inner] : value.items()) {
    keys.insert(path + name);
    collect_keys(inner, path + name + "/", keys);
  }
}

Json stats_keys() {
  ClusterSimulation::Options options;
  options.seed = 11;
  ClusterSimulation world(options);
  constexpr int kJobs = 20;
  std::mt19937_64 rng(options.seed);
  for (int number = 0; number < kJobs; ++number) world.submit(random_job(number, rng), 20 + number);
  world.at(60, [&] { world.kill_node(1, 5); });
  world.at(70, [&] { world.kill_machine(2); });
  world.run_until(150);
  std::set<std::string> keys;
  for (int node = 0; node < options.nodes; ++node) collect_keys(world.stats_of(node), "", keys);
  return keys;
}

TEST(FrozenFormats, AreThoseOfTheRecordedSources) {
  const Json now = {{"calls", calls()},          {"answers", answers()}, {"requests", requests()},
                    {"replies", replies()},      {"records", records()}, {"settings", settings()},
                    {"stats_keys", stats_keys()}};
  if (const char* file = std::getenv("WRITE_FROZEN_FORMATS"))
    std::ofstream(file) << now.dump(1) << '\n';
  std::ifstream in(FROZEN_FORMATS_FILE);
  ASSERT_TRUE(in) << FROZEN_FORMATS_FILE;
  const Json recorded = Json::parse(in);
  for (const auto& [group, values] : recorded.items()) EXPECT_EQ(now.at(group), values) << group;
}

}  // namespace
}  // namespace rushtrestle::testing
