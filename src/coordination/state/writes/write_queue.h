// The queue of waiting writes, which determines the order in which they are sent.
//
// Invariant: writes are ordered by priority, then by the rank of the job that waits for the write,
// then by weighted fair queueing among teams. Each priority has a longest wait. While a write below
// the first priority has waited longer than that, each priority gets a share of the slots, of which
// half or more is for its oldest overdue writes. Urgent writes thus go first while the budget
// suffices, and no write starves when it does not.
//
// The queue reads no clock and does no I/O. The write pipeline is its only caller.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/runtime/tunables.h"
#include "coordination/state/writes/write_request.h"

namespace rushtrestle::coordination {

class WriteQueue {
 public:
  /// Returns true if a write of this key is in flight or already chosen.
  using IsBusy = std::function<bool(const std::string& key)>;

  WriteQueue(const Tunables& tunables, const store::OperatorSettings& operators);

  /// Adds a new write. `now` and all other times here are in steady seconds.
  void add(const QueuedWritePtr& write, double now);
  /// Puts a write that has to be sent again back to its former position in the queue.
  void put_back(const QueuedWritePtr& write);
  /// Puts back a write that did not fit into a transaction, as the first of the next transaction.
  /// Otherwise the write would wait forever behind smaller ones.
  void put_back_first(const QueuedWritePtr& write);
  /// Removes a write that is about to be sent.
  void remove(const QueuedWritePtr& write);

  /// Returns the writes that may be sent now in one transaction of `slots` writes, in the order to
  /// try them, without removing them. `level` is the remaining budget in seconds of its rate.
  /// Writes whose key `is_busy` are skipped.
  std::vector<QueuedWritePtr> candidates(double now, double level, size_t slots,
                                         const IsBusy& is_busy) const;

  /// Returns the number of writes that only wait for budget. Coalesced and background writes count
  /// only when overdue, and up to a limit.
  size_t waiting_for_budget(double now) const;
  bool any_waiting_for_budget(double now) const;
  /// Returns true if a write below the first priority, the one that users wait for, is overdue.
  bool contended(double now) const;
  /// Marks the start of a transaction. The shares of the priorities hold over several transactions.
  void begin_transaction() { ++transactions_; }
  bool empty() const;
  size_t waiting(WritePriority priority) const {
    return subqueues_[index(priority)].in_order.size();
  }
  /// Returns the number of writes of a priority that are sent before a new write for a job of this
  /// rank.
  size_t waiting_before(WritePriority priority, store::Rank rank) const;
  /// Returns the time at which the next write may be sent. `time_above(floor)` returns the time at
  /// which the budget level will be above `floor`.
  template <class TimeAbove>
  double next_due(double now, TimeAbove time_above) const;

 private:
  /// The sort key of a write among the writes of its priority.
  struct OrderKey {
    int rank_order = 0;              // negative rank, so that the highest rank is first
    double virtual_finish_time = 0;  // see QueuedWrite
    uint64_t sequence_number = 0;

    bool operator<(const OrderKey& other) const {
      return std::tie(rank_order, virtual_finish_time, sequence_number) <
             std::tie(other.rank_order, other.virtual_finish_time, other.sequence_number);
    }
  };
  /// The writes of one priority.
  struct Subqueue {
    double longest_wait_s = 0;  // a write that has waited this long is overdue
    std::map<OrderKey, QueuedWritePtr> in_order;
    std::map<uint64_t, QueuedWritePtr> by_age;  // by sequence number
    // The highest virtual finish time of a removed write; reset to 0 when the subqueue is empty.
    double virtual_time = 0;
    // The virtual finish time of each team's last added write; cleared when the subqueue is empty.
    std::map<std::string, double> team_finish_times;

    bool overdue(const QueuedWrite& write, double now) const {
      return now - write.queued_at >= longest_wait_s;
    }
    bool oldest_overdue(double now) const {
      return !by_age.empty() && overdue(*by_age.begin()->second, now);
    }
  };
  class Selection;

  static size_t index(WritePriority priority) { return static_cast<size_t>(priority); }
  static OrderKey order_key_of(const QueuedWrite& write);
  double weight_of(const std::string& team) const;
  size_t share_of_slots(size_t priority, size_t slots) const;
  void choose_by_share(Selection& selection, double now, double level, size_t slots) const;
  void choose_by_order(Selection& selection, double now, double level, size_t max_count) const;

  std::map<std::string, double> team_weights_;
  std::array<Subqueue, kWritePriorities> subqueues_;
  std::vector<QueuedWritePtr> retry_first_;  // writes that did not fit; also in their subqueue
  uint64_t next_sequence_number_ = 1;
  uint64_t transactions_ = 0;
};

template <class TimeAbove>
double WriteQueue::next_due(double now, TimeAbove time_above) const {
  double due = std::numeric_limits<double>::infinity();
  if (!retry_first_.empty()) due = time_above(Tunables::kOverdueFloor[0]);
  for (size_t priority = 0; priority < kWritePriorities; ++priority) {
    const Subqueue& subqueue = subqueues_[priority];
    if (subqueue.by_age.empty()) continue;
    const double overdue_at = subqueue.by_age.begin()->second->queued_at + subqueue.longest_wait_s;
    due = std::min({due, time_above(Tunables::kWriteFloor[priority]),
                    std::max(overdue_at, time_above(Tunables::kOverdueFloor[priority]))});
  }
  return std::max(due, now);
}

}  // namespace rushtrestle::coordination
