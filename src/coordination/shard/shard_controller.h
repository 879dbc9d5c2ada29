// Leads shards: loads a shard's jobs and machines when the shard is acquired, drops them when it is
// lost, and connects the modules that place tasks, command workers and check machines.
#pragma once
#include <string>
#include <vector>

#include "coordination/preemption/requeue_action.h"
#include "coordination/shard/command_dispatcher.h"
#include "coordination/shard/heartbeat_handler.h"
#include "coordination/shard/machine_health.h"
#include "coordination/shard/reassignment_responder.h"

namespace rushtrestle::coordination {

/// Owns the shard modules, passes events to them, and runs their periodic work.
class ShardController {
 public:
  ShardController(Context& context, store::StateCache& state_cache, StateStoreClient& state_store,
                  Membership& membership, ImageCaches& images,
                  const ArrivalForecast& arrival_forecast);

  void on_shard_acquired(int shard);
  void on_shard_lost(int shard);
  void on_job_changed(const std::string& id);
  void on_machine_changed(const std::string& id);
  HeartbeatHandler& heartbeats() { return heartbeats_; }
  const HeartbeatHandler& heartbeats() const { return heartbeats_; }
  /// Runs the periodic checks of machines and scans for requeues that are due.
  void tick();
  /// Returns the steady time in seconds at which `tick` or `work` next has something to do, even if
  /// no event arrives. A time in the past means at once.
  double next_due() const;
  /// Schedules pending jobs and sends due commands. Called at the end of each batch of events.
  void work();
  /// Returns the shards' part of `/stats`.
  store::Json stats();

 private:
  void adopt_job(const std::string& id, const store::JobRecord& record);
  void record_image_uses(const store::JobRecord& record);
  void apply_cancellation(ShardJob& job, const store::JobRecord& durable);
  void on_machine_deleted(const std::string& id);
  void check_machines();

  Context& context_;
  store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  Membership& membership_;
  ImageCaches& images_;
  DispatchQueue dispatch_queue_;
  ShardState state_;
  JobRecordWriter job_writer_;
  MachineRecordWriter machine_writer_;
  FailureTracker failures_;
  StartFence start_fence_;
  TaskReconciler reconciler_;
  HeartbeatIntake intake_;
  HeartbeatHandler heartbeats_;
  CommandDispatcher dispatcher_;
  MachineHealth health_;
  ReassignmentResponder reassignment_;
  PreemptorReservations preemptor_reservations_;
  Scheduler scheduler_;
  RequeueAction requeue_;
  double next_schedule_ = 0;
  double next_scan_ = 0;
  double next_health_check_ = 0;
};

}  // namespace rushtrestle::coordination
