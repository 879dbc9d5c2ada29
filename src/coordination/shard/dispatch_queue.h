// Machines to which commands may have to be sent, now or at a later time. Every module that changes
// what a machine should run adds it here; CommandDispatcher works the queue off.
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

  /// Makes due what was delayed up to now.
  void advance(double now);
  /// Up to `most` machines that are due, in turn by id, going on after `last`.
  std::vector<std::string> next_after(const std::string& last, size_t most) const;
  bool anything_due() const { return !due_.empty(); }
  /// When the first delayed machine becomes due; infinity: none.
  double next_delayed() const;

 private:
  std::set<std::string> due_;
  std::set<std::pair<double, std::string>> delayed_;
};

}  // namespace rushtrestle::coordination
