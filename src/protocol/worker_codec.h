// Heartbeats of workers, and the commands to them. Words: a heartbeat is a `checkin`, a machine a
// `rig`, a task a `chore`, a command an `order`, a fencing token a `baton`, an agent epoch a
// `shift`, a sequence a `tally`, the shard leader the `foreman`. The fields of a job that both
// users and workers name are in user_codec.
#pragma once
#include <string>

#include "protocol/codec.h"

namespace rushtrestle::protocol {

/// `/checkin`: a worker's heartbeat.
DecodedRequest decode_worker_request(coordination::RequestId id, const std::string& method,
                                     const std::string& body, BodySize size);

HttpCall encode_call(const coordination::PushCommands& push);

}  // namespace rushtrestle::protocol
