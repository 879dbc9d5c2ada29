// This node's link to the state service: its lease, the warm model, the queue of
// writes within the budget, and proofs that the model is current.
#pragma once
#include <functional>
#include <memory>
#include <set>

#include "coordination/context.h"
#include "coordination/writes/write_ledger.h"
#include "coordination/writes/write_queue.h"

namespace rushtrestle::coordination {

class StateLink {
 public:
  StateLink(Context& ctx, store::Model& model);

  void tick();
  /// When `tick` has something to do by the clock alone; a time that has passed: as soon as the budget allows.
  double next_due();
  void write(WriteRequest request);
  /// Runs `then(true)` once the model is known to be at least as new as this call.
  void prove(std::function<void(bool)> then);
  void model_advanced();

  bool synced() const { return synced_; }
  bool lease_valid() const { return lease_ != 0 && ctx_.now < lease_until_; }
  /// The last request failed and none has succeeded since: whoever asks is told at once.
  bool in_doubt() const { return !synced_ || failing_ || !lease_valid(); }
  uint64_t lease() const { return lease_; }
  double last_contact() const { return last_contact_; }
  /// The model holds all that was written before this time. Other requests may succeed while the changes don't come.
  double current_at() const { return current_at_; }
  bool ever_synced() const { return current_at_ > kLongAgo; }
  /// Writes that wait for nothing but the budget.
  double backlog() const;
  /// What we need of the whole budget of puts, as a part of it.
  double need();
  WriteLedger& ledger() { return ledger_; }
  store::Json stats();
  /// How long the acceptance of a job of this rank would wait now.
  double accept_delay(store::Rank rank) const;
  /// Larger than the lower of the present and the announced limit.
  bool oversized(const store::Json& value) const {
    return store::stored_size(value) > static_cast<size_t>(ctx_.settings.value_kb * 1024);
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
  void start_sync();
  void read_page();
  void page_read(const PageReply& page);
  void catch_up();
  void pause_sync(double sent_at, int status);
  void finish_sync();
  void follow();
  void send_proof();
  void fail_proofs();
  void settle_proofs();
  void flush();
  void fill(Batch& batch);
  bool prepare(QueuedWrite& item);
  WriteHindrance hindrance();
  double write_level() { return std::min(txn_budget_.level(ctx_.now), write_budget_.level(ctx_.now)); }
  double writes_due();
  void send(std::vector<ItemPtr> items);
  void finished(std::vector<ItemPtr> items, double sent_at, CallDone&& done);
  void look_up(const ItemPtr& item);

  Context& ctx_;
  store::Model& model_;
  uint64_t lease_ = 0;
  double lease_until_ = 0, next_renew_ = 0, last_contact_ = 0, current_at_ = kLongAgo;
  bool renewing_ = false, failing_ = false;
  bool synced_ = false, syncing_ = false, following_ = false;
  double next_sync_ = 0, next_follow_ = 0;
  /// A read of all keys, page by page, while they change.
  struct Sync {
    bool begun = false;
    double began = 0;
    std::string after;            // the last key that was read
    uint64_t first_revision = 0;  // of the first page; 0: none was read yet
    uint64_t followed = 0;        // all changes up to this revision are in the model
    std::set<std::string> seen;   // keys
  };
  Sync sync_;
  TokenBucket watch_budget_, proof_budget_, txn_budget_, write_budget_;
  double write_rate_ = 1;
  bool limit_fell_ = false;  // an oversized value was refused
  bool rate_fell_ = false;   // a write was refused for the rate: the lower one, if one is announced, may be in force

  struct Proof {
    uint64_t revision = 0;
    double sent_at = 0;
    double deadline = 0;
    std::vector<std::function<void(bool)>> waiting;
  };
  std::vector<std::function<void(bool)>> unproven_;
  bool proving_ = false;
  std::vector<Proof> proofs_;

  WriteQueue queue_;
  WriteLedger ledger_;
  double share_ = 1;                         // of the whole budget
  double puts_lately_ = 0, puts_as_of_ = 0;  // a second, and when that was reckoned
  std::set<std::string> keys_in_flight_;
  std::vector<std::pair<double, ItemPtr>> lookups_due_;
  int txns_in_flight_ = 0;
  double hold_writes_until_ = 0;
  uint64_t writes_ = 0;
};

}  // namespace rushtrestle::coordination
