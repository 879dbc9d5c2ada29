// The protocol as users, workers and the state service read and write it; src/protocol has the
// controllers' side.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "coordination/runtime/messages.h"

namespace rushtrestle::scale {

/// Decodes a request to the state service; returns nothing if it is malformed.
std::optional<coordination::CallBody> decode_state_request(const std::string& method,
                                                           const std::string& target,
                                                           const std::string& body);
/// Encodes the body of the state service's answer.
std::string encode_state_reply(const coordination::CallDone& done);

/// Encodes a worker's report, as sent to `/checkin` and in answers to `/commands`.
std::string encode_report(const coordination::Heartbeat& report);
/// Decodes the commands in an answer to a report or in a direct command. Throws
/// store::Json::exception on malformed input.
std::vector<coordination::WorkerCommand> decode_commands(const store::Json& commands);

/// Encodes a user's submission.
std::string encode_submission(const store::JobSpec& spec);

}  // namespace rushtrestle::scale
