#include "coordination/state/state_store_client.h"

#include <algorithm>
#include <utility>

namespace rushtrestle::coordination {

StateStoreClient::StateStoreClient(Context& context, store::StateCache& state_cache)
    : connectivity_(context),
      budgets_(context.settings),
      lease_keeper_(context, connectivity_),
      list_and_watch_(context, state_cache, connectivity_, budgets_),
      read_barriers_(context, state_cache, connectivity_, list_and_watch_, budgets_),
      write_pipeline_(context, state_cache, connectivity_, lease_keeper_, budgets_) {
  connectivity_.on_unavailable = [this] { read_barriers_.fail_waiting(); };
  lease_keeper_.on_lease_lost = [this] {
    if (on_lease_lost) on_lease_lost();
  };
  list_and_watch_.on_cache_advanced = [this] { read_barriers_.resolve(); };
}

// Writes are flushed last, so that writes enqueued by read barrier continuations are sent in the
// same tick.
void StateStoreClient::tick() {
  lease_keeper_.tick();
  list_and_watch_.tick();
  write_pipeline_.repeat_due_lookups();
  read_barriers_.tick();
  write_pipeline_.flush();
}

double StateStoreClient::next_due() {
  return std::min({lease_keeper_.next_due(), list_and_watch_.next_due(), read_barriers_.next_due(),
                   write_pipeline_.next_due()});
}

void StateStoreClient::wait_for_read_barrier(std::function<void(bool)> then) {
  if (disconnected()) {
    then(false);
    return;
  }
  read_barriers_.add(std::move(then));
}

}  // namespace rushtrestle::coordination
