// Requests from users, health checks and operators, and the answers to them.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "coordination/runtime/call_ids.h"
#include "store/domain.h"
#include "store/records.h"

namespace rushtrestle::coordination {

// ---- commands ----

struct SubmitJob {
  RequestId request = 0;
  store::JobSpec spec;
};
struct QueryJob {
  RequestId request = 0;
  std::string id;
};
struct CancelJob {
  RequestId request = 0;
  std::string id;
};
struct CheckHealth {
  RequestId request = 0;
};
struct ShowStats {
  RequestId request = 0;
};

// ---- effects ----

/// A job as it is shown to users.
struct JobView {
  std::string id;
  store::JobStatus status = store::JobStatus::open;
  uint32_t done = 0;     // tasks
  uint32_t running = 0;  // tasks
};
struct AnswerUser {
  RequestId request = 0;
  int status = 503;
  std::optional<JobView> job;
  /// Seconds after which the user should try again; sent with 429 and 503.
  double retry_after_s = 0;
};
/// Answers ShowStats.
struct AnswerStats {
  RequestId request = 0;
  store::Json body;
};

}  // namespace rushtrestle::coordination
