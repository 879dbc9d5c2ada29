// Provisions machines at the cloud (scale out): turns the shortages of a plan into requests, sends
// each until it is answered, and remembers which kinds of machines are not to be had. Invariants: a
// request is repeated under its own name, so that the cloud carries it out at most once; while a
// kind has an unanswered request, no other plan asks for it. Run by the cluster leader.
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

  /// At the start of a leadership: requests of an earlier one are another leader's, whose listing
  /// brings their machines; nothing is known to be unavailable.
  void reset();
  /// Repeats the requests that got no answer, as far as the cloud's budget allows.
  void tick();
  /// Steady time of the next repetition.
  double next_due() const;
  /// Asks for what the shards lack and no unused machine of another shard provides.
  void provision(std::vector<MachineShortage> shortages, std::vector<std::string> unused);
  /// An answer that names machines may be under way.
  bool request_in_flight() const;
  /// Adds what is requested and what is not to be had.
  void describe(CloudOutlook& outlook) const;
  /// What we gave back can be had again.
  void on_machine_deleted(const MachineKind& kind) { unavailable_kinds_.erase(kind); }

 private:
  struct Request {
    MachineKind kind;
    std::vector<int> shards;  // one entry a machine: where it goes, the most urgent first
    std::string name;
    double next_try = 0;
    bool in_flight = false;
  };
  /// All machines of a kind that a plan asks for, one entry a machine: where it goes.
  struct Order {
    MachineKind kind;
    store::Rank rank = store::Rank::low;  // of the most important work that waits for them
    std::vector<int> urgent;
    std::vector<int> expected;
  };
  struct Unavailability {
    double until = 0;
    double pause_s = 0;
  };

  static Order divide_in_turns(const MachineKind& kind,
                               const std::vector<MachineShortage*>& shortages);
  bool has_request(const MachineKind& kind) const;
  std::vector<Order> orders_for(std::vector<MachineShortage> shortages,
                                std::vector<std::string> unused) const;
  void place_orders(const std::vector<Order>& orders);
  void send(Request& request);
  void on_answer(const CallDone& done, const std::string& request_name);
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
