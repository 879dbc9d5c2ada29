// Answers workers' heartbeats. A heartbeat from a machine of a shard that this controller leads is
// reconciled; any other is forwarded to the shard leader, or its worker is redirected.
//
// Invariant: an answer renews the worker's lease only if Membership::may_renew_workers (or, without
// the state store, may_renew_while_disconnected) and the StartFence allow it, and then carries a
// stop for each cancelled task that the worker reports. Called by Core for each heartbeat.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/shard/heartbeat_intake.h"
#include "coordination/shard/task_reconciler.h"

namespace rushtrestle::coordination {

class HeartbeatHandler {
 public:
  HeartbeatHandler(Context& context, store::StateCache& state_cache,
                   const StateStoreClient& state_store, const Membership& membership,
                   ShardState& state, DispatchQueue& dispatch_queue, HeartbeatIntake& intake,
                   TaskReconciler& reconciler, const StartFence& start_fence)
      : context_(context),
        state_cache_(state_cache),
        state_store_(state_store),
        membership_(membership),
        state_(state),
        dispatch_queue_(dispatch_queue),
        intake_(intake),
        reconciler_(reconciler),
        start_fence_(start_fence) {}

  /// Handles a heartbeat that a worker sent to this controller. It is answered with
  /// AnswerHeartbeat, at once or when the shard leader has answered.
  void handle_heartbeat(RequestId request, Heartbeat&& heartbeat);
  /// Handles a heartbeat that a worker sent to another controller, which does not lead the
  /// machine's shard. It is answered with AnswerForwardedHeartbeat.
  void handle_forwarded_heartbeat(RequestId request, const Heartbeat& heartbeat);
  /// Returns the machines that sent heartbeats here in the last `probe_after_s` seconds although
  /// this controller does not lead their shard.
  std::vector<std::string> recent_machines_of_other_shards() const;
  /// Removes entries of machines whose last heartbeat here is more than a worker lease old.
  void remove_expired_entries();

 private:
  enum class HeartbeatSource { worker, other_controller };

  void answer(RequestId request, HeartbeatResponse&& response);
  HeartbeatResponse respond(const Heartbeat& heartbeat, HeartbeatSource source);
  std::vector<WorkerCommand> apply_and_reconcile(ShardMachine& machine, const Heartbeat& heartbeat,
                                                 HeartbeatSource source);
  /// Returns true if the heartbeat was answered, or forwarded to the shard leader, whose answer is
  /// passed on later; only then may the heartbeat be moved from. False: the caller answers it.
  bool forward(RequestId request, Heartbeat& heartbeat);
  bool turns_to_shard_leader(const Heartbeat& heartbeat, int shard,
                             const std::string& shard_leader) const;
  bool redirect_to_relay_peer(RequestId request, const Heartbeat& heartbeat,
                              const std::string& shard_leader);
  void send_to_leader(RequestId request, Heartbeat&& heartbeat, const std::string& address);
  bool renew_while_disconnected(RequestId request, const Heartbeat& heartbeat);
  HeartbeatResponse renew_under_worker_token(const Heartbeat& heartbeat);
  HeartbeatResponse renew_without_keys(const Heartbeat& heartbeat, HeartbeatSource source);
  HeartbeatResponse withhold_renewal(const Heartbeat& heartbeat);
  std::vector<WorkerCommand> stops_for_cancelled_tasks(const Heartbeat& heartbeat) const;

  Context& context_;
  store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
  const Membership& membership_;
  ShardState& state_;
  DispatchQueue& dispatch_queue_;
  HeartbeatIntake& intake_;
  TaskReconciler& reconciler_;
  const StartFence& start_fence_;
  /// Steady time, in seconds, of the last heartbeat sent here, by machine of any shard.
  std::unordered_map<std::string, double> last_heard_at_;
  /// Steady time, in seconds, since which heartbeats are forwarded, by machine; only machines of
  /// shards that other controllers lead.
  std::unordered_map<std::string, double> forwarding_since_;
  size_t forwards_in_flight_ = 0;
};

}  // namespace rushtrestle::coordination
