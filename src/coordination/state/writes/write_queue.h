// What waits to be written, in the order in which it should leave.
//
// Invariant: a write leaves by priority, then by the rank of the job that waits for it, then by
// turns of the teams. Each priority has a longest wait; while writes below the first priority wait
// longer than theirs, each priority has its share of the slots, half of it for the oldest. So what
// is urgent goes first while the budget suffices, and nothing starves when it does not.
//
// Pure: no clock and no input or output. The write pipeline is its only caller.
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
  /// Whether a write of this key is under way, or chosen already.
  using IsBusy = std::function<bool(const std::string& key)>;

  WriteQueue(const Tunables& tunables, const store::OperatorSettings& operators);

  /// Gives the write its place; `now` and all times here are steady seconds.
  void add(const QueuedWritePtr& write, double now);
  /// It could not be sent, and keeps its place.
  void put_back(const QueuedWritePtr& write);
  /// It did not fit beside others: the next transaction begins with it, or it would wait for ever
  /// behind small ones.
  void put_first(const QueuedWritePtr& write);
  /// Removes a write that leaves.
  void take(const QueuedWritePtr& write);

  /// What may leave now in one transaction of `slots` writes, in the order in which to try it,
  /// without taking it. `level` is what is left of the budget, in seconds' worth; keys of which
  /// `is_busy` are passed over.
  std::vector<QueuedWritePtr> candidates(double now, double level, size_t slots,
                                         const IsBusy& is_busy) const;

  /// Number of writes that wait for nothing but the budget: of those that are coalesced only the
  /// overdue ones, and of these no more than are counted.
  size_t pressing(double now) const;
  bool anything_pressing(double now) const;
  /// Writes below the first priority, for which users wait, have waited for too long.
  bool contended(double now) const;
  /// A transaction is about to be filled: the shares of the priorities are kept over several.
  void begin_transaction() { ++transactions_; }
  bool empty() const;
  size_t waiting(WritePriority priority) const { return lines_[index(priority)].in_order.size(); }
  /// Of a priority, what leaves before a new write for a job of this rank.
  size_t waiting_before(WritePriority priority, store::Rank rank) const;
  /// When the next write may leave; `above_at(floor)` tells when the budget will stand above a
  /// level.
  template <class AboveAt>
  double next_due(double now, AboveAt above_at) const;

 private:
  /// Where a write stands among those of its priority.
  struct Place {
    int rank_order = 0;  // the highest rank first
    double turn = 0;     // of the team
    uint64_t number = 0;

    bool operator<(const Place& other) const {
      return std::tie(rank_order, turn, number) <
             std::tie(other.rank_order, other.turn, other.number);
    }
  };
  /// The writes of one priority.
  struct Line {
    double longest_wait_s = 0;  // after which a write is overdue
    std::map<Place, QueuedWritePtr> in_order;
    std::map<uint64_t, QueuedWritePtr> by_age;  // by number
    double turn = 0;                            // of the last write that left
    std::map<std::string, double> team_turns;   // of the last one added, while any waits

    bool overdue(const QueuedWrite& write, double now) const {
      return now - write.queued_at >= longest_wait_s;
    }
    bool oldest_overdue(double now) const {
      return !by_age.empty() && overdue(*by_age.begin()->second, now);
    }
  };
  class Selection;

  static size_t index(WritePriority priority) { return static_cast<size_t>(priority); }
  static Place place_of(const QueuedWrite& write);
  double weight_of(const std::string& team) const;
  size_t share_of_slots(size_t priority, size_t slots) const;
  void choose_by_share(Selection& selection, double now, double level, size_t slots) const;
  void choose_by_order(Selection& selection, double now, double level, size_t most) const;

  std::map<std::string, double> team_weights_;
  std::array<Line, kWritePriorities> lines_;
  std::vector<QueuedWritePtr> first_;  // that did not fit, also in their lines
  uint64_t next_number_ = 1;
  uint64_t transactions_ = 0;
};

template <class AboveAt>
double WriteQueue::next_due(double now, AboveAt above_at) const {
  double due = std::numeric_limits<double>::infinity();
  if (!first_.empty()) due = above_at(Tunables::kOverdueFloor[0]);
  for (size_t priority = 0; priority < kWritePriorities; ++priority) {
    const Line& line = lines_[priority];
    if (line.by_age.empty()) continue;
    const double overdue_at = line.by_age.begin()->second->queued_at + line.longest_wait_s;
    due = std::min({due, above_at(Tunables::kWriteFloor[priority]),
                    std::max(overdue_at, above_at(Tunables::kOverdueFloor[priority]))});
  }
  return std::max(due, now);
}

}  // namespace rushtrestle::coordination
