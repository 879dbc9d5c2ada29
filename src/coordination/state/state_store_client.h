// The state store client: the interface of this package to the rest of the controller.
//
// Connects the modules of the package and forwards calls to them: connectivity, request budgets,
// lease, list-and-watch, read barriers and write pipeline. The client has no other state. Core
// calls `tick` at the end of each batch, after all other modules, so that their writes are sent in
// the same batch.
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

  /// Runs the work that is due, in this order: lease, list or watch, reads for writes of unknown
  /// outcome, read barriers, writes.
  void tick();
  /// Returns the steady time in seconds at which `tick` next has work without any new event. A time
  /// in the past means as soon as the budget allows.
  double next_due();

  /// Enqueues a write. A later `tick` sends it, and the request's `done` receives the outcome.
  void write(WriteRequest request) { write_pipeline_.enqueue(std::move(request)); }
  /// Runs `then(true)` once the state cache is known to be at least as new as this call, or
  /// `then(false)` if that is not known before a timeout. Runs `then(false)` immediately while
  /// disconnected.
  void wait_for_read_barrier(std::function<void(bool)> then);

  /// Returns true once all keys were listed and the changes since then are being watched.
  bool synced() const { return list_and_watch_.synced(); }
  bool lease_valid() const { return lease_keeper_.valid(); }
  /// Returns true if the last request failed and none has succeeded since, or if there is no valid
  /// lease or no synced cache. Callers then get a negative answer immediately.
  bool disconnected() const { return !synced() || connectivity_.unavailable() || !lease_valid(); }
  /// Returns the id of the lease at the state store, or 0 if none is held.
  uint64_t lease() const { return lease_keeper_.lease(); }
  /// Returns the steady time in seconds at which the latest successful request was sent.
  double last_contact() const { return connectivity_.last_contact(); }
  /// Returns a steady time in seconds; the state cache holds every write made before that time.
  double cache_current_as_of() const { return list_and_watch_.cache_current_as_of(); }
  bool ever_synced() const { return cache_current_as_of() > kLongAgo; }

  /// Returns the number of writes that only wait for budget.
  double backlog() const { return write_pipeline_.backlog(); }
  /// Returns the fraction of all controllers' write budget that this controller needs.
  double needed_budget_share() { return write_pipeline_.needed_budget_share(); }
  /// Sets this controller's share of the whole request budget, between 0 and 1.
  void set_budget_share(double share_of_budget) { budgets_.set_share(share_of_budget); }
  /// Returns the seconds that the acceptance of a job of this rank would wait in the queue now.
  double acceptance_delay_s(store::Rank rank) const {
    return write_pipeline_.acceptance_delay_s(rank);
  }
  /// Returns true if the value exceeds the lower of the current and the announced value size limit.
  bool oversized(const store::Json& value) const { return write_pipeline_.oversized(value); }
  /// Returns true if the value is oversized and the state store has refused an oversized value
  /// before, which shows that the announced limit is in force.
  bool will_be_refused(const store::Json& value) const {
    return write_pipeline_.will_be_refused(value);
  }

  WriteMetrics& write_metrics() { return write_pipeline_.metrics(); }
  /// Returns the section of `/stats` about writes.
  store::Json stats() { return write_pipeline_.stats(); }

  /// Called when the state store no longer knows the lease; the keys written with it are deleted.
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
