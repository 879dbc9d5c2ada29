#include "store/json.h"

#include <algorithm>
#include <string>

namespace rushtrestle::store {

size_t stored_size(const Json& value) {
  const std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  const auto separators =
      std::count_if(text.begin(), text.end(), [](char c) { return c == ',' || c == ':'; });
  return text.size() + static_cast<size_t>(separators);
}

}  // namespace rushtrestle::store
