// The JSON type of records and messages, and what the record codecs share.
#pragma once
#include <cstddef>
#include <nlohmann/json.hpp>

namespace rushtrestle::store {

using Json = nlohmann::json;

/// Bytes that a value takes by the state store's count, which is of its JSON form; with a space
/// after each separator, as some writers put there.
size_t stored_size(const Json& value);

/// The value of a field that older records may lack. Throws Json::exception for one of another
/// type.
template <class Value>
Value get_or(const Json& json, const char* key, Value fallback) {
  const auto field = json.find(key);
  return field == json.end() || field->is_null() ? fallback : field->get<Value>();
}

}  // namespace rushtrestle::store
