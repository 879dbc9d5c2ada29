#include "coordination/state/writes/write_queue.h"

#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace rushtrestle::coordination {

/// The candidates of one transaction, each once.
class WriteQueue::Selection {
 public:
  explicit Selection(const IsBusy& is_busy) : is_busy_(is_busy) {}

  /// Adds the write and returns true, or returns false if its key is busy or it is already chosen.
  bool choose(const QueuedWritePtr& write) {
    if (is_busy_(write->request.key) || !chosen_.insert(write->sequence_number).second)
      return false;
    writes_.push_back(write);
    return true;
  }
  size_t size() const { return writes_.size(); }
  bool empty() const { return writes_.empty(); }
  std::vector<QueuedWritePtr> release() { return std::move(writes_); }

 private:
  const IsBusy& is_busy_;
  std::vector<QueuedWritePtr> writes_;
  std::set<uint64_t> chosen_;
};

WriteQueue::WriteQueue(const Tunables& tunables, const store::OperatorSettings& operators)
    : team_weights_(operators.team_shares.begin(), operators.team_shares.end()) {
  const double urgent_wait_s = tunables.write_wait_s / 4;
  subqueues_[index(WritePriority::request)].longest_wait_s = urgent_wait_s;
  subqueues_[index(WritePriority::placement)].longest_wait_s = urgent_wait_s;
  subqueues_[index(WritePriority::completion)].longest_wait_s = urgent_wait_s;
  subqueues_[index(WritePriority::coalesced)].longest_wait_s = tunables.coalesced_write_delay_s;
  subqueues_[index(WritePriority::background)].longest_wait_s = tunables.background_write_delay_s;
}

WriteQueue::OrderKey WriteQueue::order_key_of(const QueuedWrite& write) {
  return {-static_cast<int>(write.request.rank), write.virtual_finish_time, write.sequence_number};
}

double WriteQueue::weight_of(const std::string& team) const {
  const auto it = team_weights_.find(team);
  return it == team_weights_.end() ? 1 : it->second;
}

// Weighted fair queueing: the virtual finish time of a team's write is 1 / weight after that of the
// team's last write, or after the current virtual time if that is later. A team with a thousand
// waiting writes thus sends its next one at the same virtual time as a team that adds its first.
void WriteQueue::add(const QueuedWritePtr& write, double now) {
  Subqueue& subqueue = subqueues_[index(write->priority())];
  write->queued_at = now;
  write->sequence_number = next_sequence_number_++;
  if (write->request.team.empty()) {
    write->virtual_finish_time = subqueue.virtual_time;  // writes of machines serve all teams
  } else {
    double& last = subqueue.team_finish_times[write->request.team];
    last = write->virtual_finish_time =
        std::max(subqueue.virtual_time, last) + 1 / weight_of(write->request.team);
  }
  put_back(write);
}

void WriteQueue::put_back(const QueuedWritePtr& write) {
  Subqueue& subqueue = subqueues_[index(write->priority())];
  subqueue.in_order.emplace(order_key_of(*write), write);
  subqueue.by_age.emplace(write->sequence_number, write);
}

void WriteQueue::put_back_first(const QueuedWritePtr& write) {
  put_back(write);
  retry_first_.push_back(write);
}

void WriteQueue::remove(const QueuedWritePtr& write) {
  Subqueue& subqueue = subqueues_[index(write->priority())];
  subqueue.in_order.erase(order_key_of(*write));
  subqueue.by_age.erase(write->sequence_number);
  std::erase(retry_first_, write);
  subqueue.virtual_time = std::max(subqueue.virtual_time, write->virtual_finish_time);
  if (!subqueue.in_order.empty()) return;
  subqueue.virtual_time = 0;
  subqueue.team_finish_times.clear();
}

// Returns the slots of this transaction for the priority. A share of less than one slot yields a
// slot in some of the transactions.
size_t WriteQueue::share_of_slots(size_t priority, size_t slots) const {
  const double share = Tunables::kContendedShare[priority] * static_cast<double>(slots);
  const auto before = static_cast<double>(transactions_);
  return static_cast<size_t>(std::floor(share * (before + 1)) - std::floor(share * before));
}

std::vector<QueuedWritePtr> WriteQueue::candidates(double now, double level, size_t slots,
                                                   const IsBusy& is_busy) const {
  if (level <= Tunables::kOverdueFloor[0] || empty()) return {};
  Selection selection(is_busy);
  for (const auto& write : retry_first_) selection.choose(write);
  if (contended(now)) choose_by_share(selection, now, level, slots);
  const size_t max_count = slots * 2;  // spare candidates, as some may have nothing to write
  choose_by_order(selection, now, level, max_count);
  return selection.release();
}

// Chooses for each priority its share of the slots. The first three priorities give half of their
// share to the writes that are next in order and the rest to the oldest overdue ones; the other
// priorities give all of it to the oldest overdue ones.
void WriteQueue::choose_by_share(Selection& selection, double now, double level,
                                 size_t slots) const {
  for (size_t priority = 0; priority < kWritePriorities; ++priority) {
    const Subqueue& subqueue = subqueues_[priority];
    // Below the overdue floor of a priority, its writes are sent only together with other writes.
    // Coalesced and background writes are sent by themselves only while budget is left.
    if (level <= Tunables::kOverdueFloor[priority] && selection.empty()) continue;
    size_t left = share_of_slots(priority, slots);
    const size_t for_oldest = priority < index(WritePriority::coalesced) ? left / 2 : left;
    for (const auto& [order_key, write] : subqueue.in_order) {
      if (left <= for_oldest) break;
      if (selection.choose(write)) --left;
    }
    for (const auto& [sequence_number, write] : subqueue.by_age) {
      if (left == 0 || !subqueue.overdue(*write, now)) break;
      if (selection.choose(write)) --left;
    }
  }
}

// Chooses writes by priority. A priority whose write floor is not below the budget level yields
// only overdue writes, and none if the level is not above its overdue floor either.
void WriteQueue::choose_by_order(Selection& selection, double now, double level,
                                 size_t max_count) const {
  for (size_t priority = 0; priority < kWritePriorities && selection.size() < max_count;
       ++priority) {
    const Subqueue& subqueue = subqueues_[priority];
    if (level > Tunables::kWriteFloor[priority]) {
      for (const auto& [order_key, write] : subqueue.in_order) {
        if (selection.size() >= max_count) break;
        selection.choose(write);
      }
    } else if (level > Tunables::kOverdueFloor[priority]) {
      for (const auto& [sequence_number, write] : subqueue.by_age) {
        if (selection.size() >= max_count || !subqueue.overdue(*write, now)) break;
        selection.choose(write);
      }
    }
  }
}

size_t WriteQueue::waiting_before(WritePriority priority, store::Rank rank) const {
  const auto& in_order = subqueues_[index(priority)].in_order;
  const OrderKey after_rank{1 - static_cast<int>(rank), 0, 0};
  return static_cast<size_t>(std::distance(in_order.begin(), in_order.lower_bound(after_rank)));
}

bool WriteQueue::empty() const {
  return std::all_of(subqueues_.begin(), subqueues_.end(),
                     [](const Subqueue& subqueue) { return subqueue.in_order.empty(); });
}

bool WriteQueue::any_waiting_for_budget(double now) const {
  for (size_t priority = 0; priority < kWritePriorities; ++priority) {
    const Subqueue& subqueue = subqueues_[priority];
    if (subqueue.in_order.empty()) continue;
    if (priority < index(WritePriority::coalesced) || subqueue.oldest_overdue(now)) return true;
  }
  return false;
}

bool WriteQueue::contended(double now) const {
  return std::any_of(subqueues_.begin() + 1, subqueues_.end(),
                     [now](const Subqueue& subqueue) { return subqueue.oldest_overdue(now); });
}

size_t WriteQueue::waiting_for_budget(double now) const {
  // Maximum number of overdue writes counted per coalesced or background priority. The count is
  // requested very often, and an exact higher number is not needed.
  constexpr size_t kMaxCounted = 50;
  size_t count = 0;
  for (size_t priority = 0; priority < kWritePriorities; ++priority) {
    const Subqueue& subqueue = subqueues_[priority];
    if (priority < index(WritePriority::coalesced)) {
      count += subqueue.in_order.size();
      continue;
    }
    size_t overdue = 0;
    for (const auto& [sequence_number, write] : subqueue.by_age) {
      if (overdue == kMaxCounted || !subqueue.overdue(*write, now)) break;
      ++overdue;
    }
    count += overdue;
  }
  return count;
}

}  // namespace rushtrestle::coordination
