// Checks the structure of a CBOR body without building anything.
//
// The JSON library's CBOR parser recurses for each level that the input nests. It reports maps and
// lists before it descends, but not the chunks of a string of indefinite length, which it lets nest
// as well. So the structure is checked before the library sees the body: iteratively, in one pass,
// with memory for `max_depth` levels.
#pragma once
#include <cstddef>
#include <string_view>

namespace rushtrestle::protocol {

/// Whether the body is one well-formed CBOR item (RFC 8949) of the kinds that the protocol has:
/// maps, lists, text, numbers, booleans and null, nested at most `max_depth` levels. Byte strings
/// and tags are refused, and so is a length or a count that exceeds the body. The bytes of texts
/// are not looked at.
bool is_plain_cbor(std::string_view body, size_t max_depth);

}  // namespace rushtrestle::protocol
