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

/// Names of the stall reasons in `/stats`.
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
  struct CauseStatistics {
    uint64_t writes = 0;
    uint64_t changes = 0;
    Quantile median_wait_s{accumulators::quantile_probability = 0.5};
    Quantile p99_wait_s{accumulators::quantile_probability = 0.99};
    Maximum longest_wait_s;
  };

  std::array<CauseStatistics, kWriteCauses> causes;
  std::array<double, kStallReasons> stalled_s{};
  std::array<double, kStallReasons> unused_writes{};

  CauseStatistics& for_cause(WriteCause cause) { return causes[static_cast<size_t>(cause)]; }
};

WriteMetrics::WriteMetrics() : statistics_(std::make_unique<Statistics>()) {}
WriteMetrics::~WriteMetrics() = default;

void WriteMetrics::record_change(WriteCause cause) { ++statistics_->for_cause(cause).changes; }

void WriteMetrics::record_write(WriteCause cause, double waited_s) {
  auto& cause_statistics = statistics_->for_cause(cause);
  ++cause_statistics.writes;
  cause_statistics.median_wait_s(waited_s);
  cause_statistics.p99_wait_s(waited_s);
  cause_statistics.longest_wait_s(waited_s);
}

void WriteMetrics::record_stall(StallReason reason, double now, double writes_per_second) {
  if (stalled_since_ > 0) {
    const auto previous = static_cast<size_t>(stall_reason_);
    const double seconds = std::max(0.0, now - stalled_since_);
    statistics_->stalled_s[previous] += seconds;
    const bool budget_left =
        stall_reason_ != StallReason::none && stall_reason_ != StallReason::write_rate;
    if (budget_left) statistics_->unused_writes[previous] += seconds * writes_per_second;
  }
  stall_reason_ = reason;
  stalled_since_ = now;
}

store::Json WriteMetrics::causes_to_json() const {
  constexpr uint64_t kMinQuantileSamples = 5;  // required by the quantile estimator
  store::Json causes = store::Json::object();
  for (size_t cause = 0; cause < kWriteCauses; ++cause) {
    const auto& cause_statistics = statistics_->causes[cause];
    if (cause_statistics.writes == 0 && cause_statistics.changes == 0) continue;
    auto& json = causes[name_of(static_cast<WriteCause>(cause))];
    json = {{"puts", cause_statistics.writes}, {"changes", cause_statistics.changes}};
    if (cause_statistics.writes < kMinQuantileSamples) continue;
    json["wait_p50_s"] =
        rounded_to_milliseconds(accumulators::p_square_quantile(cause_statistics.median_wait_s));
    json["wait_p99_s"] =
        rounded_to_milliseconds(accumulators::p_square_quantile(cause_statistics.p99_wait_s));
    json["wait_max_s"] =
        rounded_to_milliseconds(accumulators::max(cause_statistics.longest_wait_s));
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
          {"idle_puts", std::round(statistics_->unused_writes[reason])}};
  }
  return stalls;
}

store::Json WriteMetrics::to_json() const {
  return {{"causes", causes_to_json()},
          {"hindered", stalls_to_json()},
          {"cut_short", transactions_cut_short_}};
}

}  // namespace rushtrestle::coordination
