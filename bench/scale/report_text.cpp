#include "run.h"

namespace rushtrestle::scale {

using store::Json;

namespace {

/// One line a value, with its place in the report; small objects on one line. What controllers tell
/// is in the JSON only.
void print(const std::string& name, const Json& value, std::string& out) {
  constexpr size_t kOneLine = 110;
  const std::string text = value.dump();
  if (!value.is_structured() || text.size() <= kOneLine) {
    out += name + ": " + text + "\n";
    return;
  }
  for (const auto& [key, inner] : value.items())
    if (key != "stats")
      print(name.empty() ? key : std::string(name).append(".").append(key), inner, out);
}

}  // namespace

std::string report_text(const Json& report) {
  std::string out;
  print("", report, out);
  return out;
}

}  // namespace rushtrestle::scale
