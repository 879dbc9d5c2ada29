// Records recent job arrivals by shard and job class and forecasts the next arrivals from them.
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
    store::JobSpec shape;  // the latest job of the class, with the mean number of tasks
    int jobs = 0;
  };
  ArrivalForecast(Context& context, const store::StateCache& state_cache,
                  const Membership& membership)
      : context_(context), state_cache_(state_cache), membership_(membership) {}

  /// Counts the job's arrival if the job is new and its team has a guarantee.
  void on_job_changed(const std::string& id);
  /// Returns the jobs expected in one boot time of the slowest machine type: the mean at the recent
  /// arrival rate plus one standard deviation (the square root of the mean).
  std::vector<Forecast> expected_arrivals(int shard) const;

 private:
  struct Arrivals {
    std::deque<double> times;  // submission times: seconds of the time of day
    store::JobSpec last;
    double tasks_mean = 1;
  };
  double boot_s() const;

  Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  std::map<std::pair<int, std::string>, Arrivals> arrivals_;
  double first_arrival_at_ = 0;  // time of day (seconds) of the first arrival seen; 0: none yet
};

}  // namespace rushtrestle::coordination
