// What waits to be written, in the order in which it should leave.
//
// Invariant: a write leaves by priority, then by the rank of the job that waits for it, then by
// turns of the teams. Each priority has a longest wait; while others than users wait longer than
// theirs, each priority has its part of the puts, half of it for the oldest. So the first things
// first while the budget suffices, and nothing waits for ever when it doesn't.
#pragma once
#include <array>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "coordination/runtime/tunables.h"
#include "coordination/state/writes/write_request.h"

namespace rushtrestle::coordination {

class WriteQueue {
 public:
  WriteQueue(const Tunables& tunables, const store::OperatorSettings& operators);

  void add(const QueuedWritePtr& write, double now);
  /// It could not be sent, and keeps its place.
  void put_back(const QueuedWritePtr& write);
  /// It did not fit beside others: the next transaction begins with it, or it would wait for ever
  /// behind small ones.
  void put_first(const QueuedWritePtr& write);
  void take(const QueuedWritePtr& write);

  /// What may leave now in one transaction of `slots` puts, in the order in which to try it,
  /// without taking it. `level` is what is left of the budget, in seconds' worth; records of which
  /// `is_busy` are being written.
  std::vector<QueuedWritePtr> candidates(
      double now, double level, size_t slots,
      const std::function<bool(const std::string& key)>& is_busy) const;

  /// What waits for nothing but the budget: of what was gathered only what is overdue, and of that
  /// no more than counts.
  size_t pressing(double now) const;
  bool anything_pressing(double now) const;
  /// Others than users have waited for too long.
  bool contended(double now) const;
  /// The parts of the priorities are kept over several transactions.
  void begin_transaction() { ++transactions_; }
  bool empty() const;
  size_t waiting(WritePriority priority) const { return lines_[index(priority)].size(); }
  /// Of a priority, what leaves before a new write for a job of this rank.
  size_t waiting_before(WritePriority priority, store::Rank rank) const;
  /// Seconds until the next write may leave, given when the budget will stand above a level.
  template <class AboveAt>
  double next_due(double now, AboveAt above_at) const;

 private:
  /// Rank (highest first), turn of the team, number.
  using Place = std::tuple<int, double, uint64_t>;
  using Line = std::map<Place, QueuedWritePtr>;

  static size_t index(WritePriority priority) { return static_cast<size_t>(priority); }
  static Place place_of(const QueuedWrite& write);
  bool overdue(const QueuedWrite& write, double now) const {
    return now - write.queued_at >= longest_wait_s_[index(write.priority())];
  }
  double weight_of(const std::string& team) const;
  size_t quota(size_t priority, size_t slots) const;

  std::array<double, kWritePriorities> longest_wait_s_;
  std::map<std::string, double> team_weights_;
  std::array<Line, kWritePriorities> lines_;
  std::array<std::map<uint64_t, QueuedWritePtr>, kWritePriorities> by_age_;  // by number
  std::array<double, kWritePriorities> turn_{};  // of the last one that left
  std::array<std::map<std::string, double>, kWritePriorities>
      team_turns_;  // of the last one added, while any waits
  std::vector<QueuedWritePtr> first_;
  uint64_t next_number_ = 1;
  uint64_t transactions_ = 0;
};

template <class AboveAt>
double WriteQueue::next_due(double now, AboveAt above_at) const {
  double due = std::numeric_limits<double>::infinity();
  if (!first_.empty()) due = above_at(Tunables::kOverdueFloor[0]);
  for (size_t p = 0; p < kWritePriorities; ++p) {
    if (by_age_[p].empty()) continue;
    const double overdue_at = by_age_[p].begin()->second->queued_at + longest_wait_s_[p];
    due = std::min({due, above_at(Tunables::kWriteFloor[p]),
                    std::max(overdue_at, above_at(Tunables::kOverdueFloor[p]))});
  }
  return std::max(due, now);
}

}  // namespace rushtrestle::coordination
