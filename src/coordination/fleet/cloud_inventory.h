// Compares the machines that the cloud lists with the machine records: lists them page by page,
// adopts orphans (machines without a record) and marks failed machines for deletion. Owns the set
// of machines that the cloud has listed as running in this leadership. Run by the cluster leader,
// which plans only after one whole listing: an earlier plan might provision existing machines anew.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/fleet_record_writer.h"
#include "coordination/fleet/orphan_adoption.h"
#include "coordination/fleet/provisioner.h"
#include "coordination/fleet/unrecorded_machines.h"

namespace rushtrestle::coordination {

class CloudInventory {
 public:
  /// The arguments must outlive this object.
  CloudInventory(Context& context, const store::StateCache& state_cache,
                 const Membership& membership, FleetRecordWriter& records,
                 UnrecordedMachines& unrecorded, const Provisioner& provisioner,
                 TokenBucket& cloud_budget)
      : context_(context),
        state_cache_(state_cache),
        membership_(membership),
        records_(records),
        unrecorded_(unrecorded),
        provisioner_(provisioner),
        cloud_budget_(cloud_budget) {}

  /// Forgets all listings. Called at the start of a leadership.
  void reset();
  /// Begins a listing if one is due and the budget of cloud calls allows it.
  void tick();
  /// Steady time of the next listing, in seconds; kNoDueTime while a page is being fetched.
  double next_due() const {
    if (list_in_flight_) return kNoDueTime;
    return next_list_;
  }
  /// Returns whether all machines were listed at least once in this leadership.
  bool listed_once() const { return listed_once_; }
  /// Machines that the cloud has listed as running in this leadership.
  const std::set<std::string>& running() const { return running_; }
  void on_machine_deleted(const std::string& machine) { running_.erase(machine); }

 private:
  void list_page(const std::string& after);
  void on_page_listed(const CallDone& done);
  void compare_with_records(const std::vector<CloudMachine>& machines);
  void adopt(const CloudMachine& orphan, OrphanShardSelector& shard_selector);
  void mark_failed_for_deletion(const std::string& machine);

  Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  FleetRecordWriter& records_;
  UnrecordedMachines& unrecorded_;
  const Provisioner& provisioner_;
  TokenBucket& cloud_budget_;
  double next_list_ = 0;
  bool list_in_flight_ = false;
  bool listed_once_ = false;
  std::set<std::string> running_;
};

}  // namespace rushtrestle::coordination
