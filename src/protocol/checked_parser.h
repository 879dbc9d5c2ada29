// Parses the bodies of all senders, in CBOR or as JSON text, into a tree of bounded depth.
//
// Invariant: nothing that works on a parsed message (destruction, copies, conversion to text)
// recurses deeper than kMaxNesting, and a body takes memory in proportion to its size.
#pragma once
#include <cstddef>
#include <optional>
#include <string>

#include "store/json.h"

namespace rushtrestle::protocol {

/// Maximum number of maps and lists around a value; messages of the protocol nest five levels deep.
constexpr size_t kMaxNesting = 16;

/// Which bytes a text in a message may have. CBOR prescribes UTF-8, and JSON text can hold nothing
/// else.
enum class TextEncoding { utf8, any };

/// Returns none for a body that is not in the format, is nested too deep, or holds byte strings,
/// NaN, infinity or text of another encoding. Never throws. A CBOR body must have passed
/// `is_plain_cbor`.
std::optional<store::Json> parse_checked(const std::string& body,
                                         store::Json::input_format_t format, TextEncoding encoding);

}  // namespace rushtrestle::protocol
