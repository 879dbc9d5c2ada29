#include "coordination/state/writes/outcome_lookup.h"

#include <algorithm>
#include <cstdint>
#include <variant>

#include "coordination/state/response_status.h"

namespace rushtrestle::coordination {

namespace {

// Number of times that a failed read is repeated in one lease renewal interval, approximately.
constexpr double kRetriesPerInterval = 3;

}  // namespace

void OutcomeLookup::repeat_due_reads() {
  for (size_t i = 0; i < retries_.size();) {
    if (context_.now < retries_[i].at) {
      ++i;
      continue;
    }
    const QueuedWritePtr write = retries_[i].write;
    retries_.erase(retries_.begin() + static_cast<long>(i));
    look_up(write);
  }
}

double OutcomeLookup::next_due() const {
  double due = kNoDueTime;
  for (const auto& retry : retries_) due = std::min(due, retry.at);
  return due;
}

void OutcomeLookup::look_up(const QueuedWritePtr& write) {
  const double sent_at = context_.now;
  context_.call(ReadKey{write->request.key}, context_.tunables.query_timeout_s,
                [this, sent_at, write](CallDone&& done) {
                  const auto* reply = std::get_if<KeyReply>(&done.reply);
                  const bool answered = done.status == response_status::kOk ||
                                        done.status == response_status::kNotFound;
                  if (!answered || !reply) {
                    connectivity_.on_failure(sent_at, done.status);
                    // The key stays blocked until its value is known, as a later write of the key
                    // could not tell whether this write was applied.
                    retries_.push_back(
                        {context_.now +
                             context_.jitter(context_.tunables.renew_every_s / kRetriesPerInterval),
                         write});
                    return;
                  }
                  connectivity_.on_success(sent_at);
                  on_read(write, *reply);
                });
}

void OutcomeLookup::on_read(const QueuedWritePtr& write, const KeyReply& reply) {
  if (on_key_read) on_key_read(write->request.key);
  uint64_t mod_revision = 0;
  std::string last_writer;
  if (reply.entry) {
    mod_revision = reply.entry->mod_revision;
    if (reply.entry->value->is_object()) last_writer = reply.entry->value->value(kWriterField, "");
    state_cache_.apply(*reply.entry);
  }
  if (!write->writer.empty() && last_writer == write->writer) {
    write->request.done(WriteOutcome::applied, mod_revision);
    return;
  }
  // While the key is still at the expected mod revision, a delayed write may yet be applied.
  const bool may_still_apply = mod_revision == write->prepared.expected_mod_revision;
  write->request.done(may_still_apply ? WriteOutcome::indeterminate : WriteOutcome::conflict,
                      mod_revision);
}

}  // namespace rushtrestle::coordination
