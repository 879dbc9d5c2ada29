#include "coordination/state/store_connectivity.h"

#include <algorithm>
#include <string>

#include "coordination/state/response_status.h"

namespace rushtrestle::coordination {

void StoreConnectivity::on_success(double sent_at) {
  last_contact_ = std::max(last_contact_, sent_at);
  unavailable_ = false;
}

// Only the failure of a request that was sent after the latest successful one counts. While the
// state store is slow, single requests fail among others that succeed; when each of them counted,
// the controller disconnected repeatedly and refused all waiting requests.
void StoreConnectivity::on_failure(double sent_at, int status) {
  if (sent_at <= last_contact_ || status == response_status::kTooManyRequests) return;
  if (!unavailable_) context_.info("state_store_unavailable status=" + std::to_string(status));
  unavailable_ = true;
  if (on_unavailable) on_unavailable();
}

}  // namespace rushtrestle::coordination
