#include "coordination/state/lease_keeper.h"

#include <algorithm>
#include <string>
#include <variant>

#include "coordination/state/response_status.h"

namespace rushtrestle::coordination {

namespace {

// Share of the lease duration during which the lease counts as valid. The rest allows for drift
// between the clocks of the two machines.
constexpr double kUsableLeaseShare = 0.998;
// Number of times that a failed request is repeated in one renewal interval, approximately.
constexpr double kRetriesPerInterval = 3;

}  // namespace

void LeaseKeeper::tick() {
  if (request_in_flight_ || context_.now < next_request_at_) return;
  request_in_flight_ = true;
  lease_ == 0 ? grant() : renew();
}

double LeaseKeeper::next_due() const {
  double due = kNoDueTime;
  if (!request_in_flight_) due = std::min(due, next_request_at_);
  if (valid()) due = std::min(due, valid_until_);
  return due;
}

void LeaseKeeper::grant() {
  const double sent_at = context_.now;
  context_.call(GrantLease{context_.tunables.state_lease_s}, context_.tunables.renew_every_s,
                [this, sent_at](CallDone&& done) {
                  request_in_flight_ = false;
                  const auto* reply = std::get_if<LeaseReply>(&done.reply);
                  if (done.status != response_status::kOk || !reply)
                    return on_failure(sent_at, done.status);
                  lease_ = reply->lease;
                  on_granted_or_renewed(sent_at);
                });
}

void LeaseKeeper::renew() {
  const double sent_at = context_.now;
  context_.call(RenewLease{lease_}, context_.tunables.renew_every_s,
                [this, sent_at](CallDone&& done) {
                  request_in_flight_ = false;
                  if (done.status == response_status::kOk) return on_granted_or_renewed(sent_at);
                  if (done.status == response_status::kNotFound) return on_lease_unknown(sent_at);
                  on_failure(sent_at, done.status);
                });
}

// The lease duration counts from the time the request was sent, as the state store cannot have
// received the request earlier. The next renewal is scheduled from the same time: a process short
// of CPU time reads the answer late, and a renewal one interval after that would come too late.
void LeaseKeeper::on_granted_or_renewed(double sent_at) {
  connectivity_.on_success(sent_at);
  valid_until_ = sent_at + context_.tunables.state_lease_s * kUsableLeaseShare;
  next_request_at_ = sent_at + context_.tunables.renew_every_s;
}

void LeaseKeeper::on_lease_unknown(double sent_at) {
  connectivity_.on_success(sent_at);
  context_.info("state_store_lease_lost lease=" + std::to_string(lease_));
  lease_ = 0;
  next_request_at_ = context_.now;
  if (on_lease_lost) on_lease_lost();
}

void LeaseKeeper::on_failure(double sent_at, int status) {
  connectivity_.on_failure(sent_at, status);
  next_request_at_ =
      context_.now + context_.jitter(context_.tunables.renew_every_s / kRetriesPerInterval);
}

}  // namespace rushtrestle::coordination
