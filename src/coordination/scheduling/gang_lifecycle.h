// The life of a gang's attempt, as a state machine whose state is read off the job's record alone.
#pragma once
#include "store/records.h"

namespace rushtrestle::coordination {

// All members of a gang run under one attempt number, or none does. The phase follows from the
// placements and their flags, which every version of the service reads and writes, so that a new
// shard leader and the one before see the same. Invariant: nobody joins an attempt that is running
// or ending, and the next attempt begins only when no member of the old one is placed, that is,
// when all are known to be gone.
//
//   idle --place whole--> gathering --a member is seen running--> running
//   gathering --a member is lost--> gathering (it is replaced under the same attempt)
//   gathering, running --a member ends, or one has to stop--> ending --all are gone--> idle
//   running --a member is lost--> ending
//   any --a member is done--> over (the job is done)
enum class GangPhase {
  idle,       // no member is placed: an attempt may begin
  gathering,  // the members placed wait for the others; one that is lost may be replaced
  running,    // a member was seen running
  ending      // every member is to stop; nobody joins
};

GangPhase gang_phase(const store::JobRecord& gang);

/// What is left of the attempt is to stop: a member has ended by itself, was lost while the gang
/// ran, or has to make room. Does nothing for jobs that are no gangs, and where nothing is left.
void end_attempt(store::JobRecord& job);

/// Stops all members if one is to stop: the progress of a gang is saved only when all are told in
/// time.
void spread_stop(store::JobRecord& job);

/// The grace that a member is given with its stop. Once a member is missing there is nothing to
/// save any more, and the others would only wait for it.
double stop_grace_s(const store::JobRecord& job);

}  // namespace rushtrestle::coordination
