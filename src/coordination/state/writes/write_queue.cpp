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

  /// False: its key is busy, or it is chosen already.
  bool choose(const QueuedWritePtr& write) {
    if (is_busy_(write->request.key) || !numbers_.insert(write->number).second) return false;
    writes_.push_back(write);
    return true;
  }
  size_t size() const { return writes_.size(); }
  bool empty() const { return writes_.empty(); }
  std::vector<QueuedWritePtr> release() { return std::move(writes_); }

 private:
  const IsBusy& is_busy_;
  std::vector<QueuedWritePtr> writes_;
  std::set<uint64_t> numbers_;
};

WriteQueue::WriteQueue(const Tunables& tunables, const store::OperatorSettings& operators)
    : team_weights_(operators.team_shares.begin(), operators.team_shares.end()) {
  const double urgent_wait_s = tunables.user_wait_s / 4;
  lines_[index(WritePriority::request)].longest_wait_s = urgent_wait_s;
  lines_[index(WritePriority::placement)].longest_wait_s = urgent_wait_s;
  lines_[index(WritePriority::end)].longest_wait_s = urgent_wait_s;
  lines_[index(WritePriority::coalesced)].longest_wait_s = tunables.coalesce_s;
  lines_[index(WritePriority::background)].longest_wait_s = tunables.background_s;
}

WriteQueue::Place WriteQueue::place_of(const QueuedWrite& write) {
  return {-static_cast<int>(write.request.rank), write.turn, write.number};
}

double WriteQueue::weight_of(const std::string& team) const {
  const auto it = team_weights_.find(team);
  return it == team_weights_.end() ? 1 : it->second;
}

// Each team's writes get turns one after the other, from the present turn on: a team with a
// thousand of them has its next in the same turn as a team that comes with its first.
void WriteQueue::add(const QueuedWritePtr& write, double now) {
  Line& line = lines_[index(write->priority())];
  write->queued_at = now;
  write->number = next_number_++;
  if (write->request.team.empty()) {
    write->turn = line.turn;  // machines are room for all teams
  } else {
    double& last = line.team_turns[write->request.team];
    last = write->turn = std::max(line.turn, last) + 1 / weight_of(write->request.team);
  }
  put_back(write);
}

void WriteQueue::put_back(const QueuedWritePtr& write) {
  Line& line = lines_[index(write->priority())];
  line.in_order.emplace(place_of(*write), write);
  line.by_age.emplace(write->number, write);
}

void WriteQueue::put_first(const QueuedWritePtr& write) {
  put_back(write);
  first_.push_back(write);
}

void WriteQueue::take(const QueuedWritePtr& write) {
  Line& line = lines_[index(write->priority())];
  line.in_order.erase(place_of(*write));
  line.by_age.erase(write->number);
  std::erase(first_, write);
  line.turn = std::max(line.turn, write->turn);
  if (!line.in_order.empty()) return;
  line.turn = 0;
  line.team_turns.clear();
}

// Slots of this transaction for the priority. A share of less than one slot is granted in some of
// the transactions.
size_t WriteQueue::share_of_slots(size_t priority, size_t slots) const {
  const double share = Tunables::kContendedShare[priority] * static_cast<double>(slots);
  const auto before = static_cast<double>(transactions_);
  return static_cast<size_t>(std::floor(share * (before + 1)) - std::floor(share * before));
}

std::vector<QueuedWritePtr> WriteQueue::candidates(double now, double level, size_t slots,
                                                   const IsBusy& is_busy) const {
  if (level <= Tunables::kOverdueFloor[0] || empty()) return {};
  Selection selection(is_busy);
  for (const auto& write : first_) selection.choose(write);
  if (contended(now)) choose_by_share(selection, now, level, slots);
  const size_t most = slots * 2;  // more than the slots, as some will have nothing to write
  choose_by_order(selection, now, level, most);
  return selection.release();
}

// For each priority its share of the slots, of the first three priorities half of it for the writes
// that are next in order and the rest for the oldest overdue ones, of the others all for the
// oldest.
void WriteQueue::choose_by_share(Selection& selection, double now, double level,
                                 size_t slots) const {
  for (size_t priority = 0; priority < kWritePriorities; ++priority) {
    const Line& line = lines_[priority];
    // Coalesced and background writes go along with others, and by themselves only from a budget
    // that is left.
    if (level <= Tunables::kOverdueFloor[priority] && selection.empty()) continue;
    size_t left = share_of_slots(priority, slots);
    const size_t for_oldest = priority < index(WritePriority::coalesced) ? left / 2 : left;
    for (const auto& [place, write] : line.in_order) {
      if (left <= for_oldest) break;
      if (selection.choose(write)) --left;
    }
    for (const auto& [number, write] : line.by_age) {
      if (left == 0 || !line.overdue(*write, now)) break;
      if (selection.choose(write)) --left;
    }
  }
}

// By priority, as far down as the budget's level allows; a little further down, the overdue ones.
void WriteQueue::choose_by_order(Selection& selection, double now, double level,
                                 size_t most) const {
  for (size_t priority = 0; priority < kWritePriorities && selection.size() < most; ++priority) {
    const Line& line = lines_[priority];
    if (level > Tunables::kWriteFloor[priority]) {
      for (const auto& [place, write] : line.in_order) {
        if (selection.size() >= most) break;
        selection.choose(write);
      }
    } else if (level > Tunables::kOverdueFloor[priority]) {
      for (const auto& [number, write] : line.by_age) {
        if (selection.size() >= most || !line.overdue(*write, now)) break;
        selection.choose(write);
      }
    }
  }
}

size_t WriteQueue::waiting_before(WritePriority priority, store::Rank rank) const {
  const auto& in_order = lines_[index(priority)].in_order;
  const Place after_rank{1 - static_cast<int>(rank), 0, 0};
  return static_cast<size_t>(std::distance(in_order.begin(), in_order.lower_bound(after_rank)));
}

bool WriteQueue::empty() const {
  return std::all_of(lines_.begin(), lines_.end(),
                     [](const Line& line) { return line.in_order.empty(); });
}

bool WriteQueue::anything_pressing(double now) const {
  for (size_t priority = 0; priority < kWritePriorities; ++priority) {
    const Line& line = lines_[priority];
    if (line.in_order.empty()) continue;
    if (priority < index(WritePriority::coalesced) || line.oldest_overdue(now)) return true;
  }
  return false;
}

bool WriteQueue::contended(double now) const {
  return std::any_of(lines_.begin() + 1, lines_.end(),
                     [now](const Line& line) { return line.oldest_overdue(now); });
}

size_t WriteQueue::pressing(double now) const {
  // Counted of each coalescing priority: this is asked all the time, and more says nothing new.
  constexpr size_t kMostCounted = 50;
  size_t pressing = 0;
  for (size_t priority = 0; priority < kWritePriorities; ++priority) {
    const Line& line = lines_[priority];
    if (priority < index(WritePriority::coalesced)) {
      pressing += line.in_order.size();
      continue;
    }
    size_t overdue = 0;
    for (const auto& [number, write] : line.by_age) {
      if (overdue == kMostCounted || !line.overdue(*write, now)) break;
      ++overdue;
    }
    pressing += overdue;
  }
  return pressing;
}

}  // namespace rushtrestle::coordination
