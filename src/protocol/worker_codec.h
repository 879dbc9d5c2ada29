// Decodes heartbeats of workers and encodes the commands to them. Names on the wire: a heartbeat is
// a `checkin`, a machine a `rig`, a task a `chore`, a command an `order`, a fencing token a
// `baton`, an agent epoch a `shift`, a sequence number a `tally`, the shard leader the `foreman`.
// user_codec.h lists the names that users and workers share.
#pragma once
#include <string>

#include "protocol/codec.h"

namespace rushtrestle::protocol {

/// Decodes a request to `/checkin`: a worker's heartbeat.
DecodedRequest decode_worker_request(coordination::RequestId id, const std::string& method,
                                     const std::string& body, BodySize size);

HttpCall encode_call(const coordination::PushCommands& push);

}  // namespace rushtrestle::protocol
