// The core's inputs (commands) and outputs (effects) as plain types. Only `protocol` knows the
// names on the wire. The order of the variants' alternatives is part of the JSON form that the
// tests share with earlier versions, so new alternatives go to the end.
#pragma once
#include <string>
#include <variant>

#include "coordination/runtime/cloud_messages.h"
#include "coordination/runtime/peer_messages.h"
#include "coordination/runtime/state_store_messages.h"
#include "coordination/runtime/user_messages.h"
#include "coordination/runtime/worker_messages.h"

namespace rushtrestle::coordination {

using Reply = std::variant<std::monostate, TxnReply, KeyReply, ListKeysReply, LeaseReply,
                           WatchReply, MachineTypesReply, ProvisionReply, ListMachinesReply,
                           Heartbeat, PeerState, HeartbeatResponse>;

/// Reports the result of a call. Status 0: no reply came or a 2xx reply was unreadable, and the
/// outcome is unknown.
struct CallDone {
  CallId call = 0;
  int status = 0;
  Reply reply;
  /// With status 0: a reply came, but its body exceeds what a controller reads, and was dropped.
  bool reply_too_large = false;
};

/// Runs the timed work of the core; carries nothing else.
struct Tick {};

using Command =
    std::variant<SubmitJob, QueryJob, CancelJob, CheckHealth, ShowStats, HandleHeartbeat,
                 HandleForwardedHeartbeat, HandlePeerState, CallDone, Tick>;

using CallBody = std::variant<Txn, ReadKey, ListKeys, GrantLease, RenewLease, Watch,
                              ListMachineTypes, ProvisionMachines, DeleteMachines, ListMachines,
                              PushCommands, SendPeerState, ForwardHeartbeat>;

/// A request to another service. Its result comes back as the command CallDone.
struct Call {
  CallId id = 0;
  double timeout_s = 0;
  CallBody body;
};

struct LogLine {
  enum class Level { error, info, debug } level = Level::error;
  std::string text;
};

using Effect = std::variant<AnswerUser, AnswerHeartbeat, AnswerForwardedHeartbeat, AnswerPeer,
                            AnswerStats, Call, LogLine>;

}  // namespace rushtrestle::coordination
