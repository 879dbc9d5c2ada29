#include "coordination/state/writes/outcome_lookup.h"

#include <algorithm>
#include <cstdint>
#include <variant>

#include "coordination/state/response_status.h"

namespace rushtrestle::coordination {

namespace {

// A read that failed is repeated about so often in the interval between renewals of the lease.
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
    read(write);
  }
}

double OutcomeLookup::next_due() const {
  double due = kNoDueTime;
  for (const auto& retry : retries_) due = std::min(due, retry.at);
  return due;
}

void OutcomeLookup::read(const QueuedWritePtr& write) {
  const double sent_at = context_.now;
  context_.call(ReadKey{write->request.key}, context_.tunables.poll_wait_s,
                [this, sent_at, write](CallDone&& done) {
                  const auto* reply = std::get_if<KeyReply>(&done.reply);
                  const bool answered = done.status == response_status::kOk ||
                                        done.status == response_status::kNotFound;
                  if (!answered || !reply) {
                    connectivity_.on_failure(sent_at, done.status);
                    // The key stays blocked until its value is known: a write that follows could
                    // not tell whether this one was carried out.
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
  if (on_key_known) on_key_known(write->request.key);
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
  // As long as the key is as the write expects it, a write that is still on its way may succeed.
  const bool may_still_apply = mod_revision == write->prepared.expected;
  write->request.done(may_still_apply ? WriteOutcome::unsettled : WriteOutcome::conflict,
                      mod_revision);
}

}  // namespace rushtrestle::coordination
