// Messages between controllers.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/runtime/call_ids.h"
#include "store/state_cache.h"

namespace rushtrestle::coordination {

/// A position in the list of cancellations in a controller's state cache.
struct CancellationPosition {
  /// Incarnation of the controller that owns the list; a restarted controller has a new list.
  std::string incarnation;
  uint64_t count = 0;  // cancellations before this position
};

/// The cancellations in a controller's state cache from the position `from` up to `end`, without
/// those that the querying controller's state cache already covers.
struct CancellationOffer {
  CancellationPosition end;
  uint64_t from = 0;
  /// The list has no cancellations after `end`.
  bool complete = false;
  std::vector<store::Cancellation> cancellations;
};

/// A controller's state, sent to its peers about once a second. Controllers of earlier versions may
/// omit the fields that are optional, empty or 0; receivers then assume the safe case.
struct PeerState {
  std::string node;
  std::string incarnation;
  /// The controller is connected to the state store and its lease there is in force.
  bool has_state_store = false;
  /// The state cache has been listed completely.
  bool synced = false;
  /// Number of writes that wait for nothing but the write budget.
  double backlog = 0;
  /// Shards that the controller leads.
  std::vector<int> shards;
  /// Machines whose heartbeats the controller received lately; those of its own shards may be left
  /// out.
  std::vector<std::string> machines_heard;
  /// Controllers that it heard from lately.
  std::vector<std::string> nodes;
  /// Wall-clock time at which the state was taken, in seconds since the Unix epoch.
  double at = 0;
  /// Revision of the state store that the state cache has reached.
  uint64_t revision = 0;
  /// Seconds since the state cache was last proven current; none: never.
  std::optional<double> current_age_s;
  /// In queries: the position up to which the sender has the receiver's cancellations.
  std::optional<CancellationPosition> known_cancellations;
  /// In answers: cancellations that the querying controller may not know.
  std::optional<CancellationOffer> offered_cancellations;
  /// Version of the controller's program, shown to operators.
  std::string version;
  /// Newest record format that the controller reads.
  uint64_t record_format = 0;
  /// Need of the write budget at the state store, as a share of the whole budget.
  std::optional<double> budget_need;
};

// ---- commands ----

struct HandlePeerState {
  RequestId request = 0;
  PeerState state;
};

// ---- effects ----

struct AnswerPeer {
  RequestId request = 0;
  PeerState state;
};

// ---- calls ----

struct SendPeerState {
  std::string address;
  PeerState state;
};

}  // namespace rushtrestle::coordination
