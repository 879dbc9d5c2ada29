// The cluster leader's tick: detects the start of a leadership and runs the modules of fleet
// management in a fixed order while it lasts. Owns the budget of cloud calls, which these modules
// share, and the times of the next plan and of the next reassignment of unused machines to other
// shards. Invariant: nothing is done while this controller does not lead or is disconnected from
// the state store. Called by the core.
#pragma once
#include "coordination/fleet/cloud_inventory.h"
#include "coordination/fleet/consolidation_rounds.h"
#include "coordination/fleet/fair_share_reclaim.h"
#include "coordination/fleet/fleet_record_writer.h"
#include "coordination/fleet/machine_deletion.h"
#include "coordination/fleet/machine_reassignment.h"
#include "coordination/fleet/provisioner.h"
#include "coordination/fleet/record_format_marker.h"
#include "coordination/fleet/type_catalogue.h"
#include "coordination/fleet/unrecorded_machines.h"

namespace rushtrestle::coordination {

class ClusterLeader {
 public:
  /// The arguments must outlive this object.
  ClusterLeader(Context& context, store::StateCache& state_cache, StateStoreClient& state_store,
                Membership& membership, const ImageCaches& images,
                const ArrivalForecast& arrival_forecast);
  // Not copyable: the modules hold references to each other.
  ClusterLeader(const ClusterLeader&) = delete;
  ClusterLeader& operator=(const ClusterLeader&) = delete;

  void tick();
  /// Steady time, in seconds, at which `tick` next has work that only the clock triggers. A time in
  /// the past means: as soon as the budget of cloud calls allows it.
  double next_due() const;

 private:
  void on_leadership_gained();
  void on_machine_deleted(const std::string& machine);
  void plan();
  CloudView cloud_view() const;
  bool led_for_one_lease() const {
    return context_.now - leader_since_ > context_.settings.lease_s;
  }

  Context& context_;
  const store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
  const ArrivalForecast& arrival_forecast_;
  TokenBucket cloud_budget_;
  FleetRecordWriter machine_records_;
  UnrecordedMachines unrecorded_;
  RecordFormatMarker record_format_marker_;
  TypeCatalogue type_catalogue_;
  Provisioner provisioner_;
  CloudInventory inventory_;
  MachineDeletion deletion_;
  MachineReassignment reassignment_;
  FairShareReclaim reclaim_;
  ConsolidationRounds consolidation_;
  bool leading_ = false;
  double leader_since_ = 0;
  double next_plan_ = 0;
  double next_reassignment_ = 0;
};

}  // namespace rushtrestle::coordination
