#include "coordination/state/store_connectivity.h"

#include <algorithm>
#include <string>

#include "coordination/state/response_status.h"

namespace rushtrestle::coordination {

void StoreConnectivity::on_success(double sent_at) {
  last_contact_ = std::max(last_contact_, sent_at);
  unavailable_ = false;
}

// While the state store is slow, single requests go unanswered among others that succeed. When each
// of them counted, the controller was disconnected again and again and refused everything that
// waited. Only a request that was sent after the last success says anything.
void StoreConnectivity::on_failure(double sent_at, int status) {
  if (sent_at <= last_contact_ || status == response_status::kTooManyRequests) return;
  if (!unavailable_) context_.info("state_store_unavailable status=" + std::to_string(status));
  unavailable_ = true;
  if (on_unavailable) on_unavailable();
}

}  // namespace rushtrestle::coordination
