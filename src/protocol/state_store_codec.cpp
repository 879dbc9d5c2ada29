#include "protocol/state_store_codec.h"

#include <cstdint>
#include <utility>

#include "protocol/cbor.h"
#include "protocol/fields.h"

namespace rushtrestle::protocol {

using namespace coordination;
using store::Json;

namespace {

// Field names of the state store's protocol.
constexpr const char* kKey = "k";
constexpr const char* kValue = "v";
constexpr const char* kModRevision = "stamp";
constexpr const char* kRevision = "epoch";
constexpr const char* kLease = "tenancy";
constexpr const char* kWrite = "put";
constexpr const char* kDelete = "delete";
constexpr const char* kPreconditions = "if";
constexpr const char* kWrites = "then";
constexpr const char* kFailedKeys = "failed";
constexpr const char* kEntries = "entries";
constexpr const char* kMore = "hasNext";
constexpr const char* kEvents = "log";
constexpr const char* kTtlMs = "ttlMs";

constexpr double kMsPerS = 1000;
constexpr int kPageSize = 200;

int64_t milliseconds(double seconds) { return static_cast<int64_t>(seconds * kMsPerS); }

HttpCall get(std::string target) { return {Service::state, "", "GET", std::move(target), ""}; }

HttpCall post(std::string target, const Json& body) {
  return {Service::state, "", "POST", std::move(target), to_cbor(body)};
}

Json write_json(const Write& write) {
  if (!write.value) return {{kDelete, write.key}};
  Json json = {{kWrite, write.key}, {kValue, *write.value}};
  if (write.lease != 0) json[kLease] = write.lease;
  return json;
}

store::Change entry_from_json(const Json& json) {
  const Fields fields(json);
  return {fields.get<std::string>(kKey), fields.required(kValue), fields.count(kModRevision)};
}

store::Change event_from_json(const Json& json) {
  const Fields fields(json);
  if (!fields.find(kWrite))
    return {fields.get<std::string>(kDelete), std::nullopt, fields.count(kModRevision)};
  return {fields.get<std::string>(kWrite), fields.required(kValue), fields.count(kModRevision)};
}

TxnReply txn_reply(const Fields& fields, int status) {
  TxnReply reply;
  reply.revision = fields.count(kRevision);
  if (status == 409)
    for (const auto& key : fields.list(kFailedKeys)) reply.failed.push_back(key.get<std::string>());
  return reply;
}

KeyReply key_reply(const Fields& fields, const std::string& key, int status) {
  KeyReply reply;
  if (status == 404) {
    reply.revision = fields.count(kRevision);
  } else {
    reply.entry = store::Change{key, fields.required(kValue), fields.count(kModRevision)};
    reply.revision = reply.entry->mod_revision;
  }
  return reply;
}

ListKeysReply list_keys_reply(const Fields& fields) {
  ListKeysReply reply;
  for (const auto& entry : fields.list(kEntries)) reply.entries.push_back(entry_from_json(entry));
  reply.more = fields.flag_or(kMore, false);
  reply.revision = fields.count(kRevision);
  return reply;
}

WatchReply watch_reply(const Fields& fields) {
  WatchReply reply;
  reply.revision = fields.count(kRevision);
  for (const auto& event : fields.list(kEvents)) reply.events.push_back(event_from_json(event));
  return reply;
}

}  // namespace

HttpCall encode_call(const Txn& txn) {
  Json preconditions = Json::array();
  for (const auto& precondition : txn.preconditions)
    preconditions.push_back({{kKey, precondition.key}, {kModRevision, precondition.mod_revision}});
  Json writes = Json::array();
  for (const auto& write : txn.writes) writes.push_back(write_json(write));
  return post("/txn", {{kPreconditions, std::move(preconditions)}, {kWrites, std::move(writes)}});
}

HttpCall encode_call(const ReadKey& read) { return get("/store/" + percent_encode(read.key)); }

HttpCall encode_call(const ListKeys& list) {
  std::string target =
      "/store?page=" + std::to_string(kPageSize) + "&starts=" + percent_encode(list.prefix);
  if (!list.after.empty()) target += "&since=" + percent_encode(list.after);
  return get(std::move(target));
}

HttpCall encode_call(const GrantLease& grant) {
  return post("/leases", {{kTtlMs, milliseconds(grant.ttl_s)}});
}

HttpCall encode_call(const RenewLease& renewal) {
  return post("/leases/" + std::to_string(renewal.lease) + "/extend", Json::object());
}

HttpCall encode_call(const Watch& watch) {
  return get("/follow?starts=&since=" + std::to_string(watch.since) +
             "&holdMs=" + std::to_string(milliseconds(watch.hold_s)));
}

Decoded<Reply> decode_state_store_reply(ReplyKind kind, const std::string& key, int status,
                                        const Json& json) {
  return catch_decode_errors([&]() -> Reply {
    const Fields fields(json);
    switch (kind) {
      case kKindOf<Txn>: return txn_reply(fields, status);
      case kKindOf<ReadKey>: return key_reply(fields, key, status);
      case kKindOf<ListKeys>: return list_keys_reply(fields);
      case kKindOf<GrantLease>: return LeaseReply{fields.count(kLease)};
      case kKindOf<Watch>: return watch_reply(fields);
      default: return std::monostate{};
    }
  });
}

}  // namespace rushtrestle::protocol
