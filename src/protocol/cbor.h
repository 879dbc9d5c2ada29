// CBOR bodies of the messages of users, workers, the cloud and the state store.
#pragma once
#include <optional>
#include <string>

#include "protocol/checked_parser.h"
#include "protocol/decode_error.h"
#include "store/json.h"

namespace rushtrestle::protocol {

/// Parses bytes of any sender. Returns none for a body that is not CBOR, is nested too deep, or
/// holds byte strings, NaN, infinity or text of another encoding. Never throws.
std::optional<store::Json> parse_cbor(const std::string& body,
                                      TextEncoding encoding = TextEncoding::utf8);
/// Whether a body was received in full, or dropped because it exceeds the limit.
enum class BodySize { within_limit, too_large };
/// Like `parse_cbor`, but returns the reason for a rejection.
Decoded<store::Json> decode_cbor(const std::string& body, BodySize size);

std::string to_cbor(const store::Json& json);

}  // namespace rushtrestle::protocol
