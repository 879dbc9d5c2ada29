#include "run.h"

namespace rushtrestle::scale {

using store::Json;

namespace {

/// Prints one line per value with its path in the report; an object of up to 110 characters takes
/// one line. The statistics of controllers (`stats`) are in the JSON report only.
void print(const std::string& name, const Json& value, std::string& out) {
  constexpr size_t kMaxLineLength = 110;
  const std::string text = value.dump();
  if (!value.is_structured() || text.size() <= kMaxLineLength) {
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
