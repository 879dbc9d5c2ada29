// Read barriers: linearizable reads from the state cache.
//
// A caller waits until the state cache is known to hold everything that was durable at the time of
// the call. One read of the state store returns the revision that the cache has to reach, and
// serves all callers that were waiting when the read was sent. Invariant: each continuation runs
// exactly once. StateStoreClient calls `tick`, `resolve` whenever the cache advances, and
// `fail_waiting` when the state store becomes unavailable.
#pragma once
#include <cstdint>
#include <functional>
#include <vector>

#include "coordination/runtime/context.h"
#include "coordination/state/list_and_watch.h"
#include "coordination/state/request_budgets.h"
#include "coordination/state/store_connectivity.h"
#include "store/state_cache.h"

namespace rushtrestle::coordination {

class ReadBarriers {
 public:
  /// Receives whether the state cache is at least as new as the call to `add`.
  using Continuation = std::function<void(bool passed)>;

  ReadBarriers(Context& context, const store::StateCache& state_cache,
               StoreConnectivity& connectivity, ListAndWatch& list_and_watch,
               RequestBudgets& budgets)
      : context_(context),
        state_cache_(state_cache),
        connectivity_(connectivity),
        list_and_watch_(list_and_watch),
        budgets_(budgets) {}

  /// Runs `continuation` once a read that is sent after this call has succeeded and the cache has
  /// reached its revision, or once that has failed.
  void add(Continuation continuation) { not_sent_.push_back(std::move(continuation)); }
  /// Sends one read for all waiting callers if none is in flight, and resolves the barriers.
  void tick();
  /// Runs the continuations of the barriers that the cache has reached or whose deadline has
  /// passed.
  void resolve();
  /// Fails all callers for which no read has been sent yet.
  void fail_waiting();
  /// Returns the steady time in seconds at which `tick` next has work.
  double next_due();

 private:
  /// A revision returned by a read, which the state cache has to reach; times in steady seconds.
  struct Barrier {
    uint64_t revision = 0;
    double sent_at = 0;
    double deadline = 0;
    std::vector<Continuation> waiting;
  };

  void send_read();
  void on_read(double sent_at, const CallDone& done, std::vector<Continuation>& waiting);
  /// Returns the timeout in seconds for the read, and again for the cache to reach its revision.
  double step_timeout_s() const;

  Context& context_;
  const store::StateCache& state_cache_;
  StoreConnectivity& connectivity_;
  ListAndWatch& list_and_watch_;
  RequestBudgets& budgets_;
  std::vector<Continuation> not_sent_;
  bool read_in_flight_ = false;
  std::vector<Barrier> barriers_;
};

}  // namespace rushtrestle::coordination
