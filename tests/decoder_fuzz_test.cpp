// Every decoder gets bodies up to the size limit that are made to recurse, to allocate or to loop:
// nested chunks, tags, lists, maps and keys, lengths and counts that lie, long and damaged
// messages. A decoder may refuse a body, but must return: a crash ends the test program. The seed
// is fixed.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <random>

#include "protocol/cbor_structure.h"
#include "protocol/codec.h"
#include "protocol/settings.h"
#include "store/state_cache.h"
#include "support/sample_records.h"
#include "transport/http_message.h"

namespace rushtrestle::protocol {
namespace {

using namespace coordination;
using store::Json;
using Random = std::mt19937_64;

constexpr uint64_t kSeed = 20261204;
constexpr int kDamagedBodies = 300;  // of each valid message
constexpr size_t kLimit = kBodyLimit;

struct IgnoringListener final : store::StateCache::Listener {
  void on_job_changed(const std::string&) override {}
  void on_machine_changed(const std::string&) override {}
  void on_lease_holder_changed(const std::string&) override {}
};

// ---- decoders ----

int status_of(const DecodedRequest& decoded) {
  const auto* answer = std::get_if<HttpAnswer>(&decoded);
  return answer ? answer->status : 200;
}

void decode_replies(const std::string& body) {
  for (ReplyKind kind = 0; kind < std::variant_size_v<CallBody>; ++kind)
    for (const int status : {200, 404, 409}) decode_reply(1, kind, "job/job-1", status, body);
}

void decode_records(const std::string& body) {
  const auto value = parse_cbor(body, TextEncoding::any);
  if (!value) return;
  IgnoringListener listener;
  store::StateCache cache(listener);
  for (const char* key :
       {"job/job-7", "machine/n-1", "cancel/job-7", "types", "format", "leader", "part/0"})
    cache.apply({key, *value, 1});
}

void decode_operator_settings(const std::string& body) {
  try {
    parse_operator_settings(body, {});
  } catch (const SettingsError&) {
  }
}

void decode_http(const std::string& body) {
  for (const auto type : {HTTP_REQUEST, HTTP_RESPONSE}) {
    transport::MessageParser parser(type, kLimit);
    const auto ignore = [](transport::HttpMessage&& message, bool) {
      EXPECT_LE(message.body.size(), kLimit);
    };
    if (parser.feed(body.data(), body.size(), ignore)) parser.finish(ignore);
  }
}

// Every decoder gets every body, whatever its format.
void decode_everywhere(const std::string& body) {
  decode_request(1, "POST", "/v1/jobs", body, false);
  decode_request(1, "POST", "/checkin", body, false);
  decode_request(1, "GET", "/v1/jobs/" + body, "", false);
  decode_peer_request(1, "POST", "/peer", body);
  decode_peer_request(1, "POST", "/relay", body);
  decode_replies(body);
  decode_records(body);
  decode_operator_settings(body);
  decode_http(body);
}

// ---- bodies ----

std::string repeated(const std::string& pattern, size_t size) {
  std::string body;
  body.reserve(size + pattern.size());
  while (body.size() < size) body += pattern;
  body.resize(size);
  return body;
}

// Beginnings of items that nest, as values and as keys of maps.
const std::vector<std::string>& nesting_patterns() {
  static const std::vector<std::string> patterns = {"\x5f",
                                                    "\x7f",
                                                    "\x5f\x5f\x7f",
                                                    "\x7f\x61x",
                                                    "\x81",
                                                    "\x82\x01",
                                                    "\x9f",
                                                    "\xa1\x61x",
                                                    "\xbf\x61x",
                                                    "\xa1",
                                                    "\xbf",
                                                    "\xa1\x7f",
                                                    "\xbf\x61x\x9f",
                                                    "\xc1",
                                                    "\xd8\x18",
                                                    "\xc0\x81",
                                                    "\x9f\xa1\x61x\x81",
                                                    "\x81\x7f",
                                                    "[",
                                                    "{\"a\":",
                                                    "[{\"a\":",
                                                    "(",
                                                    "(preemptible ",
                                                    "((preemptible low) ",
                                                    "low ",
                                                    "\"",
                                                    "\\u00",
                                                    ";",
                                                    "1",
                                                    "-",
                                                    "1e9"};
  return patterns;
}

// A CBOR head whose length or count lies.
std::string lying_head(Random& random) {
  constexpr uint64_t kArguments[] = {
      0, 1, 255, 65535, kLimit, 0x7fffffff, 0xffffffff, 1ULL << 63, UINT64_MAX - 1, UINT64_MAX};
  const uint64_t argument = kArguments[random() % std::size(kArguments)];
  const auto size = static_cast<unsigned>(random() % 4);  // 1, 2, 4 or 8 bytes
  std::string head(1, static_cast<char>((random() % 8) << 5U | (24 + size)));
  for (int byte = (1 << size) - 1; byte >= 0; --byte)
    head += static_cast<char>(argument >> (8U * static_cast<unsigned>(byte)));
  return head;
}

Json valid_heartbeat(int tasks) {
  Json chores = Json::array();
  for (int i = 0; i < tasks; ++i)
    chores.push_back(
        {{"chore", "job-" + std::to_string(i) + "/0"}, {"try", 1}, {"status", "running"}});
  return {{"rig", "n-1"}, {"addr", "10.0.0.1:1"}, {"breed", "g8"}, {"yard", "a"},
          {"shift", 1},   {"tally", 1},           {"baton", 1},    {"chores", std::move(chores)}};
}

Json valid_job() {
  return {{"id", "job-1"},  {"berth", "train"}, {"crew", "red"},   {"sort", "array"},
          {"rank", "prod"}, {"chores", 3},      {"cores", 1.0},    {"memoryGb", 2.0},
          {"bundle", "i"},  {"imageGb", 1.5},   {"breeds", {"g8"}}};
}

std::vector<std::string> state_store_replies() {
  const Json record = to_json(store::sample_job_record());
  const Json entry = {{"k", "job/job-7"}, {"v", record}, {"stamp", 4}, {"tenancy", 7}};
  const Json event = {{"put", "job/job-7"}, {"v", record}, {"stamp", 4}};
  return {to_cbor(record),
          to_cbor(entry),
          to_cbor({{"entries", Json::array({entry, entry})}, {"hasNext", true}, {"epoch", 9}}),
          to_cbor({{"log", Json::array({event, event})}, {"epoch", 9}}),
          to_cbor({{"failed", Json::array({"job/job-7", "part/0"})}, {"epoch", 9}}),
          to_cbor({{"tenancy", 7}})};
}

std::vector<std::string> cloud_replies() {
  const Json type = {{"sku", "g8"},    {"cores", 96},        {"cards", 8},   {"memoryGb", 768},
                     {"localGb", 200}, {"pullGbPerS", 1.0},  {"hourly", 12}, {"lowPrice", 4.5},
                     {"readyS", 45},   {"yards", {"a", "b"}}};
  const Json machine = {{"id", "n-1"},     {"addr", "10.0.0.1:1"}, {"breed", "g8"}, {"yard", "a"},
                        {"loaners", true}, {"status", "running"},  {"ageS", 61.5}};
  return {to_cbor({{"breeds", Json::array({type, type})}}),
          to_cbor({{"rigs", Json::array({machine, machine})}, {"hasNext", false}}),
          to_cbor({{"rigs", Json::array({"n-1", "n-2"})}})};
}

std::vector<std::string> peer_messages() {
  const ForwardHeartbeat forwarded{"a:1",
                                   *decode_heartbeat(*parse_cbor(to_cbor(valid_heartbeat(3))))};
  PeerState state;
  state.node = "c-1";
  state.shards = {0, 2};
  state.machines_heard = {"n-1", "n-2"};
  state.nodes = {"c-2", "c-3"};
  HeartbeatResponse response{200, 41, {{WorkerVerb::stop, "job-1", 3, 2, 10}}, "c-2"};
  return {encode(Call{1, 1, forwarded}).body, encode(Call{1, 1, SendPeerState{"a:1", state}}).body,
          encode(AnswerForwardedHeartbeat{1, response}).body};
}

std::vector<std::string> valid_bodies() {
  std::vector<std::string> bodies = {
      to_cbor(valid_job()), to_cbor(valid_heartbeat(1000)),
      "(requeue-delay 60) (preemptible low normal)",
      "POST /checkin HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\nx"};
  for (const auto& messages : {state_store_replies(), cloud_replies(), peer_messages()})
    bodies.insert(bodies.end(), messages.begin(), messages.end());
  return bodies;
}

// Damages a valid body: a pattern that nests, a lying head or random bytes in the middle of it.
std::string damaged(std::string body, Random& random) {
  const auto& patterns = nesting_patterns();
  const size_t at = random() % body.size();
  switch (random() % 4) {
    case 0: {
      const size_t size = random() % 2 ? kLimit - std::min(kLimit, body.size()) : random() % 64;
      return body.insert(at, repeated(patterns[random() % patterns.size()], size));
    }
    case 1: return body.replace(at, random() % 9, lying_head(random));
    case 2: return body.substr(0, at);
    default:
      for (auto changes = random() % 8 + 1; changes > 0; --changes)
        body[random() % body.size()] = static_cast<char>(random());
      return body;
  }
}

// ---- tests ----

TEST(DecoderFuzz, TheRepliesThatAreDamagedAreValid) {
  const auto status = [](ReplyKind kind, const std::string& body) {
    return decode_reply(1, kind, "job/job-7", 200, body).status;
  };
  const auto stored = state_store_replies();
  EXPECT_EQ(status(kKindOf<ReadKey>, stored[1]), 200);
  EXPECT_EQ(status(kKindOf<ListKeys>, stored[2]), 200);
  EXPECT_EQ(status(kKindOf<Watch>, stored[3]), 200);
  EXPECT_EQ(decode_reply(1, kKindOf<Txn>, "", 409, stored[4]).status, 409);
  EXPECT_EQ(status(kKindOf<GrantLease>, stored[5]), 200);
  EXPECT_EQ(status(kKindOf<ListMachineTypes>, cloud_replies()[0]), 200);
  EXPECT_EQ(status(kKindOf<ListMachines>, cloud_replies()[1]), 200);
  EXPECT_EQ(status(kKindOf<ProvisionMachines>, cloud_replies()[2]), 200);
  EXPECT_EQ(status(kKindOf<ForwardHeartbeat>, peer_messages()[2]), 200);
  EXPECT_EQ(status(kKindOf<SendPeerState>, peer_messages()[1]), 200);
}

// A body of 60,000 characters '_' ended each controller that read it (review/5).
TEST(DecoderFuzz, NoBodyOfOneRepeatedByteEndsADecoder) {
  for (int byte = 0; byte < 256; ++byte)
    decode_everywhere(std::string(kLimit, static_cast<char>(byte)));
}

TEST(DecoderFuzz, NoNestedBodyEndsADecoder) {
  for (const auto& pattern : nesting_patterns()) {
    for (const size_t size : {size_t{100}, kLimit / 2, kLimit}) {
      const std::string nested = repeated(pattern, size);
      for (const auto& body : {nested, "\xa1\x61x" + nested, "\xa1" + nested, nested + "\xff",
                               nested + std::string(size, '\xff'), "{\"node\":" + nested})
        decode_everywhere(body);
    }
  }
}

// Replies, and messages of other controllers, may be longer than requests: a 14th of the memory.
TEST(DecoderFuzz, NoLongNestedReplyEndsADecoder) {
  constexpr size_t kLongReply = size_t{4} * 1024 * 1024;
  for (const auto& pattern : nesting_patterns()) {
    const std::string nested = repeated(pattern, kLongReply);
    EXPECT_EQ(decode_reply(1, kKindOf<Watch>, "", 200, nested).status, 0);
    EXPECT_EQ(decode_reply(1, kKindOf<ListMachines>, "", 200, nested).status, 0);
    EXPECT_EQ(status_of(decode_peer_request(1, "POST", "/peer", nested)), 400);
  }
}

TEST(DecoderFuzz, NoPairOfRepeatedBytesEndsADecoder) {
  Random random(kSeed);
  for (int i = 0; i < kDamagedBodies; ++i)
    decode_everywhere(repeated({static_cast<char>(random()), static_cast<char>(random())}, kLimit));
}

TEST(DecoderFuzz, NoDamagedMessageEndsADecoder) {
  Random random(kSeed);
  for (const auto& body : valid_bodies()) {
    decode_everywhere(body);
    for (int i = 0; i < kDamagedBodies; ++i) decode_everywhere(damaged(body, random));
  }
}

// A malformed submission gets 400, a malformed report too; both are what callers see.
TEST(DecoderFuzz, NestedChunksOfTextAndBytesGet400) {
  for (const char byte : {'\x5f', '\x7f'}) {
    for (const size_t size : {size_t{2}, size_t{20}, size_t{60000}, kLimit}) {
      const std::string body(size, byte);
      EXPECT_EQ(status_of(decode_request(1, "POST", "/v1/jobs", body, false)), 400) << size;
      EXPECT_EQ(status_of(decode_request(1, "POST", "/checkin", body, false)), 400) << size;
      const std::string closed = body + std::string(size, '\xff');
      EXPECT_EQ(status_of(decode_request(1, "POST", "/v1/jobs", closed, false)), 400) << size;
      EXPECT_EQ(decode_reply(1, kKindOf<PushCommands>, "", 200, body).status, 0) << size;
      EXPECT_EQ(decode_reply(1, kKindOf<Watch>, "", 200, body).status, 0) << size;
    }
  }
}

// Peers' JSON nests no deeper than CBOR may, and takes no memory for more.
TEST(DecoderFuzz, DeeplyNestedJsonIsRefused) {
  for (const char* target : {"/peer", "/relay"})
    for (const char* pattern : {"[", "{\"a\":"})
      EXPECT_EQ(status_of(decode_peer_request(1, "POST", target, repeated(pattern, 4 << 20U))),
                400);
}

TEST(DecoderFuzz, DeeplyNestedAndLongOperatorSettingsAreRefused) {
  for (const auto& text :
       {std::string(1 << 20U, '('), "(preemptible" + repeated(" low", 1 << 20U) + ")",
        "(preemptible " + std::string(1 << 20U, '(') + std::string(1 << 20U, ')') + ")"}) {
    try {
      parse_operator_settings(text, {});
      ADD_FAILURE() << "accepted";
    } catch (const SettingsError& error) {
      EXPECT_NE(std::string(error.what()).find("line 1: "), std::string::npos) << error.what();
    }
  }
}

// Numbers in a stored record bound the scheduler's loops and select members of enumerations.
TEST(DecoderFuzz, ARecordWithNumbersOutOfRangeIsRefused) {
  IgnoringListener listener;
  const Json valid = to_json(store::sample_job_record());
  const auto accepts = [&](const char* pointer, const Json& value) {
    Json record = valid;
    record[Json::json_pointer(pointer)] = value;
    store::StateCache cache(listener);
    return cache.apply({"job/job-7", record, 1});
  };
  EXPECT_TRUE(accepts("/job/tasks", 100000));
  EXPECT_TRUE(accepts("/job/kind", nullptr)) << "absent and null mean an array";
  EXPECT_FALSE(accepts("/job/tasks", 4294967295));
  EXPECT_FALSE(accepts("/job/kind", 3));
  EXPECT_FALSE(accepts("/job/rank", 4));
  EXPECT_FALSE(accepts("/job/rank", -1));
  EXPECT_FALSE(accepts("/status", 3));
  EXPECT_FALSE(accepts("/placed/0/0", 100000));
  EXPECT_FALSE(accepts("/done", Json::array({5, 2})));
  EXPECT_FALSE(accepts("/done", Json::array({0, 4294967295})));
  EXPECT_FALSE(accepts("/done", Json::array({0, 3, 2, 5})));
}

// ---- the check of the structure ----

rc::Gen<Json> plain_value(int depth) {
  auto leaf = rc::gen::oneOf(
      rc::gen::just(Json(nullptr)), rc::gen::map<bool>([](bool flag) { return Json(flag); }),
      rc::gen::map<int64_t>([](int64_t number) { return Json(number); }),
      rc::gen::map<uint64_t>([](uint64_t number) { return Json(number); }),
      rc::gen::map(rc::gen::inRange(-1000, 1000), [](int n) { return Json(n / 8.0); }),
      rc::gen::map(rc::gen::string<std::string>(),
                   [](std::string text) { return Json(std::move(text)); }));
  if (depth == 0) return leaf;
  const auto list = rc::gen::map(
      rc::gen::container<std::vector<Json>>(rc::gen::lazy([=] { return plain_value(depth - 1); })),
      [](std::vector<Json> items) { return Json(std::move(items)); });
  const auto map = rc::gen::map(
      rc::gen::container<std::map<std::string, Json>>(
          rc::gen::string<std::string>(), rc::gen::lazy([=] { return plain_value(depth - 1); })),
      [](const std::map<std::string, Json>& members) { return Json(members); });
  return rc::gen::oneOf(leaf, list, map);
}

RC_GTEST_PROP(CborStructure, AcceptsWhatTheLibraryWrites, ()) {
  const auto value = *rc::gen::resize(5, plain_value(3));
  const std::string body = to_cbor(value);
  RC_ASSERT(is_plain_cbor(body, kMaxNesting));
  RC_ASSERT(!is_plain_cbor(body + '\0', kMaxNesting));
  for (size_t size = 0; size < body.size(); ++size)
    RC_ASSERT(!is_plain_cbor(body.substr(0, size), kMaxNesting));
}

TEST(CborStructure, AcceptsIndefiniteLengthsThatAreWellFormed) {
  using namespace std::string_literals;
  for (const auto& body : {"\x9f\xff"s, "\xbf\xff"s, "\x7f\xff"s, "\x7f\x61x\x62yz\xff"s,
                           "\xbf\x61x\x9f\x01\x80\xff\xff"s, "\xa1\x7f\x61x\xff\xf6"s,
                           "\x9b\0\0\0\0\0\0\0\x01\x01"s, "\xf9\x3c\0"s})
    EXPECT_TRUE(is_plain_cbor(body, kMaxNesting)) << testing::PrintToString(body);
  EXPECT_EQ(*parse_cbor("\xa1\x61k\x7f\x61x\x62yz\xff"), (Json{{"k", "xyz"}}));
}

TEST(CborStructure, RefusesWhatIsNotPlain) {
  using namespace std::string_literals;
  for (const auto& body :
       {""s, "\xff"s, "\x7f\x7f\x61x\xff\xff"s, "\x7f\x41x\xff"s, "\x41x"s, "\x5f\xff"s,
        "\xc1\x01"s, "\x1c"s, "\x1f"s, "\x3f"s, "\xf7"s, "\xf8\x20"s, "\xbf\x61x\xff"s, "\x81\xff"s,
        "\x9b\xff\xff\xff\xff\xff\xff\xff\xff\x01\xff"s, "\x7b\xff\xff\xff\xff\xff\xff\xff\xff"s,
        "\xbb\x80\0\0\0\0\0\0\x01\x61x\x01"s, "\x01\x01"s})
    EXPECT_FALSE(is_plain_cbor(body, kMaxNesting)) << testing::PrintToString(body);
  EXPECT_TRUE(is_plain_cbor(std::string(kMaxNesting - 1, '\x81') + "\x80", kMaxNesting));
  EXPECT_TRUE(is_plain_cbor(std::string(kMaxNesting, '\x81') + "\x01", kMaxNesting));
  EXPECT_FALSE(is_plain_cbor(std::string(kMaxNesting + 1, '\x81') + "\x01", kMaxNesting));
}

}  // namespace
}  // namespace rushtrestle::protocol
