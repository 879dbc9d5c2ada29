#include "coordination/writes/write_ledger.h"

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

constexpr const char* kHindranceNames[] = {"none",  "write_rate", "transaction_rate", "in_flight", "record_in_flight",
                                           "pause", "no_lease"};

double milliseconds_exact(double seconds) { return std::round(seconds * 1000) / 1000; }

}  // namespace

struct WriteLedger::Books {
  using Quantile = accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::p_square_quantile>>;
  using Maximum = accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::max>>;
  struct Entry {
    uint64_t puts = 0, changes = 0;
    Quantile median{accumulators::quantile_probability = 0.5};
    Quantile p99{accumulators::quantile_probability = 0.99};
    Maximum longest;
  };
  static constexpr size_t kHindrances = static_cast<size_t>(WriteHindrance::no_lease) + 1;

  std::array<Entry, kWriteCauses> entries;
  std::array<double, kHindrances> hindered_s{};
  std::array<double, kHindrances> idle_puts{};

  Entry& of(WriteCause cause) { return entries[static_cast<size_t>(cause)]; }
};

WriteLedger::WriteLedger() : books_(std::make_unique<Books>()) {}
WriteLedger::~WriteLedger() = default;

void WriteLedger::change(WriteCause cause) { ++books_->of(cause).changes; }

void WriteLedger::put(WriteCause cause, double waited_s) {
  auto& entry = books_->of(cause);
  ++entry.puts;
  entry.median(waited_s);
  entry.p99(waited_s);
  entry.longest(waited_s);
}

void WriteLedger::hindered(WriteHindrance by, double now, double puts_per_second) {
  if (hindered_since_ > 0) {
    const auto index = static_cast<size_t>(hindrance_);
    const double seconds = std::max(0.0, now - hindered_since_);
    books_->hindered_s[index] += seconds;
    const bool budget_left = hindrance_ != WriteHindrance::none && hindrance_ != WriteHindrance::write_rate;
    if (budget_left) books_->idle_puts[index] += seconds * puts_per_second;
  }
  hindrance_ = by;
  hindered_since_ = now;
}

store::Json WriteLedger::to_json() const {
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
  store::Json hindered = store::Json::object();
  for (size_t i = 1; i < Books::kHindrances; ++i)
    if (books_->hindered_s[i] > 0)
      hindered[kHindranceNames[i]] = {{"seconds", milliseconds_exact(books_->hindered_s[i])},
                                      {"idle_puts", std::round(books_->idle_puts[i])}};
  return {{"causes", std::move(causes)}, {"hindered", std::move(hindered)}, {"cut_short", transactions_cut_short_}};
}

}  // namespace rushtrestle::coordination
