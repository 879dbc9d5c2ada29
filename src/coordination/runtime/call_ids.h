// Numbers that tie an answer to its question.
#pragma once
#include <cstdint>

namespace rushtrestle::coordination {

/// Of a request that waits for this controller's answer.
using RequestId = uint64_t;
/// Of a call that this controller sent.
using CallId = uint64_t;

}  // namespace rushtrestle::coordination
