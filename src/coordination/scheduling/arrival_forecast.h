// Recent arrivals of jobs by shard and class, and the arrivals that follow from them.
#pragma once
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

class ArrivalForecast {
 public:
  struct Forecast {
    store::JobSpec shape;  // the last job of the class, with the mean number of tasks
    int jobs = 0;
  };
  ArrivalForecast(Context& context, const store::StateCache& state_cache,
                  const Membership& membership)
      : context_(context), state_cache_(state_cache), membership_(membership) {}

  void on_job_changed(const std::string& id);
  /// What will come while a machine boots: the recent rate over that time, plus one deviation.
  std::vector<Forecast> expected(int shard) const;

 private:
  struct Arrivals {
    std::deque<double> times;  // of day
    store::JobSpec last;
    double tasks_mean = 1;
  };
  double boot_s() const;

  Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  std::map<std::pair<int, std::string>, Arrivals> arrivals_;
  double since_ = 0;  // time of day of the first arrival seen
};

}  // namespace rushtrestle::coordination
