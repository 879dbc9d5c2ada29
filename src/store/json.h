// The JSON type of records and messages, and helpers shared by the record codecs.
#pragma once
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace rushtrestle::store {

using Json = nlohmann::json;

/// The JSON library's id of errors about values out of range.
inline constexpr int kOutOfRange = 401;

/// Indentation of JSON text that has no line breaks.
inline constexpr int kOneLine = -1;

/// Returns a value's JSON text, on one line or, with `indent`, on several. Text in it that is not
/// UTF-8 is replaced: unlike Json::dump, this function never throws.
std::string to_json_text(const Json& value, int indent = kOneLine);

/// Returns the size in bytes of a value's JSON text, by which the state store limits values. Adds
/// one byte for each ',' and ':', because some writers put a space after each separator.
size_t stored_size(const Json& value);

/// Reads an enumerator that is stored as its number. Throws Json::exception for a value above
/// `last`, the largest enumerator, or of another type.
template <class Enum>
Enum enumerator_from_json(const Json& value, Enum last) {
  const auto number = value.get<int64_t>();
  if (number < 0 || number > static_cast<int64_t>(last))
    throw Json::out_of_range::create(kOutOfRange, "no such enumerator", &value);
  return static_cast<Enum>(number);
}

/// Returns a field that older records may lack, or `fallback`. Throws Json::exception for a value
/// of the wrong type.
template <class Value>
Value get_or(const Json& json, const char* key, Value fallback) {
  const auto field = json.find(key);
  return field == json.end() || field->is_null() ? fallback : field->get<Value>();
}

}  // namespace rushtrestle::store
