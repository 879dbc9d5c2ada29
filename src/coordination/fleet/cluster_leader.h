// The cluster leader: provisions and returns machines, deals them among the shards.
#pragma once
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/capacity_planner.h"
#include "coordination/fleet/consolidator.h"

namespace rushtrestle::coordination {

class ClusterLeader {
 public:
  ClusterLeader(Context& context, store::StateCache& state_cache, StateStoreClient& state_store,
                Membership& membership, const ImageCaches& images, const ArrivalForecast& demand)
      : context_(context),
        state_cache_(state_cache),
        state_store_(state_store),
        membership_(membership),
        arrival_forecast_(demand),
        consolidator_(context, state_cache, membership, images) {}

  void tick();
  /// When `tick` has something to do by the clock alone; a time that has passed: as soon as the
  /// cloud's budget allows.
  double next_due() const;

 private:
  struct ProvisioningRequest {
    MachineKind kind;
    std::vector<int> shards;  // one entry a machine: where it goes, the most urgent first
    std::string request;
    double next_try = 0;
    bool in_flight = false;
  };
  /// What shards could give to teams within their guarantees.
  struct ReclaimableCapacity {
    struct Load {
      int tasks = 0;
      bool pinned = false;  // holds work that may not be stopped
    };
    std::map<std::string, Load> loads;           // by machine
    std::map<int, double> capacity, guaranteed;  // CPUs by part
    std::set<int> lenders;                       // shards with a team beyond its guarantee
    std::set<std::string> taken;                 // machines, in this round
  };
  struct Refused {
    double until = 0;
    double pause = 0;
  };
  void reset();
  void record_format();
  void fetch_types();
  void list(const std::string& after);
  void listed(const std::vector<CloudMachine>& machines);
  void delete_terminating();
  void plan();
  CloudOutlook outlook() const;
  void reassign_unused(CapacityPlan& plan);
  void consolidate(const CapacityPlan& planned);
  void scale_in_idle(const CapacityPlan& plan);
  ReclaimableCapacity reclaimable_capacity() const;
  const store::MachineRecord* machine_to_reclaim(const UnmetDemand& u,
                                                 ReclaimableCapacity& l) const;
  void reclaim(const std::vector<UnmetDemand>& unmet);
  void provision(std::vector<MachineWant> wants, std::vector<std::string> unused);
  void send_provisioning_request(ProvisioningRequest& r);
  void on_kind_unavailable(const MachineKind& kind);
  void record_machine(const store::MachineRecord& r);
  void request_reassignment(const std::string& machine, int next_shard, bool drain = false);
  bool preemptible(const store::JobSpec& spec) const;
  bool cloud_ready();

  Context& context_;
  store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  Membership& membership_;
  const ArrivalForecast& arrival_forecast_;
  Consolidator consolidator_;
  bool leading_ = false;
  int next_consolidated_ = 0;  // the shard whose turn it is
  double led_since_ = 0;
  double next_types_ = 0;
  double next_list_ = 0;
  double next_plan_ = 0;
  double next_delete_ = 0;
  double next_share_ = 0;
  double next_consolidation_ = 0;
  bool fetching_types_ = false;
  bool recording_format_ = false;
  bool listing_ = false;
  bool deleting_ = false;
  bool listed_once_ = false;
  TokenBucket cloud_budget_;
  uint64_t requests_ = 0;
  std::vector<store::MachineType> prices_;
  std::vector<ProvisioningRequest> provisioning_requests_;
  std::map<std::string, store::MachineRecord>
      unrecorded_machines_;   // rented, record not durable yet
  std::set<std::string> up_;  // listed as running since we lead
  std::map<MachineKind, Refused> unavailable_kinds_;
  std::map<std::string, double> idle_since_;
  std::map<std::string, double> reassignment_requested_at_;
  std::set<std::string> deleted_;
};

}  // namespace rushtrestle::coordination
