// Queue of machines that may need commands, now or at a later time. Every module that changes what
// a machine should run adds the machine here; CommandDispatcher takes machines off the queue.
#pragma once
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rushtrestle::coordination {

class DispatchQueue {
 public:
  void add(const std::string& machine) { due_.insert(machine); }
  void add_later(const std::string& machine, double at) { delayed_.emplace(at, machine); }
  void merge(std::set<std::string>& machines) { due_.merge(machines); }
  void remove(const std::string& machine) { due_.erase(machine); }

  /// Makes the machines due whose delay ended by `now`, a steady time in seconds.
  void advance(double now);
  /// Returns up to `max_count` due machines, round-robin by id, starting after `last`.
  std::vector<std::string> next_after(const std::string& last, size_t max_count) const;
  bool any_due() const { return !due_.empty(); }
  /// Returns the steady time, in seconds, at which the next delayed machine becomes due; infinity
  /// if none is delayed.
  double next_delayed() const;

 private:
  std::set<std::string> due_;
  std::set<std::pair<double, std::string>> delayed_;
};

}  // namespace rushtrestle::coordination
