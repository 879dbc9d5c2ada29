// Deletes terminating machines at the cloud and records each as deleted. Invariant: the deletion of
// a machine is requested until the cloud confirms it, and again if the record could not be written.
// Run by the cluster leader.
#pragma once
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/fleet/fleet_record_writer.h"

namespace rushtrestle::coordination {

class MachineDeletion {
 public:
  /// The arguments must outlive this object. `on_deleted` is called with a machine's id when the
  /// cloud has confirmed the machine's deletion, before its record changes.
  MachineDeletion(Context& context, const store::StateCache& state_cache,
                  FleetRecordWriter& records, TokenBucket& cloud_budget,
                  std::function<void(const std::string& machine)> on_deleted)
      : context_(context),
        state_cache_(state_cache),
        records_(records),
        cloud_budget_(cloud_budget),
        on_deleted_(std::move(on_deleted)) {}

  /// Forgets all requests and confirmed deletions. Called at the start of a leadership.
  void reset();
  /// Sends a deletion request if one is due and the budget of cloud calls allows it.
  void tick();
  /// Steady time, in seconds, of the next search for terminating machines; kNoDueTime while a
  /// request is in flight.
  double next_due() const {
    if (request_in_flight_) return kNoDueTime;
    return next_request_;
  }

 private:
  std::vector<std::string> machines_to_delete() const;
  void delete_terminating();
  void on_answer(const CallDone& done, const std::vector<std::string>& machines);
  void record_deleted(const std::string& machine);

  Context& context_;
  const store::StateCache& state_cache_;
  FleetRecordWriter& records_;
  TokenBucket& cloud_budget_;
  std::function<void(const std::string& machine)> on_deleted_;
  double next_request_ = 0;
  bool request_in_flight_ = false;
  std::set<std::string> confirmed_;  // machines whose deletion the cloud has confirmed
};

}  // namespace rushtrestle::coordination
