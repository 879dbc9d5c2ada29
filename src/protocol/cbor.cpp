#include "protocol/cbor.h"

#include <utility>

#include "protocol/cbor_structure.h"

namespace rushtrestle::protocol {

using store::Json;

// A body of 60,000 characters '_', the beginning of a byte string in chunks, nested each chunk in
// the one before, and ended every controller that read it: the library's parser recurses for each.
std::optional<Json> parse_cbor(const std::string& body, TextEncoding encoding) {
  if (!is_plain_cbor(body, kMaxNesting)) return std::nullopt;
  return parse_checked(body, Json::input_format_t::cbor, encoding);
}

Decoded<Json> decode_cbor(const std::string& body, BodySize size) {
  if (size == BodySize::too_large) return tl::make_unexpected(DecodeError{"", "too large"});
  auto json = parse_cbor(body);
  if (!json)
    return tl::make_unexpected(
        DecodeError{"", "not CBOR, nested too deep, with bytes or with text that is not UTF-8"});
  return std::move(*json);
}

std::string to_cbor(const Json& json) {
  std::string out;
  Json::to_cbor(json, out);
  return out;
}

}  // namespace rushtrestle::protocol
