// This node's link to the state service: its lease, the state cache, the queue of
// writes within the budget, and proofs that the state cache is current.
#pragma once
#include <functional>
#include <memory>
#include <set>

#include "coordination/runtime/context.h"
#include "coordination/state/writes/write_metrics.h"
#include "coordination/state/writes/write_queue.h"

namespace rushtrestle::coordination {

class StateStoreClient {
 public:
  StateStoreClient(Context& context, store::StateCache& state_cache);

  void tick();
  /// When `tick` has something to do by the clock alone; a time that has passed: as soon as the
  /// budget allows.
  double next_due();
  void write(WriteRequest request);
  /// Runs `then(true)` once the state cache is known to be at least as new as this call.
  void wait_for_read_barrier(std::function<void(bool)> then);
  void model_advanced();

  bool synced() const { return synced_; }
  bool lease_valid() const { return lease_ != 0 && context_.now < lease_until_; }
  /// The last request failed and none has succeeded since: whoever asks is told at once.
  bool disconnected() const { return !synced_ || unavailable_ || !lease_valid(); }
  uint64_t lease() const { return lease_; }
  double last_contact() const { return last_contact_; }
  /// The state cache holds all that was written before this time. Other requests may succeed while
  /// the changes don't come.
  double current_at() const { return current_at_; }
  bool ever_synced() const { return current_at_ > kLongAgo; }
  /// Writes that wait for nothing but the budget.
  double backlog() const;
  /// What we need of the whole budget of puts, as a part of it.
  double need();
  WriteMetrics& write_metrics() { return metrics_; }
  store::Json stats();
  /// How long the acceptance of a job of this rank would wait now.
  double accept_delay(store::Rank rank) const;
  /// Larger than the lower of the present and the announced limit.
  bool oversized(const store::Json& value) const {
    return store::stored_size(value) > static_cast<size_t>(context_.settings.value_kb * 1024);
  }
  /// Oversized, and such a value was refused: the announced limit is in force.
  bool refuses(const store::Json& value) const { return limit_fell_ && oversized(value); }
  void set_weight(double share_of_budget);
  std::function<void()> on_lease_lost;

 private:
  using ItemPtr = QueuedWritePtr;
  struct Batch;
  void succeeded(double sent_at);
  void failed(double sent_at, int status);
  void renew();
  void start_list();
  void list_page();
  void on_page_listed(const ListKeysReply& page);
  void watch_between_pages();
  void pause_list(double sent_at, int status);
  void finish_list();
  void follow();
  void send_barrier_read();
  void fail_barriers();
  void settle_barriers();
  void flush();
  void fill(Batch& batch);
  bool prepare(QueuedWrite& item);
  StallReason stall_reason();
  double write_level() {
    return std::min(txn_budget_.level(context_.now), write_budget_.level(context_.now));
  }
  double writes_due();
  void send(std::vector<ItemPtr> items);
  void finished(std::vector<ItemPtr> items, double sent_at, CallDone&& done);
  void look_up(const ItemPtr& item);

  Context& context_;
  store::StateCache& state_cache_;
  uint64_t lease_ = 0;
  double lease_until_ = 0, next_renew_ = 0, last_contact_ = 0, current_at_ = kLongAgo;
  bool renewing_ = false, unavailable_ = false;
  bool synced_ = false, listing_keys_ = false, watching_ = false;
  double next_list_attempt_ = 0, next_watch_ = 0;
  /// A read of all keys, page by page, while they change.
  struct ListProgress {
    bool begun = false;
    double began = 0;
    std::string after;            // the last key that was read
    uint64_t first_revision = 0;  // of the first page; 0: none was read yet
    uint64_t followed = 0;        // all changes up to this revision are in the state cache
    std::set<std::string> seen;   // keys
  };
  ListProgress list_;
  TokenBucket watch_budget_, barrier_budget_, txn_budget_, write_budget_;
  double write_rate_ = 1;
  bool limit_fell_ = false;  // an oversized value was refused
  bool rate_fell_ = false;  // a write was refused for the rate: the lower one, if one is announced,
                            // may be in force

  struct ReadBarrier {
    uint64_t revision = 0;
    double sent_at = 0;
    double deadline = 0;
    std::vector<std::function<void(bool)>> waiting;
  };
  std::vector<std::function<void(bool)>> waiting_for_barrier_;
  bool barrier_read_in_flight_ = false;
  std::vector<ReadBarrier> barriers_;

  WriteQueue queue_;
  WriteMetrics metrics_;
  double share_ = 1;                         // of the whole budget
  double puts_lately_ = 0, puts_as_of_ = 0;  // a second, and when that was reckoned
  std::set<std::string> keys_in_flight_;
  std::vector<std::pair<double, ItemPtr>> lookups_due_;
  int txns_in_flight_ = 0;
  double hold_writes_until_ = 0;
  uint64_t writes_ = 0;
};

}  // namespace rushtrestle::coordination
