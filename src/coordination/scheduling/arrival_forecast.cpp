#include "coordination/scheduling/arrival_forecast.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

namespace {
// The window in which arrivals are counted, in boot times of the slowest machine type.
constexpr double kWindowInBootTimes = 3;
// A burst (all that waited when the service began, say) tells nothing of what will come: where half
// a boot time brought more than half of all arrivals, and not just a few, it is left out.
constexpr double kBurstInBootTimes = 0.5;
constexpr size_t kFewArrivals = 8;
// The mean number of tasks is smoothed exponentially, so that the latest jobs count most.
constexpr double kWeightOfPast = 0.8;
constexpr double kWeightOfLatest = 0.2;

// The most of these sorted times that lie within `span` seconds.
size_t most_within(const std::vector<double>& times, double span) {
  size_t most = 0;
  for (size_t from = 0, to = 0; to < times.size(); ++to) {
    while (times[to] - times[from] > span) ++from;
    most = std::max(most, to - from + 1);
  }
  return most;
}
}  // namespace

void ArrivalForecast::on_job_changed(const std::string& id) {
  const auto& record = state_cache_.job(id)->record;
  // Each job once: its first record has no attempts yet.
  if (record.attempts > 0 || record.final_state() ||
      record.submitted < context_.wall - context_.settings.lease_s)
    return;
  // Machines would be provisioned for a swarm of best-effort teams' jobs, and their room kept from
  // teams that have a guarantee.
  if (context_.is_best_effort(record.spec.team)) return;
  if (since_ == 0) since_ = context_.wall;
  auto& arrivals = arrivals_[{membership_.shard_of_team(record.spec.team), record.spec.job_class}];
  if (!arrivals.times.empty() && arrivals.last.id == id) return;
  arrivals.tasks_mean = arrivals.times.empty() ? record.spec.tasks
                                               : kWeightOfPast * arrivals.tasks_mean +
                                                     kWeightOfLatest * record.spec.tasks;
  arrivals.times.push_back(record.submitted);
  arrivals.last = record.spec;
  const double forgotten_before = context_.wall - 2 * kWindowInBootTimes * boot_s();
  while (arrivals.times.front() < forgotten_before) arrivals.times.pop_front();
}

double ArrivalForecast::boot_s() const {
  double longest = 0;
  for (const auto& type : state_cache_.types()) longest = std::max(longest, type.boot_s);
  return std::max(longest, context_.settings.lease_s / kWindowInBootTimes);
}

std::vector<ArrivalForecast::Forecast> ArrivalForecast::expected(int shard) const {
  std::vector<Forecast> forecasts;
  const double boot = boot_s();
  const double window = boot * kWindowInBootTimes;
  const double burst = boot * kBurstInBootTimes;
  for (const auto& [key, arrivals] : arrivals_) {
    if (key.first != shard) continue;
    std::vector<double> times;
    for (const double time : arrivals.times)
      if (time > context_.wall - window) times.push_back(time);
    std::sort(times.begin(), times.end());  // they are by several controllers' clocks
    size_t recent = times.size();
    const size_t densest = most_within(times, burst);
    // A controller that has just started has seen only the time since.
    double seen_s = std::clamp(context_.wall - since_, burst, window);
    if (recent > kFewArrivals && densest > recent / 2) {
      recent -= densest;
      seen_s = std::max(burst, seen_s - burst);
    }
    if (recent == 0) continue;
    const double mean = static_cast<double>(recent) * boot / seen_s;
    Forecast forecast{arrivals.last, static_cast<int>(std::ceil(mean + std::sqrt(mean)))};
    forecast.shape.tasks = static_cast<uint32_t>(std::max(1.0, std::round(arrivals.tasks_mean)));
    forecasts.push_back(std::move(forecast));
  }
  return forecasts;
}

}  // namespace rushtrestle::coordination
