// Why a message could not be decoded. Within this package alone: outside, a request is answered
// with a fixed status and body, and an answer counts as an unknown outcome.
#pragma once
#include <string>
#include <tl/expected.hpp>

namespace rushtrestle::protocol {

struct DecodeError {
  std::string field;   ///< as the message spells it; empty: the message as a whole
  std::string reason;  ///< in plain words
};

/// A decoded value, or the field that was at fault with the reason.
template <class Value>
using Decoded = tl::expected<Value, DecodeError>;

}  // namespace rushtrestle::protocol
