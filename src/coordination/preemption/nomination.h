// Nomination of the Expected Runtime design: which running jobs a scan may try to requeue. A pure
// function, so that each of its cases can be tested. Called by the requeue action.
#pragma once
#include <string>

#include "store/records.h"

namespace rushtrestle::coordination {

/// Why the job is not nominated at time of day `wall` (seconds); empty: it is nominated.
/// `clock_error_s` bounds the error of each controller's clock. The reasons are the design's and
/// are part of counter names, except for `not_due`, for which the design has no counter.
std::string nomination_skip_reason(const store::JobRecord& job, double wall,
                                   const store::OperatorSettings& operators, double clock_error_s);

}  // namespace rushtrestle::coordination
