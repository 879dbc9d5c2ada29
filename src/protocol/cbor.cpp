#include "protocol/cbor.h"

#include <cmath>

namespace rushtrestle::protocol {

using store::Json;

namespace {

constexpr int kMaxDepth = 16;  // messages of the protocol nest five levels deep

// Checks untrusted bytes before a tree is built from them: the library's parser recurses as deep as
// the input nests, so the depth has to be limited first. Also rejects byte strings, NaN and
// infinity.
struct LimitChecker : nlohmann::json_sax<Json> {
  int depth = 0;
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t value, const string_t&) override { return std::isfinite(value); }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return false; }
  bool start_object(size_t) override { return ++depth <= kMaxDepth; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return --depth >= 0; }
  bool start_array(size_t) override { return ++depth <= kMaxDepth; }
  bool end_array() override { return --depth >= 0; }
  bool parse_error(size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }
};

}  // namespace

// The library throws for an announced size that exceeds the memory, even when it is told not to
// throw.
std::optional<Json> parse_trusted_cbor(const std::string& body) try {
  Json json = Json::from_cbor(body, true, false);
  if (json.is_discarded()) return std::nullopt;
  return json;
} catch (const Json::exception&) {
  return std::nullopt;
}

std::optional<Json> parse_cbor(const std::string& body) {
  LimitChecker checker;
  if (body.empty() || !Json::sax_parse(body, &checker, Json::input_format_t::cbor))
    return std::nullopt;
  return parse_trusted_cbor(body);
}

Decoded<Json> decode_cbor(const std::string& body, BodySize size) {
  if (size == BodySize::too_large) return tl::make_unexpected(DecodeError{"", "too large"});
  auto json = parse_cbor(body);
  if (!json) return tl::make_unexpected(DecodeError{"", "not CBOR, nested too deep or with bytes"});
  return std::move(*json);
}

std::string to_cbor(const Json& json) {
  std::string out;
  Json::to_cbor(json, out);
  return out;
}

}  // namespace rushtrestle::protocol
