// All that goes into the core (commands) and comes out of it (effects), in plain types. The wire's
// words are known to protocol alone. The order of the alternatives is part of the JSON form that
// the tests share with earlier versions: new ones go to the end.
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

/// A call is over. Status 0: no answer, outcome unknown. A 2xx whose body can't be read counts as 0
/// too.
struct CallDone {
  CallId call = 0;
  int status = 0;
  Reply reply;
};

/// Nothing but the time has moved on.
struct Tick {};

using Command =
    std::variant<SubmitJob, QueryJob, CancelJob, CheckHealth, ShowStats, HandleHeartbeat,
                 HandleForwardedHeartbeat, HandlePeerState, CallDone, Tick>;

using CallBody = std::variant<Txn, ReadKey, ListKeys, GrantLease, RenewLease, Watch,
                              ListMachineTypes, ProvisionMachines, DeleteMachines, ListMachines,
                              PushCommands, SendPeerState, ForwardHeartbeat>;

/// A request to another service; its CallDone comes in as a command.
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
