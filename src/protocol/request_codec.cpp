// Selects the codec for a request of a user or a worker by the path of the request.
#include "protocol/codec.h"
#include "protocol/user_codec.h"
#include "protocol/worker_codec.h"

namespace rushtrestle::protocol {

using namespace coordination;

DecodedRequest decode_request(RequestId id, const std::string& method, const std::string& target,
                              const std::string& body, bool too_large) {
  static const std::string jobs = "/v1/jobs";
  const std::string path = target.substr(0, target.find('?'));
  const BodySize size = too_large ? BodySize::too_large : BodySize::within_limit;
  if (path == "/checkin") return decode_worker_request(id, method, body, size);
  if (path == jobs) return decode_submission(id, method, body, size);
  if (path.compare(0, jobs.size() + 1, jobs + "/") == 0)
    return decode_job_request(id, method, path.substr(jobs.size() + 1));
  if (path == "/up" || path == "/stats") {
    if (method != "GET") return method_not_allowed("GET");
    if (path == "/up") return Command{CheckHealth{id}};
    return Command{ShowStats{id}};
  }
  return error_answer(404, "no such path");
}

}  // namespace rushtrestle::protocol
