#include "coordination/scheduling/arrival_forecast.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

namespace {
// Arrivals are counted in a window of this many boot times of the slowest machine type.
constexpr double kWindowInBootTimes = 3;
// A burst, for example the backlog when the service starts, does not predict future arrivals. If
// half a boot time contains more than half of all arrivals in the window, those arrivals are a
// burst and are not counted. A window with at most `kMaxArrivalsWithoutBurstCheck` arrivals is
// exempt.
constexpr double kBurstInBootTimes = 0.5;
constexpr size_t kMaxArrivalsWithoutBurstCheck = 8;
// Weights of the exponential moving average of tasks per job, in which the latest jobs count most.
constexpr double kWeightOfPast = 0.8;
constexpr double kWeightOfLatest = 0.2;

// Returns the largest number of the sorted times that lie within any span of `span_s` seconds.
size_t max_arrivals_within(const std::vector<double>& times, double span_s) {
  size_t most = 0;
  for (size_t from = 0, to = 0; to < times.size(); ++to) {
    while (times[to] - times[from] > span_s) ++from;
    most = std::max(most, to - from + 1);
  }
  return most;
}
}  // namespace

void ArrivalForecast::on_job_changed(const std::string& id) {
  const auto& record = state_cache_.job(id)->record;
  // Each job is counted once, at its first record, which has no attempts yet.
  if (record.attempts > 0 || record.final_state() ||
      record.submitted < context_.wall - context_.settings.lease_s)
    return;
  // Jobs of best-effort teams are not forecast: machines would be provisioned for a large number of
  // them, and capacity would be withheld from teams that have a guarantee.
  if (context_.is_best_effort(record.spec.team)) return;
  if (first_arrival_at_ == 0) first_arrival_at_ = context_.wall;
  auto& arrivals = arrivals_[{membership_.shard_of_team(record.spec.team), record.spec.job_class}];
  if (!arrivals.times.empty() && arrivals.last.id == id) return;
  arrivals.tasks_mean = arrivals.times.empty() ? record.spec.tasks
                                               : kWeightOfPast * arrivals.tasks_mean +
                                                     kWeightOfLatest * record.spec.tasks;
  arrivals.times.push_back(record.submitted);
  arrivals.last = record.spec;
  const double discard_before = context_.wall - 2 * kWindowInBootTimes * boot_s();
  while (arrivals.times.front() < discard_before) arrivals.times.pop_front();
}

double ArrivalForecast::boot_s() const {
  double longest = 0;
  for (const auto& type : state_cache_.types()) longest = std::max(longest, type.boot_s);
  return std::max(longest, context_.settings.lease_s / kWindowInBootTimes);
}

std::vector<ArrivalForecast::Forecast> ArrivalForecast::expected_arrivals(int shard) const {
  std::vector<Forecast> forecasts;
  const double boot_time_s = boot_s();
  const double window_s = boot_time_s * kWindowInBootTimes;
  const double burst_s = boot_time_s * kBurstInBootTimes;
  for (const auto& [key, arrivals] : arrivals_) {
    if (key.first != shard) continue;
    std::vector<double> times;
    for (const double time : arrivals.times)
      if (time > context_.wall - window_s) times.push_back(time);
    std::sort(times.begin(), times.end());  // the times come from the clocks of several controllers
    size_t recent = times.size();
    const size_t burst_arrivals = max_arrivals_within(times, burst_s);
    // A recently started controller has observed less than the whole window.
    double observed_s = std::clamp(context_.wall - first_arrival_at_, burst_s, window_s);
    if (recent > kMaxArrivalsWithoutBurstCheck && burst_arrivals > recent / 2) {
      recent -= burst_arrivals;
      observed_s = std::max(burst_s, observed_s - burst_s);
    }
    if (recent == 0) continue;
    const double mean = static_cast<double>(recent) * boot_time_s / observed_s;
    Forecast forecast{arrivals.last, static_cast<int>(std::ceil(mean + std::sqrt(mean)))};
    forecast.shape.tasks = static_cast<uint32_t>(std::max(1.0, std::round(arrivals.tasks_mean)));
    forecasts.push_back(std::move(forecast));
  }
  return forecasts;
}

}  // namespace rushtrestle::coordination
