// What controllers tell each other.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/runtime/call_ids.h"
#include "store/state_cache.h"

namespace rushtrestle::coordination {

/// A position in the list of cancellations that a controller's state cache holds.
struct CancellationPosition {
  /// Of the controller whose list it is; a restarted one has a new list.
  std::string incarnation;
  uint64_t count = 0;
};

/// Cancellations that a controller's state cache holds, from the position `from` up to `mark`,
/// without those that the asker's state cache covers.
struct CancellationOffer {
  CancellationPosition mark;
  uint64_t from = 0;
  /// Nothing is left after `mark`.
  bool whole = false;
  std::vector<store::Cancellation> cancellations;
};

/// A controller's state, told to the others about once a second. What is optional, empty or 0 may
/// be absent from controllers of earlier versions: the cautious answer follows.
struct PeerState {
  std::string node;
  std::string incarnation;
  /// Its lease at the state store is in force.
  bool has_state_store = false;
  /// Its state cache has been read whole.
  bool synced = false;
  /// Records waiting to be written.
  double backlog = 0;
  /// Shards that it leads.
  std::vector<int> shards;
  /// Machines that sent it heartbeats lately; its own may be left out.
  std::vector<std::string> machines_heard;
  /// Controllers that it heard lately.
  std::vector<std::string> nodes;
  /// Time of day when it was said.
  double at = 0;
  /// That its state cache has reached.
  uint64_t revision = 0;
  /// Since its state cache was last proven current; none: never.
  std::optional<double> current_age_s;
  /// In a question: what the asker knows of the asked one's cancellations.
  std::optional<CancellationPosition> acknowledged;
  /// In an answer.
  std::optional<CancellationOffer> offered_cancellations;
  /// Of its program, for operators.
  std::string version;
  /// The newest that it reads.
  uint64_t record_format = 0;
  /// Of the write budget at the state store, as a share of the whole.
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
