#include "coordination/shard/dispatch_queue.h"

#include <algorithm>
#include <limits>

namespace rushtrestle::coordination {

void DispatchQueue::advance(double now) {
  while (!delayed_.empty() && delayed_.begin()->first <= now)
    due_.insert(delayed_.extract(delayed_.begin()).value().second);
}

std::vector<std::string> DispatchQueue::next_after(const std::string& last,
                                                   size_t max_count) const {
  std::vector<std::string> machines;
  auto next = due_.upper_bound(last);
  for (size_t left = std::min(max_count, due_.size()); left > 0; --left) {
    if (next == due_.end()) next = due_.begin();
    machines.push_back(*next++);
  }
  return machines;
}

double DispatchQueue::next_delayed() const {
  return delayed_.empty() ? std::numeric_limits<double>::infinity() : delayed_.begin()->first;
}

}  // namespace rushtrestle::coordination
