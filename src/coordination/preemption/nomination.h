// Nomination step of the Expected Runtime design: decides which running jobs a scan may try to
// requeue. It is a pure function, so that each case can be tested. Called by the requeue action.
#pragma once
#include <string>

#include "store/records.h"

namespace rushtrestle::coordination {

/// Returns the reason why the job is not nominated at time of day `wall` (seconds); empty: the job
/// is nominated. `clock_error_s` bounds the error of each controller's clock in seconds. The design
/// defines the reasons and uses them in counter names, except for `not_due`, for which it defines
/// no counter.
std::string nomination_skip_reason(const store::JobRecord& job, double wall,
                                   const store::OperatorSettings& operators, double clock_error_s);

}  // namespace rushtrestle::coordination
