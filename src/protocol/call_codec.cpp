// Selects the codec for an outgoing call and for the answer to it.
#include <optional>
#include <utility>

#include "protocol/cloud_codec.h"
#include "protocol/codec.h"
#include "protocol/peer_codec.h"
#include "protocol/state_store_codec.h"
#include "protocol/worker_codec.h"

namespace rushtrestle::protocol {

using namespace coordination;

namespace {

bool has_body(ReplyKind kind, int status) {
  if (kind == kKindOf<RenewLease> || kind == kKindOf<DeleteMachines>) return false;
  if (status == 200) return true;
  if (status == 409) return kind == kKindOf<Txn> || kind == kKindOf<PushCommands>;
  return status == 404 && kind == kKindOf<ReadKey>;
}

Decoded<Reply> decode_body(ReplyKind kind, const std::string& key, int status,
                           const std::string& body) {
  if (kind == kKindOf<SendPeerState> || kind == kKindOf<ForwardHeartbeat>)
    return decode_peer_reply(kind, body);
  // One record with such a text must not keep a controller from reading all others.
  const auto encoding = kind == kKindOf<PushCommands> ? TextEncoding::utf8 : TextEncoding::any;
  const auto json = parse_cbor(body, encoding);
  if (!json) return tl::make_unexpected(DecodeError{"", "not CBOR"});
  if (kind == kKindOf<PushCommands>)
    return decode_heartbeat(*json).map(
        [](Heartbeat&& heartbeat) { return Reply(std::move(heartbeat)); });
  if (kind == kKindOf<ListMachineTypes> || kind == kKindOf<ProvisionMachines> ||
      kind == kKindOf<ListMachines>)
    return decode_cloud_reply(kind, *json);
  return decode_state_store_reply(kind, key, status, *json);
}

}  // namespace

HttpCall encode(const Call& call) {
  return std::visit([](const auto& body) { return encode_call(body); }, call.body);
}

CallDone decode_reply(CallId id, ReplyKind kind, const std::string& key, int status,
                      const std::string& body) {
  CallDone done{id, status, {}};
  if (!has_body(kind, status)) return done;
  auto reply = decode_body(kind, key, status, body);
  // An answer that cannot be decoded leaves the outcome of the call unknown.
  if (reply) {
    done.reply = std::move(*reply);
  } else {
    done.status = 0;
  }
  return done;
}

}  // namespace rushtrestle::protocol
