// What has arrived of late, by part and class, and what is to be expected from that.
#pragma once
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "coordination/membership.h"

namespace rushtrestle::coordination {

class Demand {
 public:
  struct Forecast {
    store::JobSpec shape;  // the last job of the class, with the mean number of tasks
    int jobs = 0;
  };
  Demand(Context& ctx, const store::Model& model, const Membership& members) : ctx_(ctx), model_(model), members_(members) {}

  void job_changed(const std::string& id);
  /// What will come while a machine boots: the arrivals of late in that time, plus one deviation.
  std::vector<Forecast> expected(int part) const;

 private:
  struct Arrivals {
    std::deque<double> times;  // of day
    store::JobSpec last;
    double tasks_mean = 1;
  };
  double boot_s() const;

  Context& ctx_;
  const store::Model& model_;
  const Membership& members_;
  std::map<std::pair<int, std::string>, Arrivals> arrivals_;
  double since_ = 0;  // time of day of the first arrival seen
};

}  // namespace rushtrestle::coordination
