// The reason why a message could not be decoded. Used only inside protocol/: the sender of a
// request gets a fixed status and body, and an undecodable answer counts as an unknown outcome.
#pragma once
#include <string>
#include <tl/expected.hpp>

namespace rushtrestle::protocol {

struct DecodeError {
  std::string field;   ///< name on the wire; empty if the message as a whole is at fault
  std::string reason;  ///< human-readable
};

/// A decoded value, or the invalid field and the reason.
template <class Value>
using Decoded = tl::expected<Value, DecodeError>;

}  // namespace rushtrestle::protocol
