// The leader: rents and returns machines, deals them among the parts.
#pragma once
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/capacity_planner.h"
#include "coordination/consolidator.h"

namespace rushtrestle::coordination {

class Leader {
 public:
  Leader(Context& ctx, store::Model& model, StateLink& link, Membership& members, const ImageCaches& images,
         const Demand& demand)
      : ctx_(ctx),
        model_(model),
        link_(link),
        members_(members),
        demand_(demand),
        consolidator_(ctx, model, members, images) {}

  void tick();
  /// When `tick` has something to do by the clock alone; a time that has passed: as soon as the cloud's budget allows.
  double next_due() const;

 private:
  struct Rental {
    MachineKind kind;
    std::vector<int> parts;  // one entry a machine: where it goes, the most urgent first
    std::string request;
    double next_try = 0;
    bool in_flight = false;
  };
  /// What parts could give to teams within their guarantees.
  struct Lending {
    struct Load {
      int tasks = 0;
      bool pinned = false;  // holds work that may not be stopped
    };
    std::map<std::string, Load> loads;           // by machine
    std::map<int, double> capacity, guaranteed;  // CPUs by part
    std::set<int> lenders;                       // parts with a team beyond its guarantee
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
  void delete_doomed();
  void plan();
  CloudOutlook outlook() const;
  void share_unused(CapacityPlan& plan);
  void consolidate(const CapacityPlan& planned);
  void return_idle(const CapacityPlan& plan);
  Lending lending() const;
  const store::MachineRecord* machine_to_reclaim(const UnmetDemand& u, Lending& l) const;
  void reclaim(const std::vector<UnmetDemand>& unmet);
  void rent(std::vector<MachineWant> wants, std::vector<std::string> unused);
  void send_rental(Rental& r);
  void refused(const MachineKind& kind);
  void record_machine(const store::MachineRecord& r);
  void offer(const std::string& machine, int next_part, bool drain = false);
  bool preemptible(const store::JobSpec& spec) const;
  bool cloud_ready();

  Context& ctx_;
  store::Model& model_;
  StateLink& link_;
  Membership& members_;
  const Demand& demand_;
  Consolidator consolidator_;
  bool leading_ = false;
  int next_consolidated_ = 0;  // the part whose turn it is
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
  std::vector<Rental> rentals_;
  std::map<std::string, store::MachineRecord> fresh_;  // rented, record not durable yet
  std::set<std::string> up_;                           // listed as running since we lead
  std::map<MachineKind, Refused> refused_;
  std::map<std::string, double> idle_since_;
  std::map<std::string, double> offered_at_;
  std::set<std::string> deleted_;
};

}  // namespace rushtrestle::coordination
