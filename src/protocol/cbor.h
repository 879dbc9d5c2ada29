// CBOR bodies, as users, workers, the cloud and the state store send and read them.
#pragma once
#include <optional>
#include <string>

#include "protocol/decode_error.h"
#include "store/json.h"

namespace rushtrestle::protocol {

/// For bytes from outside: refuses what is not CBOR, is nested too deep or holds byte strings.
std::optional<store::Json> parse_cbor(const std::string& body);
/// Whether a body came whole.
enum class BodySize { within_limit, too_large };
/// As `parse_cbor`, with the reason.
Decoded<store::Json> decode_cbor(const std::string& body, BodySize size);
/// Without the checks of `parse_cbor`: for answers of the platform's own services.
std::optional<store::Json> read_cbor(const std::string& body);

std::string to_cbor(const store::Json& json);

}  // namespace rushtrestle::protocol
