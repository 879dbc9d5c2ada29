// Converts between the wire format and the core: received paths and bodies become commands, effects
// become requests and answers. The transport includes no other header of the codecs.
//
// There is one codec for each remote party: user_codec, worker_codec, peer_codec, cloud_codec and
// state_store_codec. Only the codec maps the party's names on the wire to the project's terms, in
// both directions. The functions of this header select the codec.
//
// Invariant: no received bytes make a function of this header throw. A request that cannot be
// decoded is answered with 400; an answer that cannot be decoded counts as an unknown outcome
// (status 0). The wire format is frozen.
#pragma once
#include <cstddef>
#include <string>
#include <variant>

#include "coordination/runtime/messages.h"
#include "protocol/cbor.h"
#include "protocol/decode_error.h"
#include "protocol/http_answer.h"
#include "protocol/http_call.h"
#include "protocol/task_name.h"

namespace rushtrestle::protocol {

/// Maximum body size of a request from a user or a worker, in bytes.
constexpr size_t kBodyLimit = size_t{64} * 1024;

/// The command that a request decodes to, or the answer that is sent without involving the core.
using DecodedRequest = std::variant<coordination::Command, HttpAnswer>;

/// Decodes a job that a user submits.
Decoded<store::JobSpec> decode_job(const store::Json& json);
/// Decodes a worker's heartbeat, which is either a request or the answer to pushed commands.
Decoded<coordination::Heartbeat> decode_heartbeat(const store::Json& json);

/// Decodes a request from a user or a worker. `too_large`: the body exceeds kBodyLimit and was
/// dropped.
DecodedRequest decode_request(coordination::RequestId id, const std::string& method,
                              const std::string& target, const std::string& body, bool too_large);
/// Decodes a request from another controller.
DecodedRequest decode_peer_request(coordination::RequestId id, const std::string& method,
                                   const std::string& target, const std::string& body);

HttpAnswer encode(const coordination::AnswerUser& answer);
HttpAnswer encode(const coordination::AnswerHeartbeat& answer);
HttpAnswer encode(const coordination::AnswerForwardedHeartbeat& answer);
HttpAnswer encode(const coordination::AnswerPeer& answer);
HttpAnswer encode(const coordination::AnswerStats& answer);

HttpCall encode(const coordination::Call& call);
/// Decodes the answer to a call. `key`: the key of a ReadKey. `status`: the HTTP status; 0 if there
/// was no answer.
coordination::CallDone decode_reply(coordination::CallId id, ReplyKind kind, const std::string& key,
                                    int status, const std::string& body);

}  // namespace rushtrestle::protocol
