// Response statuses of the state store protocol that this package handles individually.
#pragma once

namespace rushtrestle::coordination::response_status {

inline constexpr int kNoAnswer = 0;  // no response, so the outcome is unknown; see CallDone
inline constexpr int kOk = 200;
inline constexpr int kNotFound = 404;         // the key or this controller's lease does not exist
inline constexpr int kConflict = 409;         // a precondition of the transaction failed
inline constexpr int kHistoryGone = 410;      // the requested changes are no longer retained
inline constexpr int kTooManyRequests = 429;  // the state store is up but limits the rate
inline constexpr int kUnavailable = 503;

}  // namespace rushtrestle::coordination::response_status
