#include "store/json.h"

#include <algorithm>

namespace rushtrestle::store {

std::string to_json_text(const Json& value, int indent) {
  return value.dump(indent, ' ', false, Json::error_handler_t::replace);
}

size_t stored_size(const Json& value) {
  const std::string text = to_json_text(value);
  const auto separators =
      std::count_if(text.begin(), text.end(), [](char c) { return c == ',' || c == ':'; });
  return text.size() + static_cast<size_t>(separators);
}

}  // namespace rushtrestle::store
