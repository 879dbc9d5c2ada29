// Answers workers' heartbeats: those of machines of our shards by reconciling them, others by
// forwarding them or by naming the controller that leads their shard.
//
// Invariant: an answer renews the worker's lease only if Membership::may_renew_workers (or, without
// the state store, may_renew_while_disconnected) holds, and then carries a stop for each cancelled
// task that the worker reports.
#pragma once
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

  void handle_heartbeat(RequestId request, Heartbeat&& heartbeat);
  /// One that a worker sent to another controller, which can't answer it.
  void handle_forwarded_heartbeat(RequestId request, const Heartbeat& heartbeat);
  /// Machines that sent heartbeats here lately though another controller leads their shard.
  std::vector<std::string> machines_heard_of_other_shards() const;
  /// Forgets what was heard a lease ago.
  void forget_old();

 private:
  HeartbeatResponse respond(const Heartbeat& heartbeat, bool forwarded);
  bool forward(RequestId request, Heartbeat& heartbeat);
  bool keep_alive(RequestId request, const Heartbeat& heartbeat);
  std::vector<WorkerCommand> stops_of_cancelled(const Heartbeat& heartbeat) const;

  Context& context_;
  store::StateCache& state_cache_;
  const StateStoreClient& state_store_;
  const Membership& membership_;
  ShardState& state_;
  DispatchQueue& dispatch_queue_;
  HeartbeatIntake& intake_;
  TaskReconciler& reconciler_;
  std::unordered_map<std::string, double> last_heard_at_;     // by machine
  std::unordered_map<std::string, double> forwarding_since_;  // by machine
  size_t forwards_in_flight_ = 0;
};

}  // namespace rushtrestle::coordination
