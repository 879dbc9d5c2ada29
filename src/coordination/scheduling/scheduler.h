// Decides which waiting job gets room next, and where, in the shards that this controller leads.
#pragma once
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/scheduling/arrival_forecast.h"
#include "coordination/scheduling/gang_reservation.h"
#include "coordination/scheduling/preemptor_reservations.h"
#include "coordination/shard/failure_tracker.h"
#include "coordination/shard/job_record_writer.h"

namespace rushtrestle::coordination {

/// Where the tasks of a job would go: machine and room, an entry a task.
using PlannedRoom = std::vector<std::pair<std::string, store::Resources>>;

class Scheduler {
 public:
  Scheduler(Context& context, store::StateCache& state_cache, ShardState& state,
            JobRecordWriter& job_writer, const FailureTracker& failures, ImageCaches& images,
            const ArrivalForecast& arrival_forecast, PreemptorReservations& preemptor_reservations)
      : context_(context),
        state_cache_(state_cache),
        state_(state),
        job_writer_(job_writer),
        failures_(failures),
        images_(images),
        arrival_forecast_(arrival_forecast),
        preemptor_reservations_(preemptor_reservations) {}

  /// Places what waits in the shard as far as there is room.
  void schedule(int shard);

  // For the requeue action, which tries evictions on the same picture of the machines:
  /// Jobs of the shard that wait for room, in the order in which they are served.
  std::vector<ShardJob*> scheduling_queue(int shard);
  /// Machines of the shard that take work now, with their free room.
  std::vector<Slot> slots(int shard) const;
  /// Jobs of the same placement class fit or don't fit alike. Empty: this one is like no other.
  std::string placement_class_of(ShardJob& job) const;
  /// Does all that the job lacks fit into these slots? Says where in `used`.
  bool fits_whole(const ShardJob& job, std::vector<Slot>& slots, PlannedRoom* used) const;

 private:
  Fit placement_request_for(const ShardJob& job) const;
  Slot* select_slot_for(const ShardJob& job, const ZoneCounts& zones,
                        std::vector<Slot>& slots) const;
  bool fits_whole_beside(const ShardJob& job, ZoneCounts zones, std::vector<Slot>& slots,
                         PlannedRoom* used) const;
  void set_headroom_for_arrivals(int shard, const std::vector<ShardJob*>& waiting);
  int queue_group(const store::JobRecord& record) const;
  ZoneCounts zones_of(const store::JobRecord& record) const;
  bool within_quota(const std::string& team, const store::Resources& more) const;
  uint32_t placement_room(const store::JobRecord& record) const;
  size_t most_new_machines() const {
    return static_cast<size_t>(std::max(1, context_.settings.txn_ops * 4 - 2));
  }
  uint32_t next_pending(const store::JobRecord& record, uint32_t from) const;
  size_t longest_machine_id() const;
  void serve_in_turn(const std::vector<ShardJob*>& jobs, std::vector<Slot>& open_slots);
  void set_expected_room_aside(int shard, std::vector<Slot>& open_slots) const;
  void schedule_job(ShardJob& job, std::vector<Slot>& open_slots,
                    std::set<std::string>& without_room);
  double team_load(const std::string& team);
  bool place_gang(const std::string& id, ShardJob& job, std::vector<Slot>& slots);
  bool all_gathering(const ShardJob& job);
  const GangReservation* reservation_against(const ShardJob& job) const;
  void reserve_for_gang(const ShardJob& job);
  bool gang_within_quota(const ShardJob& job) const;
  void end_gang_reservation(int shard);
  PlannedRoom room_for_gang(const ShardJob& job, uint32_t need, std::vector<Slot>& slots) const;
  bool place_some(const std::string& id, ShardJob& job, std::vector<Slot>& slots, bool& no_room);

  Context& context_;
  store::StateCache& state_cache_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  const FailureTracker& failures_;
  ImageCaches& images_;
  const ArrivalForecast& arrival_forecast_;
  PreemptorReservations& preemptor_reservations_;
  std::map<int, GangReservation> gang_reservations_;  // by shard
  std::map<int, double> next_gang_reservation_;       // by shard
  // Of the pass that is under way:
  double cpu_per_gpu_ = 0;
  size_t longest_machine_id_ = 0;
  CapacityHeadroom headroom_;
  bool production_waits_ = false;
};

}  // namespace rushtrestle::coordination
