// This controller's client of the state store, as the other packages see it.
//
// Ties the parts of the package and forwards to them: connectivity, the budgets of requests, the
// lease, list-and-watch, the read barriers and the write pipeline. It owns no state beside them.
// Core calls `tick` at the end of each batch, after all others, so that what they want to write
// leaves in the same batch.
#pragma once
#include <cstdint>
#include <functional>
#include <utility>

#include "coordination/runtime/context.h"
#include "coordination/state/lease_keeper.h"
#include "coordination/state/list_and_watch.h"
#include "coordination/state/read_barrier.h"
#include "coordination/state/request_budgets.h"
#include "coordination/state/store_connectivity.h"
#include "coordination/state/write_pipeline.h"
#include "store/state_cache.h"

namespace rushtrestle::coordination {

class StateStoreClient {
 public:
  StateStoreClient(Context& context, store::StateCache& state_cache);
  StateStoreClient(const StateStoreClient&) = delete;
  StateStoreClient& operator=(const StateStoreClient&) = delete;

  /// Does what is due, in this order: the lease, the list or the watch, reads for writes of unknown
  /// outcome, the read barriers, the writes.
  void tick();
  /// When `tick` has something to do by the clock alone, in steady seconds; a time that has passed:
  /// as soon as the budget allows.
  double next_due();

  /// Enqueues a write; it leaves in a later `tick`, and `done` of the request tells its outcome.
  void write(WriteRequest request) { write_pipeline_.enqueue(std::move(request)); }
  /// Runs `then(true)` once the state cache is known to be at least as new as this call, and
  /// `then(false)` when that can't be known in time; at once while disconnected.
  void wait_for_read_barrier(std::function<void(bool)> then);

  /// All keys were listed, and changes are watched since.
  bool synced() const { return list_and_watch_.synced(); }
  bool lease_valid() const { return lease_keeper_.valid(); }
  /// The last request failed and none has succeeded since, or there is no lease or no cache:
  /// whoever asks is told at once.
  bool disconnected() const { return !synced() || connectivity_.unavailable() || !lease_valid(); }
  /// Id of the lease at the state store; 0: none.
  uint64_t lease() const { return lease_keeper_.lease(); }
  /// When the latest request that succeeded was sent, in steady seconds.
  double last_contact() const { return connectivity_.last_contact(); }
  /// The state cache holds all that was written before this time, in steady seconds.
  double current_at() const { return list_and_watch_.current_at(); }
  bool ever_synced() const { return current_at() > kLongAgo; }

  /// Writes that wait for nothing but the budget.
  double backlog() const { return write_pipeline_.backlog(); }
  /// What we need of the whole budget of writes, as a part of it.
  double need() { return write_pipeline_.need(); }
  /// Our share of the whole budget of requests, between 0 and 1.
  void set_weight(double share_of_budget) { budgets_.set_share(share_of_budget); }
  /// Seconds that the acceptance of a job of this rank would wait now.
  double accept_delay(store::Rank rank) const { return write_pipeline_.accept_delay(rank); }
  /// Larger than the lower of the present and the announced limit of a value's size.
  bool oversized(const store::Json& value) const { return write_pipeline_.oversized(value); }
  /// Oversized, and such a value was refused: the announced limit is in force.
  bool refuses(const store::Json& value) const { return write_pipeline_.refuses(value); }

  WriteMetrics& write_metrics() { return write_pipeline_.metrics(); }
  /// The body of `/stats` on writes.
  store::Json stats() { return write_pipeline_.stats(); }

  /// The state store no longer knows our lease: the keys written with it are gone.
  std::function<void()> on_lease_lost;

 private:
  StoreConnectivity connectivity_;
  RequestBudgets budgets_;
  LeaseKeeper lease_keeper_;
  ListAndWatch list_and_watch_;
  ReadBarriers read_barriers_;
  WritePipeline write_pipeline_;
};

}  // namespace rushtrestle::coordination
