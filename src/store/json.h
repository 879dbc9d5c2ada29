// The JSON type of records and messages, and helpers shared by the record codecs.
#pragma once
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace rushtrestle::store {

using Json = nlohmann::json;

/// Indentation of JSON text that has no line breaks.
inline constexpr int kOneLine = -1;

/// Returns a value's JSON text, on one line or, with `indent`, on several. Text in it that is not
/// UTF-8 is replaced: unlike Json::dump, this function never throws.
std::string to_json_text(const Json& value, int indent = kOneLine);

/// Returns the size in bytes of a value's JSON text, by which the state store limits values. Adds
/// one byte for each ',' and ':', because some writers put a space after each separator.
size_t stored_size(const Json& value);

/// Returns a field that older records may lack, or `fallback`. Throws Json::exception for a value
/// of the wrong type.
template <class Value>
Value get_or(const Json& json, const char* key, Value fallback) {
  const auto field = json.find(key);
  return field == json.end() || field->is_null() ? fallback : field->get<Value>();
}

}  // namespace rushtrestle::store
