// Provisions machines at the cloud (scale out): turns the shortages of a plan into requests,
// resends each until it is answered, and remembers which kinds of machines are unavailable.
// Invariants: a request is resent with the same idempotency key, so that the cloud carries it out
// at most once; while a kind has an unanswered request, no later plan requests it. Run by the
// cluster leader.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "coordination/fleet/capacity_plan.h"
#include "coordination/fleet/unrecorded_machines.h"

namespace rushtrestle::coordination {

class Provisioner {
 public:
  /// The arguments must outlive this object.
  Provisioner(Context& context, const store::StateCache& state_cache, const Membership& membership,
              UnrecordedMachines& unrecorded, TokenBucket& cloud_budget)
      : context_(context),
        state_cache_(state_cache),
        membership_(membership),
        unrecorded_(unrecorded),
        cloud_budget_(cloud_budget) {}

  /// Forgets all requests and unavailable kinds. Called at the start of a leadership: another
  /// controller may have led since the requests, and machines that they created are found by
  /// listing the cloud's machines.
  void reset();
  /// Resends the unanswered requests that are due, as far as the budget of cloud calls allows.
  void tick();
  /// Steady time, in seconds, at which the next unanswered request is resent.
  double next_due() const;
  /// Requests the machines that shards lack, except those that unused machines of other shards can
  /// provide.
  void provision(std::vector<MachineShortage> shortages, std::vector<std::string> unused);
  /// Returns whether a request is in flight, whose reply may name new machines.
  bool request_in_flight() const;
  /// Adds the requested machines and the unavailable kinds to `cloud_view`.
  void add_to(CloudView& cloud_view) const;
  /// Marks the kind as available again: the cloud can provide the deleted machine anew.
  void on_machine_deleted(const MachineKind& kind) { unavailable_kinds_.erase(kind); }

 private:
  struct Request {
    MachineKind kind;
    std::vector<int> shards;  // one entry per machine: the shard that gets it, most urgent first
    std::string idempotency_key;
    double next_attempt = 0;  // steady time, in seconds
    bool in_flight = false;
  };
  /// All machines of a kind that a plan asks for. The vectors have one entry per machine: the shard
  /// that gets it.
  struct Order {
    MachineKind kind;
    store::Rank rank = store::Rank::low;  // the highest among work that waits for these machines
    std::vector<int> urgent;              // for work that waits
    std::vector<int> expected;            // for work that is expected
  };
  struct Unavailability {
    double until = 0;  // steady time, in seconds
    double backoff_s = 0;
  };

  static Order divide_round_robin(const MachineKind& kind,
                                  const std::vector<MachineShortage*>& shortages);
  bool has_request(const MachineKind& kind) const;
  std::vector<Order> orders_for(std::vector<MachineShortage> shortages,
                                std::vector<std::string> unused) const;
  void place_orders(const std::vector<Order>& orders);
  void send(Request& request);
  void on_answer(const CallDone& done, const std::string& idempotency_key);
  void on_provisioned(const Request& request, const std::vector<std::string>& machines);
  void on_kind_unavailable(const MachineKind& kind);

  Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  UnrecordedMachines& unrecorded_;
  TokenBucket& cloud_budget_;
  uint64_t requests_made_ = 0;
  std::vector<Request> requests_;
  std::map<MachineKind, Unavailability> unavailable_kinds_;
};

}  // namespace rushtrestle::coordination
