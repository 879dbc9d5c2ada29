// How a controller reads all keys of the state service while they change.
#include <gtest/gtest.h>

#include <deque>

#include "coordination/state_link.h"
#include "state_service.h"

namespace rushtrestle::testing {
namespace {

using namespace coordination;

struct NoListener : store::Model::Listener {
  void job_changed(const std::string&) override {}
  void machine_changed(const std::string&) override {}
  void holder_changed(const std::string&) override {}
};

/// A link to a state service that answers at once, one request after the other.
class SyncingLink {
 public:
  explicit SyncingLink(StateService& service)
      : service_(service), ctx_(settings(), {}, "incarnation", 1), model_(listener_) {
    link_.set_weight(1);
  }

  /// Lets `seconds` pass; `before_page` runs before each page is read and says whether it is answered.
  void run(double seconds, const std::function<bool()>& before_page) {
    const double until = ctx_.now + seconds;
    for (; ctx_.now < until; ctx_.now += kStep) {
      answer_watch();
      link_.tick();
      for (auto& effect : std::exchange(ctx_.out, {}))
        if (auto* call = std::get_if<Call>(&effect)) answer(*call, before_page);
    }
  }
  const StateLink& link() const { return link_; }
  const store::Model& model() const { return model_; }
  size_t pages() const { return pages_; }

 private:
  static constexpr double kStep = 0.05;

  static store::Settings settings() {
    store::Settings s;
    s.nodes = 3;
    s.report_s = 2;
    s.lease_s = 14;
    s.cancel_s = 39;
    s.state_rps = s.state_write_rps = 1000;
    s.value_kb = 4;
    s.txn_ops = 8;
    return s;
  }

  void answer(const Call& call, const std::function<bool()>& before_page) {
    CallDone done{call.id, 200, {}};
    if (std::holds_alternative<Watch>(call.body)) {
      watch_ = call;
      answer_watch();
      return;
    }
    if (std::holds_alternative<ReadPage>(call.body)) {
      ++pages_;
      done = before_page() ? service_.answer(call, ctx_.now) : CallDone{call.id, 0, {}};
    } else {
      done = service_.answer(call, ctx_.now);
    }
    ctx_.returned(std::move(done));
  }

  // A watch waits for a change.
  void answer_watch() {
    if (!watch_) return;
    const auto& watch = std::get<Watch>(watch_->body);
    const auto changes = service_.changes_since(watch.since);
    if (changes && changes->events.empty() && watch.hold_s > 0) return;
    CallDone done{watch_->id, changes ? 200 : 410, {}};
    if (changes) done.reply = *changes;
    watch_.reset();
    ctx_.returned(std::move(done));
  }

  StateService& service_;
  std::optional<Call> watch_;
  NoListener listener_;
  Context ctx_;
  store::Model model_;
  StateLink link_{ctx_, model_};
  size_t pages_ = 0;
};

store::Json machine_value(int number) {
  store::MachineRecord r;
  r.id = "n-" + std::to_string(100000 + number);
  r.type = "mid";
  r.zone = "a";
  r.part = number % 3;
  return to_json(r);
}

std::string machine_name(int number) { return store::machine_key("n-" + std::to_string(100000 + number)); }

constexpr int kMachines = 4000;
constexpr size_t kChangesKept = 10000;  // by the protocol

StateService service_with_machines() {
  StateService service;
  service.set_history(kChangesKept);
  service.set_page(200);
  for (int i = 0; i < kMachines; ++i) service.preset(machine_name(i), machine_value(i));
  return service;
}

// While all keys of a large fleet were read, more changes happened than the service keeps: the first watch was answered
// with 410, the keys were read again, and so on for as long as the fleet was busy.
TEST(StateSync, MoreChangesThanAreKeptDuringTheReadDontBeginItAnew) {
  StateService service = service_with_machines();
  SyncingLink link(service);
  int changed = 0;
  const auto busy = [&] {
    for (int i = 0; i < 700; ++i, ++changed) service.preset(machine_name(changed % kMachines), machine_value(changed + 1));
    return true;
  };
  link.run(8, busy);
  EXPECT_GT(changed, static_cast<int>(kChangesKept));
  EXPECT_TRUE(link.link().synced());
  EXPECT_LE(link.pages(), 21u);
  for (int i = 0; i < kMachines; ++i) {
    const auto* machine = link.model().machine("n-" + std::to_string(100000 + i));
    ASSERT_NE(machine, nullptr) << i;
    ASSERT_EQ(to_json(machine->record), *service.value_of(machine_name(i))) << i;
  }
}

// A read that began anew for each page without an answer never came to its end.
TEST(StateSync, APageWithoutAnAnswerIsAskedForAgain) {
  StateService service = service_with_machines();
  SyncingLink link(service);
  int asked = 0;
  link.run(30, [&] { return ++asked % 5 != 0; });
  EXPECT_TRUE(link.link().synced());
  EXPECT_EQ(link.model().present_machines().size(), static_cast<size_t>(kMachines));
  EXPECT_LE(link.pages(), 26u);
}

// Keys vanish with their lease. Where the changes that tell of it are kept no more, the next read of all keys shows it by
// their absence; what it passed before they were there is no absence.
TEST(StateSync, LeasedKeysThatVanishedUnseenAreNotHeldToBeThere) {
  StateService service = service_with_machines();
  SyncingLink link(service);
  const auto hold = [&](int part) {
    const CallDone granted = service.answer(Call{1, 1, GrantLease{5}}, 0);
    Txn txn;
    txn.writes.push_back(
        {store::part_key(part), to_json(store::HolderRecord{"other", "x"}), std::get<LeaseReply>(granted.reply).lease});
    service.answer(Call{2, 1, txn}, 0);
  };
  const auto held = [&](int part) {
    const auto* holder = link.model().holder(store::part_key(part));
    return holder && holder->present;
  };
  const auto answered = [] { return true; };
  hold(1);
  link.run(5, answered);
  ASSERT_TRUE(link.link().synced());
  ASSERT_TRUE(held(1));
  service.expire_leases(100);
  for (size_t i = 0; i <= kChangesKept; ++i) service.preset(machine_name(0), machine_value(static_cast<int>(i)));
  link.run(5, answered);
  ASSERT_TRUE(link.link().synced());
  EXPECT_FALSE(held(1));
  hold(2);
  link.run(5, answered);
  EXPECT_TRUE(held(2));
}

}  // namespace
}  // namespace rushtrestle::testing
