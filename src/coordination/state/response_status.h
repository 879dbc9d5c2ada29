// Response statuses of the state store's protocol that this package distinguishes.
#pragma once

namespace rushtrestle::coordination::response_status {

inline constexpr int kNoAnswer = 0;  // outcome unknown; see CallDone
inline constexpr int kOk = 200;
inline constexpr int kNotFound = 404;         // the key, or our lease, does not exist
inline constexpr int kConflict = 409;         // a precondition of the transaction does not hold
inline constexpr int kHistoryGone = 410;      // the changes asked for are no longer kept
inline constexpr int kTooManyRequests = 429;  // the state store is up and asks for a pause
inline constexpr int kUnavailable = 503;

}  // namespace rushtrestle::coordination::response_status
