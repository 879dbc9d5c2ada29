#include "coordination/state/read_barrier.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

#include "coordination/state/response_status.h"

namespace rushtrestle::coordination {

namespace {

// This key is never written, so a read of it returns a 404 with only the state store's revision.
constexpr const char* kAbsentKey = "none";
// Timeout of each of the two steps, as a share of the time that a request may wait for its answer.
constexpr double kStepTimeoutShare = 0.6;

}  // namespace

double ReadBarriers::step_timeout_s() const {
  return context_.tunables.query_timeout_s * kStepTimeoutShare;
}

void ReadBarriers::tick() {
  send_read();
  resolve();
}

double ReadBarriers::next_due() {
  double due = kNoDueTime;
  if (!not_sent_.empty() && !read_in_flight_)
    due = std::min(due, budgets_.barrier_reads().time_above(0, context_.now));
  for (const auto& barrier : barriers_) due = std::min(due, barrier.deadline);
  return due;
}

void ReadBarriers::send_read() {
  if (not_sent_.empty() || read_in_flight_ || !budgets_.barrier_reads().ready(context_.now)) return;
  budgets_.barrier_reads().take(1);
  read_in_flight_ = true;
  const double sent_at = context_.now;
  auto waiting = std::make_shared<std::vector<Continuation>>(std::exchange(not_sent_, {}));
  context_.call(ReadKey{kAbsentKey}, step_timeout_s(),
                [this, sent_at, waiting](CallDone&& done) { on_read(sent_at, done, *waiting); });
}

void ReadBarriers::on_read(double sent_at, const CallDone& done,
                           std::vector<Continuation>& waiting) {
  read_in_flight_ = false;
  const auto* reply = std::get_if<KeyReply>(&done.reply);
  if (done.status != response_status::kNotFound || !reply) {
    connectivity_.on_failure(sent_at, done.status);
    for (auto& continuation : waiting) continuation(false);
    return;
  }
  connectivity_.on_success(sent_at);
  barriers_.push_back(
      {reply->revision, sent_at, context_.now + step_timeout_s(), std::move(waiting)});
  resolve();
}

void ReadBarriers::resolve() {
  for (size_t i = 0; i < barriers_.size();) {
    const bool passed =
        list_and_watch_.synced() && state_cache_.revision() >= barriers_[i].revision;
    if (!passed && context_.now < barriers_[i].deadline) {
      ++i;
      continue;
    }
    // The cache now holds everything that was durable when the read was sent. An open watch only
    // shows this once it returns, which it does not during an outage. Without this confirmation,
    // the controller stopped answering workers some seconds earlier than necessary.
    if (passed) list_and_watch_.confirm_cache_current_as_of(barriers_[i].sent_at);
    auto waiting = std::move(barriers_[i].waiting);
    barriers_.erase(barriers_.begin() + static_cast<long>(i));
    for (auto& continuation : waiting) continuation(passed);
  }
}

void ReadBarriers::fail_waiting() {
  for (auto& continuation : std::exchange(not_sent_, {})) continuation(false);
}

}  // namespace rushtrestle::coordination
