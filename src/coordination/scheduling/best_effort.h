// Teams without a guarantee: what they run is borrowed, so it must not cost the others room,
// machines or time.
#pragma once
#include "coordination/runtime/context.h"
#include "store/records.h"

namespace rushtrestle::coordination {

/// Has the job waited so long (seconds of the time of day `wall`) without a first start that it
/// should begin wherever it can? Users check after four minutes; this is half of that.
bool starves(const store::JobRecord& job, double wall);

/// Best-effort work without any time limit: the lowest rank, no deadline and no objective of its
/// class. It uses spot machines and what is idle beside services; no ordinary machine is
/// provisioned or kept for it. Not so once it starves.
bool takes_idle_room_only(const store::JobRecord& job, const Context& context);

}  // namespace rushtrestle::coordination
