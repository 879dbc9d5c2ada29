// What controllers tell each other, as JSON: their state with the exchange of cancellations, and
// forwarded heartbeats with the responses. Words: a shard is a `part`, an agent epoch a `session`,
// an offer of cancellations a `handover`, a forwarded heartbeat goes to `/relay`.
#pragma once
#include <string>

#include "protocol/decode_error.h"
#include "protocol/http_call.h"

namespace rushtrestle::protocol {

HttpCall encode_call(const coordination::SendPeerState& send);
HttpCall encode_call(const coordination::ForwardHeartbeat& forward);

/// The answer to one of these.
Decoded<coordination::Reply> decode_peer_reply(ReplyKind kind, const std::string& body);

}  // namespace rushtrestle::protocol
