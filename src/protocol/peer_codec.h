// Encodes and decodes the messages between controllers, which are JSON: a controller's state with
// the exchange of cancellations, and forwarded heartbeats with the responses to them. Names on the
// wire: a shard is a `part`, an agent epoch a `session`, an offer of cancellations a `handover`; a
// forwarded heartbeat is sent to `/relay`.
#pragma once
#include <string>

#include "protocol/decode_error.h"
#include "protocol/http_call.h"

namespace rushtrestle::protocol {

HttpCall encode_call(const coordination::SendPeerState& send);
HttpCall encode_call(const coordination::ForwardHeartbeat& forward);

/// Decodes the answer to a SendPeerState or a ForwardHeartbeat.
Decoded<coordination::Reply> decode_peer_reply(ReplyKind kind, const std::string& body);

}  // namespace rushtrestle::protocol
