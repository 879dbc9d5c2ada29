#include "coordination/state/list_and_watch.h"

#include <algorithm>
#include <variant>

#include "coordination/state/response_status.h"

namespace rushtrestle::coordination {

namespace {

// Number of changes that the state store retains for watches, as specified by its protocol.
constexpr uint64_t kRetainedChanges = 10000;
// Number of times that a failed list or watch request is repeated in one lease renewal interval,
// approximately.
constexpr double kListRetriesPerInterval = 2;
constexpr double kWatchRetriesPerInterval = 4;

}  // namespace

void ListAndWatch::tick() {
  if (!synced_ && !listing_ && context_.now >= next_list_attempt_) begin_or_resume_list();
  if (synced_ && !watching_ && context_.now >= next_watch_ &&
      budgets_.watches().ready(context_.now))
    watch();
}

double ListAndWatch::next_due() {
  double due = kNoDueTime;
  if (!synced_ && !listing_) due = std::min(due, next_list_attempt_);
  if (synced_ && !watching_)
    due = std::min(due, std::max(next_watch_, budgets_.watches().time_above(0, context_.now)));
  return due;
}

void ListAndWatch::confirm_cache_current_as_of(double sent_at) {
  cache_current_as_of_ = std::max(cache_current_as_of_, sent_at);
}

void ListAndWatch::apply(const std::vector<store::Change>& changes) {
  for (const auto& change : changes)
    if (!state_cache_.apply(change))
      context_.log_rate_limited("record", "record_unreadable key=" + change.key);
}

// ---- list ----

void ListAndWatch::begin_or_resume_list() {
  listing_ = true;
  if (!list_) list_.emplace(context_.now);
  list_page();
}

// A list whose request failed resumes after the last page that was read. When it started over each
// time, a list of hundreds of pages never completed on a state store that leaves one request in a
// hundred unanswered.
void ListAndWatch::pause_list(double sent_at, int status) {
  connectivity_.on_failure(sent_at, status);
  listing_ = false;
  next_list_attempt_ =
      context_.now + context_.jitter(context_.tunables.renew_every_s / kListRetriesPerInterval);
}

void ListAndWatch::list_page() {
  const double sent_at = context_.now;
  context_.call(ListKeys{"", list_->last_key}, context_.settings.heartbeat_interval_s,
                [this, sent_at](CallDone&& done) {
                  const auto* page = std::get_if<ListKeysReply>(&done.reply);
                  if (done.status != response_status::kOk || !page)
                    return pause_list(sent_at, done.status);
                  connectivity_.on_success(sent_at);
                  on_page_listed(*page);
                });
}

void ListAndWatch::on_page_listed(const ListKeysReply& page) {
  if (!list_->first_revision) {
    list_->first_revision = std::max<uint64_t>(1, page.revision);
    list_->watched_revision = *list_->first_revision;
  }
  for (const auto& entry : page.entries) list_->listed_keys.insert(entry.key);
  apply(page.entries);
  if (!page.more || page.entries.empty()) return finish_list();
  list_->last_key = page.entries.back().key;
  // Half of the retained changes, if every transaction contains the maximum number of changes.
  const uint64_t max_revision_lag =
      kRetainedChanges / 2 / static_cast<uint64_t>(std::max(1, context_.settings.txn_ops));
  page.revision > list_->watched_revision + max_revision_lag ? watch_between_pages() : list_page();
}

// Changes are also watched between pages. When more changes happened during a list than the state
// store retains, the first watch after the list failed with 410 and the keys were listed again; as
// this repeated on every list, the controller never had a state cache.
void ListAndWatch::watch_between_pages() {
  const double sent_at = context_.now;
  context_.call(Watch{list_->watched_revision, 0}, context_.settings.heartbeat_interval_s,
                [this, sent_at](CallDone&& done) {
                  const auto* reply = std::get_if<WatchReply>(&done.reply);
                  if (must_list_anew(done)) {  // the list was paused too long
                    connectivity_.on_success(sent_at);
                    list_.reset();
                    listing_ = false;
                    return;
                  }
                  if (done.status != response_status::kOk || !reply)
                    return pause_list(sent_at, done.status);
                  connectivity_.on_success(sent_at);
                  apply(reply->events);
                  list_->watched_revision = std::max(list_->watched_revision, reply->revision);
                  list_page();
                });
}

// Only lease keys are ever deleted, and a gap in the watched changes may have hidden a deletion. A
// key that was written after the list passed its position is newer than the first page and stays in
// the cache.
void ListAndWatch::delete_unlisted_leased_keys() {
  std::vector<std::string> leased_keys{store::leader_key};
  for (int shard = 0; shard < context_.settings.nodes; ++shard)
    leased_keys.push_back(store::shard_key(shard));
  const uint64_t first_revision = *list_->first_revision;
  for (const auto& key : leased_keys) {
    const uint64_t cached = state_cache_.mod_revision_of(key);
    if (list_->listed_keys.count(key) == 0 && cached != 0 && cached <= first_revision)
      state_cache_.apply(store::Change{key, std::nullopt, first_revision});
  }
}

void ListAndWatch::finish_list() {
  delete_unlisted_leased_keys();
  state_cache_.reached(list_->watched_revision);
  listing_ = false;
  synced_ = true;
  cache_current_as_of_ = std::max(cache_current_as_of_, list_->began_at);
  list_.reset();
  context_.info("state_cache_listed revision=" + std::to_string(state_cache_.revision()));
  if (on_cache_advanced) on_cache_advanced();
}

// ---- watch ----

void ListAndWatch::watch() {
  watching_ = true;
  budgets_.watches().take(1);
  const double sent_at = context_.now;
  const double hold_s = context_.tunables.watch_timeout_s;
  context_.call(Watch{state_cache_.revision(), hold_s},
                hold_s + context_.settings.heartbeat_interval_s,
                [this, sent_at](CallDone&& done) { on_watch_returned(sent_at, done); });
}

// Whether the changes since the watched revision can't be had: the state store no longer retains
// them, or there are more than this controller reads in one response. A watch response has no size
// limit, and one from the same revision is only larger the next time: a controller that was refused
// for a while asked for ever, and answered every question with 503.
bool ListAndWatch::must_list_anew(const CallDone& done) {
  return done.status == response_status::kHistoryGone || done.reply_too_large;
}

void ListAndWatch::on_watch_returned(double sent_at, const CallDone& done) {
  watching_ = false;
  if (must_list_anew(done)) {
    if (done.reply_too_large)
      context_.info("watch_reply_too_large revision=" + std::to_string(state_cache_.revision()));
    connectivity_.on_success(sent_at);
    context_.counters["lists_anew"]++;
    synced_ = false;
    return;
  }
  const auto* reply = std::get_if<WatchReply>(&done.reply);
  if (done.status != response_status::kOk || !reply) {
    connectivity_.on_failure(sent_at, done.status);
    next_watch_ =
        context_.now + context_.jitter(context_.tunables.renew_every_s / kWatchRetriesPerInterval);
    return;
  }
  connectivity_.on_success(sent_at);
  apply(reply->events);
  state_cache_.reached(reply->revision);
  cache_current_as_of_ = std::max(cache_current_as_of_, sent_at);
  if (on_cache_advanced) on_cache_advanced();
}

}  // namespace rushtrestle::coordination
