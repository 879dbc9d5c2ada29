// The wire: CBOR bodies and paths to commands, effects to requests and answers.
#pragma once
#include <optional>
#include <string>
#include <variant>

#include "coordination/runtime/messages.h"

namespace rushtrestle::protocol {

constexpr size_t kBodyLimit = size_t{64} * 1024;

/// Refuses what is not CBOR, is nested too deep or holds byte strings.
std::optional<store::Json> parse_cbor(const std::string& body);
std::string to_cbor(const store::Json& j);

/// "job-000412": `job-` and letters or digits.
bool valid_job_id(const std::string& id);
bool parse_task_name(const std::string& text, std::string& job, uint32_t& task);

std::optional<store::JobSpec> decode_job(const store::Json& j);
std::optional<coordination::Heartbeat> decode_heartbeat(const store::Json& j);

struct HttpAnswer {
  int status = 500;
  std::string body, headers;
  const char* content_type = "application/cbor";
};
/// A request from a user or a worker: a command, or an answer at once.
std::variant<coordination::Command, HttpAnswer> decode_request(coordination::RequestId id,
                                                               const std::string& method,
                                                               const std::string& target,
                                                               const std::string& body,
                                                               bool too_large);
std::variant<coordination::Command, HttpAnswer> decode_peer_request(coordination::RequestId id,
                                                                    const std::string& method,
                                                                    const std::string& target,
                                                                    const std::string& body);

HttpAnswer encode(const coordination::AnswerUser& a);
HttpAnswer encode(const coordination::AnswerHeartbeat& a);
HttpAnswer encode(const coordination::AnswerForwardedHeartbeat& a);
HttpAnswer encode(const coordination::AnswerPeer& a);
HttpAnswer encode(const coordination::AnswerStats& a);

enum class Service { state, cloud, worker, peer };
struct HttpCall {
  Service service;
  std::string address;  // of a worker or a peer
  std::string method, target, body;
  const char* content_type = "application/cbor";
};
HttpCall encode(const coordination::Call& call);
/// What `decode_reply` needs to know of the call it answers.
using ReplyKind = size_t;  // index of the alternative in CallBody
coordination::CallDone decode_reply(coordination::CallId id, ReplyKind kind, const std::string& key,
                                    int status, const std::string& body);

}  // namespace rushtrestle::protocol
