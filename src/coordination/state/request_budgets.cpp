#include "coordination/state/request_budgets.h"

#include <algorithm>

namespace rushtrestle::coordination {

void RequestBudgets::set_share(double share) {
  share_ = share;
  const double requests_per_second = settings_.state_rps * Tunables::kRateLimitShare * share;
  watches_.set_rate(requests_per_second * Tunables::kWatchShare);
  barrier_reads_.set_rate(requests_per_second * Tunables::kBarrierShare);
  transactions_.set_rate(requests_per_second * Tunables::kTxnShare);
  const double rate_in_force = write_rate_limited_
                                   ? std::min(settings_.next_write_rps, settings_.state_write_rps)
                                   : settings_.state_write_rps;
  writes_per_second_ = rate_in_force * Tunables::kRateLimitShare * share;
  writes_.set_rate(writes_per_second_);
}

void RequestBudgets::on_write_rate_limited() {
  if (settings_.next_write_rps > 0) write_rate_limited_ = true;
}

WriteBudgetLevels RequestBudgets::write_levels(double now) {
  return {writes_.level(now), transactions_.level(now)};
}

double RequestBudgets::time_writes_above(double floor, double now) {
  return std::max(transactions_.time_above(floor, now), writes_.time_above(floor, now));
}

void RequestBudgets::take_transaction(size_t writes) {
  transactions_.take(1);
  writes_.take(static_cast<double>(writes));
}

}  // namespace rushtrestle::coordination
