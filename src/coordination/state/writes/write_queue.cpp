#include "coordination/state/writes/write_queue.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

WriteQueue::WriteQueue(const Tunables& tunables, const store::OperatorSettings& operators)
    : longest_wait_s_{tunables.user_wait_s / 4, tunables.user_wait_s / 4, tunables.user_wait_s / 4,
                      tunables.coalesce_s, tunables.background_s},
      team_weights_(operators.team_shares.begin(), operators.team_shares.end()) {}

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
  const size_t p = index(write->priority());
  write->queued_at = now;
  write->number = next_number_++;
  if (write->request.team.empty()) {
    write->turn = turn_[p];  // machines are room for all teams
  } else {
    double& last = team_turns_[p][write->request.team];
    last = write->turn = std::max(turn_[p], last) + 1 / weight_of(write->request.team);
  }
  put_back(write);
}

void WriteQueue::put_back(const QueuedWritePtr& write) {
  const size_t p = index(write->priority());
  lines_[p].emplace(place_of(*write), write);
  by_age_[p].emplace(write->number, write);
}

void WriteQueue::put_first(const QueuedWritePtr& write) {
  put_back(write);
  first_.push_back(write);
}

void WriteQueue::take(const QueuedWritePtr& write) {
  const size_t p = index(write->priority());
  lines_[p].erase(place_of(*write));
  by_age_[p].erase(write->number);
  std::erase(first_, write);
  turn_[p] = std::max(turn_[p], write->turn);
  if (!lines_[p].empty()) return;
  turn_[p] = 0;
  team_turns_[p].clear();
}

// Its part of this transaction; what is less than one put is given in some of them.
size_t WriteQueue::quota(size_t priority, size_t slots) const {
  const double shard = Tunables::kContendedShare[priority] * static_cast<double>(slots);
  const auto before = static_cast<double>(transactions_);
  return static_cast<size_t>(std::floor(shard * (before + 1)) - std::floor(shard * before));
}

std::vector<QueuedWritePtr> WriteQueue::candidates(
    double now, double level, size_t slots,
    const std::function<bool(const std::string& key)>& is_busy) const {
  std::vector<QueuedWritePtr> out;
  if (level <= Tunables::kOverdueFloor[0] || empty()) return out;
  std::set<uint64_t> chosen;
  const auto choose = [&](const QueuedWritePtr& write) {
    if (is_busy(write->request.key) || !chosen.insert(write->number).second) return false;
    out.push_back(write);
    return true;
  };
  for (const auto& write : first_) choose(write);
  if (contended(now)) {
    for (size_t p = 0; p < kWritePriorities; ++p) {
      // Display and what is gathered go along with others, and by themselves only from a budget
      // that is left.
      if (level <= Tunables::kOverdueFloor[p] && out.empty()) continue;
      size_t left = quota(p, slots);
      const size_t by_age = p < index(WritePriority::coalesced) ? left / 2 : left;
      for (const auto& [place, write] : lines_[p]) {
        if (left <= by_age) break;
        if (choose(write)) --left;
      }
      for (const auto& [number, write] : by_age_[p]) {
        if (left == 0 || !overdue(*write, now)) break;
        if (choose(write)) --left;
      }
    }
  }
  const size_t most = slots * 2;  // more than the slots, as some will have nothing to write
  for (size_t p = 0; p < kWritePriorities && out.size() < most; ++p) {
    const bool all = level > Tunables::kWriteFloor[p];
    const bool only_overdue = !all && level > Tunables::kOverdueFloor[p];
    if (all) {
      for (const auto& [place, write] : lines_[p]) {
        if (out.size() >= most) break;
        choose(write);
      }
    } else if (only_overdue) {
      for (const auto& [number, write] : by_age_[p]) {
        if (out.size() >= most || !overdue(*write, now)) break;
        choose(write);
      }
    }
  }
  return out;
}

size_t WriteQueue::waiting_before(WritePriority priority, store::Rank rank) const {
  const Line& line = lines_[index(priority)];
  const Place after_rank{1 - static_cast<int>(rank), 0, 0};
  return static_cast<size_t>(std::distance(line.begin(), line.lower_bound(after_rank)));
}

bool WriteQueue::empty() const {
  return std::all_of(lines_.begin(), lines_.end(), [](const Line& line) { return line.empty(); });
}

bool WriteQueue::anything_pressing(double now) const {
  for (size_t p = 0; p < kWritePriorities; ++p) {
    if (lines_[p].empty()) continue;
    if (p < index(WritePriority::coalesced) || overdue(*by_age_[p].begin()->second, now))
      return true;
  }
  return false;
}

bool WriteQueue::contended(double now) const {
  for (size_t p = 1; p < kWritePriorities; ++p)
    if (!by_age_[p].empty() && overdue(*by_age_[p].begin()->second, now)) return true;
  return false;
}

size_t WriteQueue::pressing(double now) const {
  constexpr size_t kMostGathered = 50;  // it is asked all the time, and more says nothing new
  size_t n = 0;
  for (size_t p = 0; p < kWritePriorities; ++p) {
    if (p < index(WritePriority::coalesced)) {
      n += lines_[p].size();
      continue;
    }
    size_t counted = 0;
    for (const auto& [number, write] : by_age_[p]) {
      if (counted == kMostGathered || !overdue(*write, now)) break;
      ++counted;
    }
    n += counted;
  }
  return n;
}

}  // namespace rushtrestle::coordination
