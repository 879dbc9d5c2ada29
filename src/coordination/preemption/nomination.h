// The eligibility rule of the Expected Runtime design, by itself so that each of its
// cases can be tested.
#pragma once
#include <string>

#include "store/records.h"

namespace rushtrestle::coordination {

/// Why a job is not nominated at time of day `wall`; empty: it is. The words are the paper's,
/// but for `not_due`, which the paper has no counter for.
std::string nomination_skip_reason(const store::JobRecord& r, double wall,
                                   const store::OperatorSettings& operators, double clock_error_s);

}  // namespace rushtrestle::coordination
