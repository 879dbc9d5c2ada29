// Decodes requests of users and operators and encodes the answers to them. Names on the wire: a job
// class is a `berth`, a team a `crew`, the kind of a job its `sort`, a task a `chore`, a machine
// type a `breed`, a zone a `yard`, spot machines are `loaners`, a cancelled job is `withdrawn`.
#pragma once
#include <string>

#include "protocol/codec.h"

namespace rushtrestle::protocol {

/// Decodes a request to `/v1/jobs`: the submission of a job.
DecodedRequest decode_submission(coordination::RequestId id, const std::string& method,
                                 const std::string& body, BodySize size);
/// Decodes a request to `/v1/jobs/<path>`: a query, or a cancellation if `path` ends in `/abort`.
DecodedRequest decode_job_request(coordination::RequestId id, const std::string& method,
                                  std::string path);

}  // namespace rushtrestle::protocol
