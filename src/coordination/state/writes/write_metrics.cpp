#include "coordination/state/writes/write_metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>

namespace rushtrestle::coordination {

namespace accumulators = boost::accumulators;

namespace {

constexpr size_t kStallReasons = static_cast<size_t>(StallReason::no_lease) + 1;

/// As in `/stats`.
constexpr const char* kStallReasonNames[kStallReasons] = {
    "none", "write_rate", "transaction_rate", "in_flight", "record_in_flight", "pause", "no_lease"};

double rounded_to_milliseconds(double seconds) { return std::round(seconds * 1000) / 1000; }

}  // namespace

struct WriteMetrics::Statistics {
  using Quantile =
      accumulators::accumulator_set<double,
                                    accumulators::stats<accumulators::tag::p_square_quantile>>;
  using Maximum =
      accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::max>>;
  struct OfCause {
    uint64_t writes = 0;
    uint64_t changes = 0;
    Quantile median_wait_s{accumulators::quantile_probability = 0.5};
    Quantile p99_wait_s{accumulators::quantile_probability = 0.99};
    Maximum longest_wait_s;
  };

  std::array<OfCause, kWriteCauses> causes;
  std::array<double, kStallReasons> stalled_s{};
  std::array<double, kStallReasons> idle_writes{};

  OfCause& of(WriteCause cause) { return causes[static_cast<size_t>(cause)]; }
};

WriteMetrics::WriteMetrics() : statistics_(std::make_unique<Statistics>()) {}
WriteMetrics::~WriteMetrics() = default;

void WriteMetrics::change(WriteCause cause) { ++statistics_->of(cause).changes; }

void WriteMetrics::put(WriteCause cause, double waited_s) {
  auto& of_cause = statistics_->of(cause);
  ++of_cause.writes;
  of_cause.median_wait_s(waited_s);
  of_cause.p99_wait_s(waited_s);
  of_cause.longest_wait_s(waited_s);
}

void WriteMetrics::stalled(StallReason by, double now, double writes_per_second) {
  if (stalled_since_ > 0) {
    const auto reason = static_cast<size_t>(stall_reason_);
    const double seconds = std::max(0.0, now - stalled_since_);
    statistics_->stalled_s[reason] += seconds;
    const bool budget_left =
        stall_reason_ != StallReason::none && stall_reason_ != StallReason::write_rate;
    if (budget_left) statistics_->idle_writes[reason] += seconds * writes_per_second;
  }
  stall_reason_ = by;
  stalled_since_ = now;
}

store::Json WriteMetrics::causes_to_json() const {
  constexpr uint64_t kLeastSamples = 5;  // that the estimate of the quantiles needs
  store::Json causes = store::Json::object();
  for (size_t cause = 0; cause < kWriteCauses; ++cause) {
    const auto& of_cause = statistics_->causes[cause];
    if (of_cause.writes == 0 && of_cause.changes == 0) continue;
    auto& json = causes[name_of(static_cast<WriteCause>(cause))];
    json = {{"puts", of_cause.writes}, {"changes", of_cause.changes}};
    if (of_cause.writes < kLeastSamples) continue;
    json["wait_p50_s"] =
        rounded_to_milliseconds(accumulators::p_square_quantile(of_cause.median_wait_s));
    json["wait_p99_s"] =
        rounded_to_milliseconds(accumulators::p_square_quantile(of_cause.p99_wait_s));
    json["wait_max_s"] = rounded_to_milliseconds(accumulators::max(of_cause.longest_wait_s));
  }
  return causes;
}

store::Json WriteMetrics::stalls_to_json() const {
  store::Json stalls = store::Json::object();
  for (size_t reason = 1; reason < kStallReasons; ++reason) {
    const double seconds = statistics_->stalled_s[reason];
    if (seconds > 0)
      stalls[kStallReasonNames[reason]] = {
          {"seconds", rounded_to_milliseconds(seconds)},
          {"idle_puts", std::round(statistics_->idle_writes[reason])}};
  }
  return stalls;
}

store::Json WriteMetrics::to_json() const {
  return {{"causes", causes_to_json()},
          {"hindered", stalls_to_json()},
          {"cut_short", transactions_cut_short_}};
}

}  // namespace rushtrestle::coordination
