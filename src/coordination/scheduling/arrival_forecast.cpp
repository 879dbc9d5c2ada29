#include "coordination/scheduling/arrival_forecast.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

namespace {
// The window in which arrivals are counted, in boot times of the slowest machine type.
constexpr double kWindow = 3;
// What comes at one stroke (all that stood in line when the service began, say) tells nothing of
// what will come: where half a boot time brought more than half of all, and not just a few, it is
// left out.
constexpr double kStroke = 0.5;
constexpr size_t kFew = 8;
}  // namespace

void ArrivalForecast::on_job_changed(const std::string& id) {
  const auto& rec = state_cache_.job(id)->record;
  // Each job once: its first record has no attempts yet.
  if (rec.attempts > 0 || rec.final_state() ||
      rec.submitted < context_.wall - context_.settings.lease_s)
    return;
  // Spare room for a swarm of best-effort teams' jobs would be rented, and kept from those who have
  // a guarantee.
  if (context_.is_best_effort(rec.spec.team)) return;
  if (since_ == 0) since_ = context_.wall;
  auto& a = arrivals_[{membership_.shard_of_team(rec.spec.team), rec.spec.job_class}];
  if (!a.times.empty() && a.last.id == id) return;
  a.tasks_mean = a.times.empty() ? rec.spec.tasks : 0.8 * a.tasks_mean + 0.2 * rec.spec.tasks;
  a.times.push_back(rec.submitted);
  a.last = rec.spec;
  while (a.times.front() < context_.wall - 2 * kWindow * boot_s()) a.times.pop_front();
}

double ArrivalForecast::boot_s() const {
  double boot = 0;
  for (const auto& t : state_cache_.types()) boot = std::max(boot, t.boot_s);
  return std::max(boot, context_.settings.lease_s / kWindow);
}

std::vector<ArrivalForecast::Forecast> ArrivalForecast::expected(int shard) const {
  std::vector<Forecast> out;
  const double boot = boot_s(), window = boot * kWindow, stroke = boot * kStroke;
  for (const auto& [key, a] : arrivals_) {
    if (key.first != shard) continue;
    std::vector<double> times;
    for (const double t : a.times)
      if (t > context_.wall - window) times.push_back(t);
    std::sort(times.begin(), times.end());  // they come by several controllers' clocks
    size_t recent = times.size(), densest = 0;
    for (size_t from = 0, to = 0; to < times.size(); ++to) {
      while (times[to] - times[from] > stroke) ++from;
      densest = std::max(densest, to - from + 1);
    }
    // A controller that has just begun has seen no more than that.
    double seen_s = std::clamp(context_.wall - since_, stroke, window);
    if (recent > kFew && densest > recent / 2) {
      recent -= densest;
      seen_s = std::max(stroke, seen_s - stroke);
    }
    if (recent == 0) continue;
    const double mean = static_cast<double>(recent) * boot / seen_s;
    Forecast f{a.last, static_cast<int>(std::ceil(mean + std::sqrt(mean)))};
    f.shape.tasks = static_cast<uint32_t>(std::max(1.0, std::round(a.tasks_mean)));
    out.push_back(std::move(f));
  }
  return out;
}

}  // namespace rushtrestle::coordination
