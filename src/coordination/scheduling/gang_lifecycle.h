// State machine of a gang's attempt. The state is derived from the job's record alone.
#pragma once
#include "store/records.h"

namespace rushtrestle::coordination {

// All members of a gang run under one attempt number, or none does. The phase is derived from the
// placements and their flags, which every version of the service reads and writes, so a new shard
// leader and its predecessor derive the same phase. Invariant: no member is added to an attempt
// that is running or ending, and the next attempt begins only when no member of the previous one is
// placed, that is, when all its members are known to be gone.
//
//   idle --all members are placed--> gathering --a member is seen running--> running
//   gathering --a member is lost--> gathering (it is replaced under the same attempt)
//   gathering, running --a member ends, or one has to stop--> ending --all are gone--> idle
//   running --a member is lost--> ending
//   any --a member is done--> over (the job is done)
enum class GangPhase {
  idle,       // no member is placed; an attempt may begin
  gathering,  // placed members wait for the others; a lost member may be replaced
  running,    // at least one member was seen running
  ending      // every member is to stop; no member is added
};

GangPhase gang_phase(const store::JobRecord& gang);

/// Marks all placed members as stopping. Called when a member has ended by itself, was lost while
/// the gang ran, or has to make room. Does nothing for jobs that are not gangs, or if no member is
/// placed.
void end_attempt(store::JobRecord& job);

/// Marks all members of a gang as stopping if one of them is: the progress of a gang is saved only
/// if all members are told to stop in time.
void stop_all_if_any_stopping(store::JobRecord& job);

/// Returns the grace period in seconds that is sent with a member's stop command. It is 0 once a
/// member of a gang is missing: the progress can't be saved any more, and the other members would
/// only wait for the missing one.
double stop_grace_s(const store::JobRecord& job);

}  // namespace rushtrestle::coordination
