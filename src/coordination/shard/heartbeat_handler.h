// Answers workers' heartbeats: those of machines of our shards by reconciling them, others by
// forwarding them or by naming the controller that leads their shard.
//
// Invariant: an answer renews the worker's lease only if Membership::may_renew_workers (or, without
// the state store, may_renew_while_disconnected) holds, and then carries a stop for each cancelled
// task that the worker reports. Called by the core for each heartbeat.
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
                   TaskReconciler& reconciler)
      : context_(context),
        state_cache_(state_cache),
        state_store_(state_store),
        membership_(membership),
        state_(state),
        dispatch_queue_(dispatch_queue),
        intake_(intake),
        reconciler_(reconciler) {}

  /// One that a worker sent here. It is answered with AnswerHeartbeat, now or when the shard leader
  /// has answered.
  void handle_heartbeat(RequestId request, Heartbeat&& heartbeat);
  /// One that a worker sent to another controller, which does not lead the machine's shard. It is
  /// answered with AnswerForwardedHeartbeat.
  void handle_forwarded_heartbeat(RequestId request, const Heartbeat& heartbeat);
  /// Machines that sent heartbeats here lately though another controller leads their shard.
  std::vector<std::string> machines_heard_of_other_shards() const;
  /// Forgets what was heard a lease ago.
  void forget_old();

 private:
  enum class HeartbeatSource { worker, other_controller };

  void answer(RequestId request, HeartbeatResponse&& response);
  HeartbeatResponse respond(const Heartbeat& heartbeat, HeartbeatSource source);
  std::vector<WorkerCommand> apply_and_reconcile(ShardMachine& machine, const Heartbeat& heartbeat,
                                                 HeartbeatSource source);
  /// True: answered, or forwarded to the shard leader, with whose answer it is answered later; only
  /// then the heartbeat may be moved from. False: to be answered here.
  bool forward(RequestId request, Heartbeat& heartbeat);
  uint64_t leaders_token(int shard, const std::string& machine) const;
  bool redirect_to_relay_peer(RequestId request, const Heartbeat& heartbeat,
                              const std::string& shard_leader);
  void send_to_leader(RequestId request, Heartbeat&& heartbeat, const std::string& address);
  bool keep_alive(RequestId request, const Heartbeat& heartbeat);
  HeartbeatResponse renew_under_own_token(const Heartbeat& heartbeat) const;
  std::vector<WorkerCommand> stops_of_cancelled(const Heartbeat& heartbeat) const;

  Context& context_;
  store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
  const Membership& membership_;
  ShardState& state_;
  DispatchQueue& dispatch_queue_;
  HeartbeatIntake& intake_;
  TaskReconciler& reconciler_;
  /// By machine, of whichever shard.
  std::unordered_map<std::string, double> last_heard_at_;
  /// By machine, of shards that other controllers lead.
  std::unordered_map<std::string, double> forwarding_since_;
  size_t forwards_in_flight_ = 0;
};

}  // namespace rushtrestle::coordination
