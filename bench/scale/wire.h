// The other side of the protocol: what users, workers and the state service read and write. The
// controllers' own side stands in src/protocol.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "coordination/runtime/messages.h"

namespace rushtrestle::scale {

/// A request to the state service; none: malformed.
std::optional<coordination::CallBody> decode_state_request(const std::string& method,
                                                           const std::string& target,
                                                           const std::string& body);
/// The body of the state service's answer.
std::string encode_state_reply(const coordination::CallDone& done);

/// A worker's report, as sent to `/checkin` and in answers of `/commands`.
std::string encode_report(const coordination::Heartbeat& report);
/// The orders of an answer to a report or of a direct command; throws store::Json::exception on
/// nonsense.
std::vector<coordination::WorkerCommand> decode_orders(const store::Json& orders);

/// A submission by a user.
std::string encode_submission(const store::JobSpec& spec);

}  // namespace rushtrestle::scale
