// The wire: bodies and paths to commands, effects to requests and answers. The one header of the
// codecs that the transport includes.
//
// There is one codec for each neighbour: user_codec, worker_codec, peer_codec, cloud_codec and
// state_store_codec. Each maps the neighbour's words to the standard terms, in both directions, and
// nothing else does. This header's functions choose the codec.
//
// Invariant: no bytes from outside make a function here throw. A request that can't be read is
// answered with 400; an answer that can't be read counts as an unknown outcome (status 0). What the
// wire carries is frozen.
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

/// Largest body of a request from a user or a worker, in bytes.
constexpr size_t kBodyLimit = size_t{64} * 1024;

/// A request as a command, or the answer to it at once.
using DecodedRequest = std::variant<coordination::Command, HttpAnswer>;

/// A job that a user submits.
Decoded<store::JobSpec> decode_job(const store::Json& json);
/// A worker's heartbeat: a request of its own, or the answer to commands.
Decoded<coordination::Heartbeat> decode_heartbeat(const store::Json& json);

/// A request from a user or a worker. `too_large`: the body was over kBodyLimit and is not whole.
DecodedRequest decode_request(coordination::RequestId id, const std::string& method,
                              const std::string& target, const std::string& body, bool too_large);
/// A request from another controller.
DecodedRequest decode_peer_request(coordination::RequestId id, const std::string& method,
                                   const std::string& target, const std::string& body);

HttpAnswer encode(const coordination::AnswerUser& answer);
HttpAnswer encode(const coordination::AnswerHeartbeat& answer);
HttpAnswer encode(const coordination::AnswerForwardedHeartbeat& answer);
HttpAnswer encode(const coordination::AnswerPeer& answer);
HttpAnswer encode(const coordination::AnswerStats& answer);

HttpCall encode(const coordination::Call& call);
/// The answer to a call. `key`: of a ReadKey. `status`: of HTTP; 0: no answer.
coordination::CallDone decode_reply(coordination::CallId id, ReplyKind kind, const std::string& key,
                                    int status, const std::string& body);

}  // namespace rushtrestle::protocol
