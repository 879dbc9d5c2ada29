// List-and-watch: keeps the StateCache at what the state store holds.
//
// All keys are listed page by page, then changes are watched from the listed revision on; when the
// state store no longer keeps the changes that are needed, everything is listed again. Invariant:
// once `synced()`, the cache holds all changes up to its revision. StateStoreClient calls `tick`.
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

  /// Begins or resumes a list, or a watch, when one is due.
  void tick();
  /// When `tick` has something to do; steady seconds.
  double next_due();

  /// All keys were listed, and every change since then is or can still be watched.
  bool synced() const { return synced_; }
  /// The state cache holds all that was written before this time, in steady seconds; kLongAgo:
  /// unknown. Other requests may succeed while the changes do not come, so this says more than the
  /// last contact.
  double current_at() const { return current_at_; }
  /// A linearizable read sent at `sent_at` has shown the cache to be at least as new as that.
  void confirm_current_at(double sent_at);

  /// The cache has reached a newer revision, by a list or by a watch.
  std::function<void()> on_cache_advanced;

 private:
  /// A list of all keys, page by page, while they change.
  struct ListProgress {
    explicit ListProgress(double now) : began_at(now) {}

    double began_at = 0;
    std::string last_key;                    // that was listed; empty: none yet
    std::optional<uint64_t> first_revision;  // of the first page; none: no page was read yet
    uint64_t watched_revision = 0;           // all changes up to it are in the state cache
    std::set<std::string> listed_keys;
  };

  void begin_or_resume_list();
  void list_page();
  void on_page_listed(const ListKeysReply& page);
  void watch_between_pages();
  void pause_list(double sent_at, int status);
  void delete_unlisted_leased_keys();
  void finish_list();
  void watch();
  void on_watch_returned(double sent_at, const CallDone& done);
  void apply(const std::vector<store::Change>& changes);

  Context& context_;
  store::StateCache& state_cache_;
  StoreConnectivity& connectivity_;
  RequestBudgets& budgets_;
  std::optional<ListProgress> list_;  // none: no list was begun, or the last one is complete
  bool listing_ = false;              // requests of the list are under way
  double next_list_attempt_ = 0;
  bool synced_ = false;
  bool watching_ = false;
  double next_watch_ = 0;
  double current_at_ = kLongAgo;
};

}  // namespace rushtrestle::coordination
