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

constexpr const char* kStallReasonNames[] = {
    "none", "write_rate", "transaction_rate", "in_flight", "record_in_flight", "pause", "no_lease"};

double milliseconds_exact(double seconds) { return std::round(seconds * 1000) / 1000; }

}  // namespace

struct WriteMetrics::Books {
  using Quantile =
      accumulators::accumulator_set<double,
                                    accumulators::stats<accumulators::tag::p_square_quantile>>;
  using Maximum =
      accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::max>>;
  struct Entry {
    uint64_t puts = 0, changes = 0;
    Quantile median{accumulators::quantile_probability = 0.5};
    Quantile p99{accumulators::quantile_probability = 0.99};
    Maximum longest;
  };
  static constexpr size_t kStallReasons = static_cast<size_t>(StallReason::no_lease) + 1;

  std::array<Entry, kWriteCauses> entries;
  std::array<double, kStallReasons> stalled_s{};
  std::array<double, kStallReasons> idle_puts{};

  Entry& of(WriteCause cause) { return entries[static_cast<size_t>(cause)]; }
};

WriteMetrics::WriteMetrics() : books_(std::make_unique<Books>()) {}
WriteMetrics::~WriteMetrics() = default;

void WriteMetrics::change(WriteCause cause) { ++books_->of(cause).changes; }

void WriteMetrics::put(WriteCause cause, double waited_s) {
  auto& entry = books_->of(cause);
  ++entry.puts;
  entry.median(waited_s);
  entry.p99(waited_s);
  entry.longest(waited_s);
}

void WriteMetrics::stalled(StallReason by, double now, double puts_per_second) {
  if (stalled_since_ > 0) {
    const auto index = static_cast<size_t>(stall_reason_);
    const double seconds = std::max(0.0, now - stalled_since_);
    books_->stalled_s[index] += seconds;
    const bool budget_left =
        stall_reason_ != StallReason::none && stall_reason_ != StallReason::write_rate;
    if (budget_left) books_->idle_puts[index] += seconds * puts_per_second;
  }
  stall_reason_ = by;
  stalled_since_ = now;
}

store::Json WriteMetrics::to_json() const {
  store::Json causes = store::Json::object();
  for (size_t i = 0; i < kWriteCauses; ++i) {
    const auto& e = books_->entries[i];
    if (e.puts == 0 && e.changes == 0) continue;
    auto& j = causes[name_of(static_cast<WriteCause>(i))];
    j = {{"puts", e.puts}, {"changes", e.changes}};
    constexpr uint64_t kLeastSamples = 5;  // the quantiles' estimate needs as many
    if (e.puts < kLeastSamples) continue;
    j["wait_p50_s"] = milliseconds_exact(accumulators::p_square_quantile(e.median));
    j["wait_p99_s"] = milliseconds_exact(accumulators::p_square_quantile(e.p99));
    j["wait_max_s"] = milliseconds_exact(accumulators::max(e.longest));
  }
  store::Json stalled = store::Json::object();
  for (size_t i = 1; i < Books::kStallReasons; ++i)
    if (books_->stalled_s[i] > 0)
      stalled[kStallReasonNames[i]] = {{"seconds", milliseconds_exact(books_->stalled_s[i])},
                                       {"idle_puts", std::round(books_->idle_puts[i])}};
  return {{"causes", std::move(causes)},
          {"hindered", std::move(stalled)},
          {"cut_short", transactions_cut_short_}};
}

}  // namespace rushtrestle::coordination
