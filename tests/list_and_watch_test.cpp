// Tests how a controller lists all keys of the state store while they change, and watches the
// changes.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <limits>

#include "coordination/state/state_store_client.h"
#include "simulation/fake_state_store.h"

namespace rushtrestle::testing {
namespace {

using namespace coordination;

struct NoListener : store::StateCache::Listener {
  void on_job_changed(const std::string&) override {}
  void on_machine_changed(const std::string&) override {}
  void on_lease_holder_changed(const std::string&) override {}
};

/// Connects a StateStoreClient to a state store that answers requests at once, one after another.
class ListingClient {
 public:
  explicit ListingClient(FakeStateStore& service)
      : service_(service), context_(settings(), {}, "incarnation", 1), state_cache_(listener_) {
    state_store_.set_budget_share(1);
  }

  /// Advances the time by `seconds`. Calls `before_page` before each page is read; the page is
  /// answered if it returns true.
  void run(double seconds, const std::function<bool()>& before_page) {
    const double until = context_.now + seconds;
    for (; context_.now < until; context_.now += kStep) {
      answer_watch();
      state_store_.tick();
      for (auto& effect : std::exchange(context_.effects, {}))
        if (auto* call = std::get_if<Call>(&effect)) answer(*call, before_page);
    }
  }
  /// Watch replies with more changes than this are dropped.
  void set_largest_reply(size_t changes) { largest_reply_ = changes; }
  const StateStoreClient& state_store() const { return state_store_; }
  const store::StateCache& state_cache() const { return state_cache_; }
  size_t pages() const { return pages_; }

 private:
  static constexpr double kStep = 0.05;

  static store::Settings settings() {
    store::Settings result;
    result.nodes = 3;
    result.heartbeat_interval_s = 2;
    result.lease_s = 14;
    result.cancel_s = 39;
    result.state_rps = result.state_write_rps = 1000;
    result.value_kb = 4;
    result.txn_ops = 8;
    return result;
  }

  void answer(const Call& call, const std::function<bool()>& before_page) {
    CallDone done{call.id, 200, {}};
    if (std::holds_alternative<Watch>(call.body)) {
      watch_ = call;
      answer_watch();
      return;
    }
    if (std::holds_alternative<ListKeys>(call.body)) {
      ++pages_;
      done = before_page() ? service_.answer(call, context_.now) : CallDone{call.id, 0, {}};
    } else {
      done = service_.answer(call, context_.now);
    }
    context_.on_call_done(std::move(done));
  }

  // Answers the open watch, if any. A watch with a hold time stays open until there is a change.
  void answer_watch() {
    if (!watch_) return;
    const auto& watch = std::get<Watch>(watch_->body);
    const auto changes = service_.changes_since(watch.since);
    if (changes && changes->events.empty() && watch.hold_s > 0) return;
    CallDone done{watch_->id, changes ? 200 : 410, {}};
    if (changes && changes->events.size() > largest_reply_) {
      done = CallDone{watch_->id, 0, {}, true};
    } else if (changes) {
      done.reply = *changes;
    }
    watch_.reset();
    context_.on_call_done(std::move(done));
  }

  FakeStateStore& service_;
  std::optional<Call> watch_;
  NoListener listener_;
  Context context_;
  store::StateCache state_cache_;
  StateStoreClient state_store_{context_, state_cache_};
  size_t pages_ = 0;
  size_t largest_reply_ = std::numeric_limits<size_t>::max();
};

store::Json machine_value(int number) {
  store::MachineRecord record;
  record.id = "n-" + std::to_string(100000 + number);
  record.type = "mid";
  record.zone = "a";
  record.shard = number % 3;
  return to_json(record);
}

std::string machine_name(int number) {
  return store::machine_key("n-" + std::to_string(100000 + number));
}

constexpr int kMachines = 4000;
constexpr size_t kChangesKept = 10000;  // as the protocol sets it

FakeStateStore service_with_machines(int machines = kMachines) {
  FakeStateStore service;
  service.set_history(kChangesKept);
  service.set_page(200);
  for (int i = 0; i < machines; ++i) service.preset(machine_name(i), machine_value(i));
  return service;
}

// Guards against a list that repeats for as long as the fleet is busy: more changes than the state
// store keeps happened while the keys of a large fleet were listed, so the first watch was answered
// with 410 and the keys were listed again.
TEST(ListAndWatch, MoreChangesThanAreKeptDuringAListDoNotRestartIt) {
  FakeStateStore service = service_with_machines();
  ListingClient client(service);
  int changed = 0;
  const auto change_machines = [&] {
    for (int i = 0; i < 700; ++i, ++changed)
      service.preset(machine_name(changed % kMachines), machine_value(changed + 1));
    return true;
  };
  client.run(8, change_machines);
  EXPECT_GT(changed, static_cast<int>(kChangesKept));
  EXPECT_TRUE(client.state_store().synced());
  EXPECT_LE(client.pages(), 21u);
  for (int i = 0; i < kMachines; ++i) {
    const auto* machine = client.state_cache().machine("n-" + std::to_string(100000 + i));
    ASSERT_NE(machine, nullptr) << i;
    ASSERT_EQ(to_json(machine->record), *service.value_of(machine_name(i))) << i;
  }
}

// Guards against a list that restarts after each unanswered page and never completes.
TEST(ListAndWatch, AnUnansweredPageIsRequestedAgain) {
  FakeStateStore service = service_with_machines();
  ListingClient client(service);
  int requested = 0;
  client.run(30, [&] { return ++requested % 5 != 0; });
  EXPECT_TRUE(client.state_store().synced());
  EXPECT_EQ(client.state_cache().present_machines().size(), static_cast<size_t>(kMachines));
  EXPECT_LE(client.pages(), 26u);
}

// A controller that was refused for a while missed more changes than it reads in one reply. It
// dropped the reply and watched from the same revision for ever, with a reply that only grew.
TEST(ListAndWatch, MoreChangesThanOneReplyMayHoldAreListed) {
  FakeStateStore service = service_with_machines();
  ListingClient client(service);
  constexpr size_t kLargestReply = 100;
  client.set_largest_reply(kLargestReply);
  const auto always_answer = [] { return true; };
  client.run(5, always_answer);
  ASSERT_TRUE(client.state_store().synced());
  for (size_t i = 0; i <= kLargestReply; ++i)
    service.preset(machine_name(static_cast<int>(i)), machine_value(1));
  client.run(10, always_answer);
  EXPECT_TRUE(client.state_store().synced());
  EXPECT_EQ(client.state_cache().revision(), service.revision());
}

// The same with drawn numbers of changes before, during and after the list.
RC_GTEST_PROP(ListAndWatch, HoweverManyChangesAReplyMayHoldAllAreRead, ()) {
  constexpr int kFewMachines = 300;
  FakeStateStore service = service_with_machines(kFewMachines);
  ListingClient client(service);
  client.set_largest_reply(*rc::gen::inRange<size_t>(1, 300));
  const auto changes_per_page = *rc::gen::inRange(0, 3);
  const auto bursts = *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 600));
  int changed = 0;
  const auto change_machines = [&](int count) {
    for (int i = 0; i < count; ++i, ++changed)
      service.preset(machine_name(changed % kFewMachines), machine_value(changed + 1));
    return true;
  };
  for (const int burst : bursts) {
    change_machines(burst);
    client.run(3, [&] { return change_machines(changes_per_page); });
  }
  client.run(10, [] { return true; });
  RC_ASSERT(client.state_store().synced());
  RC_ASSERT(client.state_cache().revision() == service.revision());
}

// The state store deletes keys when their lease expires. If it no longer keeps these changes, the
// client must remove the keys that are absent from the next list, but not a key that was written
// after the list had passed its position.
TEST(ListAndWatch, ExpiredKeysWhoseDeletionsWereNotSeenAreRemoved) {
  FakeStateStore service = service_with_machines();
  ListingClient client(service);
  const auto take_lease = [&](int shard) {
    const CallDone granted = service.answer(Call{1, 1, GrantLease{5}}, 0);
    Txn txn;
    txn.writes.push_back({store::shard_key(shard), to_json(store::LeaseHolderRecord{"other", "x"}),
                          std::get<LeaseReply>(granted.reply).lease});
    service.answer(Call{2, 1, txn}, 0);
  };
  const auto is_held = [&](int shard) {
    const auto* lease_holder = client.state_cache().lease_holder(store::shard_key(shard));
    return lease_holder && lease_holder->present;
  };
  const auto always_answer = [] { return true; };
  take_lease(1);
  client.run(5, always_answer);
  ASSERT_TRUE(client.state_store().synced());
  ASSERT_TRUE(is_held(1));
  service.expire_leases(100);
  for (size_t i = 0; i <= kChangesKept; ++i)
    service.preset(machine_name(0), machine_value(static_cast<int>(i)));
  client.run(5, always_answer);
  ASSERT_TRUE(client.state_store().synced());
  EXPECT_FALSE(is_held(1));
  take_lease(2);
  client.run(5, always_answer);
  EXPECT_TRUE(is_held(2));
}

}  // namespace
}  // namespace rushtrestle::testing
