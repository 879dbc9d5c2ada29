// List-and-watch: keeps the StateCache in sync with the state store.
//
// Lists all keys page by page, then watches changes from the listed revision on. If the state store
// no longer retains the needed changes, or they are more than can be read at once, all keys are
// listed again. Invariant: once `synced()`
// returns true, the cache holds all changes up to its revision. StateStoreClient calls `tick`.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/runtime/context.h"
#include "coordination/state/request_budgets.h"
#include "coordination/state/store_connectivity.h"
#include "store/state_cache.h"

namespace rushtrestle::coordination {

class ListAndWatch {
 public:
  ListAndWatch(Context& context, store::StateCache& state_cache, StoreConnectivity& connectivity,
               RequestBudgets& budgets)
      : context_(context),
        state_cache_(state_cache),
        connectivity_(connectivity),
        budgets_(budgets) {}

  /// Starts or resumes a list, or starts a watch, when one is due.
  void tick();
  /// Returns the steady time in seconds at which `tick` next has work.
  double next_due();

  /// Returns true if all keys were listed and every change since then can still be watched.
  bool synced() const { return synced_; }
  /// Returns a steady time in seconds, or kLongAgo if unknown; the state cache holds every write
  /// made before that time. This is stricter than the time of the last contact, as other requests
  /// may succeed while watches do not return.
  double cache_current_as_of() const { return cache_current_as_of_; }
  /// Records that, by a linearizable read, the cache holds every write made before the steady time
  /// `sent_at`, at which the read was sent.
  void confirm_cache_current_as_of(double sent_at);

  /// Called when a list or a watch has brought the cache to a newer revision.
  std::function<void()> on_cache_advanced;

 private:
  /// The progress of a list of all keys, which is read page by page while keys change.
  struct ListProgress {
    explicit ListProgress(double now) : began_at(now) {}

    double began_at = 0;
    std::string last_key;                    // last listed key; empty: none yet
    std::optional<uint64_t> first_revision;  // revision of the first page, if one was read
    uint64_t watched_revision = 0;           // the cache holds all changes up to this one
    std::set<std::string> listed_keys;
  };

  void begin_or_resume_list();
  void list_page();
  void on_page_listed(const ListKeysReply& page);
  void watch_between_pages();
  void pause_list(double sent_at, int status);
  static bool must_list_anew(const CallDone& done);
  void delete_unlisted_leased_keys();
  void finish_list();
  void watch();
  void on_watch_returned(double sent_at, const CallDone& done);
  void apply(const std::vector<store::Change>& changes);

  Context& context_;
  store::StateCache& state_cache_;
  StoreConnectivity& connectivity_;
  RequestBudgets& budgets_;
  std::optional<ListProgress> list_;  // the list in progress, if any
  bool listing_ = false;              // a request of the list is in flight
  double next_list_attempt_ = 0;
  bool synced_ = false;
  bool watching_ = false;
  double next_watch_ = 0;
  double cache_current_as_of_ = kLongAgo;
};

}  // namespace rushtrestle::coordination
