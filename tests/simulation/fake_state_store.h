// An in-memory state service: keys, leases, the log of changes, transactions and their limits. It
// has no network; its users delay, lose or refuse requests.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "coordination/runtime/context.h"

namespace rushtrestle::testing {

class FakeStateStore {
 public:
  /// Totals of requests and writes since the start.
  struct Counters {
    uint64_t requests = 0, transactions = 0, conflicts = 0;
    uint64_t puts_requested = 0;  // puts and deletes of all transactions received
    uint64_t puts = 0;            // of the transactions that were applied
    uint64_t refused_for_rate = 0;
  };

  /// Sets the largest value, in KiB of its JSON form, and the most puts and deletes per
  /// transaction. A transaction beyond a limit gets 400.
  void set_limits(double value_kb, int txn_ops);
  /// Limits puts and deletes per second, with bursts of one second's quantity. Beyond it: 429.
  void set_write_rate(double per_second);
  /// Limits requests per second, with bursts of one second's quantity. Beyond it: 429.
  void set_request_rate(double per_second);
  /// Sets the number of entries per page of a listing.
  void set_page(size_t entries) { page_ = entries; }
  /// Sets the number of changes kept for watches (default: all). An older `since` gets 410.
  void set_history(size_t changes) { history_ = changes; }
  /// Called for each key that is put.
  std::function<void(const std::string& key)> on_put;

  /// Executes a request at `now` (seconds, any origin) and returns the answer. Not for watches.
  coordination::CallDone answer(const coordination::Call& call, double now);
  /// Counts a request against the request rate; false: beyond it (429).
  bool admit(double now);
  /// Returns the changes after a revision; nullopt: the history does not go back that far (410).
  std::optional<coordination::WatchReply> changes_since(uint64_t revision) const;
  /// Ends leases that were not renewed, with the keys attached to them.
  void expire_leases(double now);
  /// Restores the full TTL of every lease, as after an outage.
  void renew_all_leases(double now);
  /// Writes a key directly, for records that exist from the start.
  void preset(const std::string& key, store::Json value);

  const store::Json* value_of(const std::string& key) const;
  double largest_value_kb() const { return value_kb_; }
  uint64_t revision() const { return revision_; }
  const Counters& counters() const { return counters_; }

 private:
  struct Entry {
    store::Json value;
    uint64_t mod_revision = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    double ttl_s = 0, until = 0;
  };
  void apply(const coordination::Txn& transaction, double now, coordination::CallDone& done);
  bool leases_exist(const coordination::Txn& transaction) const;
  bool too_large(const coordination::Txn& transaction) const;
  void read(const coordination::ReadKey& request, coordination::CallDone& done) const;
  coordination::ListKeysReply list_page(const coordination::ListKeys& request) const;
  void change(const std::string& key, std::optional<store::Json> value, uint64_t lease);

  std::map<std::string, Entry> keys_;
  std::deque<store::Change> log_;
  std::map<uint64_t, Lease> leases_;
  uint64_t revision_ = 1, next_lease_ = 1;
  double value_kb_ = 4;
  size_t txn_ops_ = 8;
  size_t page_ = 200;
  std::optional<size_t> history_;
  uint64_t oldest_kept_ = 0;  // changes after this revision are in the log
  std::optional<coordination::TokenBucket> write_rate_, request_rate_;
  Counters counters_;
};

}  // namespace rushtrestle::testing
