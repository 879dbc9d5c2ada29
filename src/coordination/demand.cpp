#include "coordination/demand.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

namespace {
// The window in which arrivals are counted, in boot times of the slowest machine type.
constexpr double kWindow = 3;
}  // namespace

void Demand::job_changed(const std::string& id) {
  const auto& rec = model_.job(id)->record;
  // Each job once: its first record has no attempts yet.
  if (rec.attempts > 0 || rec.final_state() || rec.submitted < ctx_.wall - ctx_.settings.lease_s) return;
  auto& a = arrivals_[{members_.part_of_team(rec.spec.team), rec.spec.job_class}];
  if (!a.times.empty() && a.last.id == id) return;
  a.tasks_mean = a.times.empty() ? rec.spec.tasks : 0.8 * a.tasks_mean + 0.2 * rec.spec.tasks;
  a.times.push_back(rec.submitted);
  a.last = rec.spec;
  constexpr size_t kMost = 256;
  if (a.times.size() > kMost) a.times.pop_front();
}

double Demand::boot_s() const {
  double boot = 0;
  for (const auto& t : model_.types()) boot = std::max(boot, t.boot_s);
  return std::max(boot, ctx_.settings.lease_s / kWindow);
}

std::vector<Demand::Forecast> Demand::expected(int part) const {
  std::vector<Forecast> out;
  const double boot = boot_s(), window = boot * kWindow;
  for (const auto& [key, a] : arrivals_) {
    if (key.first != part) continue;
    const auto recent = std::count_if(a.times.begin(), a.times.end(), [&](double t) { return t >= ctx_.wall - window; });
    if (recent == 0) continue;
    const double mean = static_cast<double>(recent) / kWindow;
    Forecast f{a.last, static_cast<int>(std::ceil(mean + std::sqrt(mean)))};
    f.shape.tasks = static_cast<uint32_t>(std::max(1.0, std::round(a.tasks_mean)));
    out.push_back(std::move(f));
  }
  return out;
}

}  // namespace rushtrestle::coordination
