// Ids that match replies to their requests and calls.
#pragma once
#include <cstdint>

namespace rushtrestle::coordination {

/// Id of an incoming request that this controller has to answer.
using RequestId = uint64_t;
/// Id of an outgoing call that this controller sent.
using CallId = uint64_t;

}  // namespace rushtrestle::coordination
