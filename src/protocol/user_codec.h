// Requests of users and operators, and the answers to them. Words: a job class is a `berth`, a team
// a `crew`, a job's kind its `sort`, a task a `chore`, a machine type a `breed`, a zone a `yard`,
// spot machines are `loaners`, a cancelled job is `withdrawn`.
#pragma once
#include <string>

#include "protocol/codec.h"

namespace rushtrestle::protocol {

/// `/v1/jobs`: a submission.
DecodedRequest decode_submission(coordination::RequestId id, const std::string& method,
                                 const std::string& body, BodySize size);
/// `/v1/jobs/<path>`: a query, or with `/abort` a cancellation.
DecodedRequest decode_job_request(coordination::RequestId id, const std::string& method,
                                  std::string path);

}  // namespace rushtrestle::protocol
