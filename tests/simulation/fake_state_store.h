// The stand-in of the state service: keys, leases, the log of changes, transactions and their
// limits. It has no network; whoever uses it delays, loses or refuses requests.
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
  /// What was asked of it and carried out so far.
  struct Counters {
    uint64_t requests = 0, transactions = 0, conflicts = 0;
    uint64_t puts_asked = 0;  // puts and deletes of all transactions that were sent
    uint64_t puts = 0;        // of those that were carried out
    uint64_t refused_for_rate = 0;
  };

  /// Largest value in KiB of its JSON form, and puts and deletes of one transaction; a larger one
  /// gets 400.
  void set_limits(double value_kb, int txn_ops);
  /// Puts and deletes a second, with bursts of a second's worth; beyond it 429.
  void set_write_rate(double per_second);
  /// Requests a second, with bursts of a second's worth; beyond it 429.
  void set_request_rate(double per_second);
  /// Entries of one page.
  void set_page(size_t entries) { page_ = entries; }
  /// Changes kept for watches; an older `since` gets 410. All, if never called.
  void set_history(size_t changes) { history_ = changes; }
  /// Called for each key that is put.
  std::function<void(const std::string& key)> on_put;

  /// Carries out a request at `now` (seconds, any origin) and gives the answer. Not for watches.
  coordination::CallDone answer(const coordination::Call& call, double now);
  /// Counts a request against the rate; false: 429.
  bool admit(double now);
  /// What has changed after a revision; none: the history does not go back that far (410).
  std::optional<coordination::WatchReply> changes_since(uint64_t revision) const;
  /// Ends leases that were not renewed, with the keys attached to them.
  void expire_leases(double now);
  /// After an outage every lease has its full time again.
  void renew_all_leases(double now);
  /// Writes a key as if a controller had: for records that stand there from the start.
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
