// Pieces that the codecs of this directory share.
#pragma once
#include <string>
#include <vector>

#include "protocol/codec.h"
#include "protocol/fields.h"

namespace rushtrestle::protocol {

HttpAnswer cbor_answer(int status, const store::Json& body, std::string headers = "");
HttpAnswer refusal(int status, const char* why);
HttpAnswer wrong_method(const char* allowed);

store::Json commands_json(const std::vector<coordination::WorkerCommand>& commands);

store::Json peer_json(const coordination::PeerState& s);
coordination::PeerState peer_from_json(const store::Json& j);
store::Json heartbeat_json(const coordination::Heartbeat& r);
coordination::Heartbeat heartbeat_from_json(const store::Json& j);
store::Json heartbeat_response_json(const coordination::HeartbeatResponse& r);
coordination::HeartbeatResponse heartbeat_response_from_json(const store::Json& j);

}  // namespace rushtrestle::protocol
