#include "protocol/http_call.h"

#include <cctype>

namespace rushtrestle::protocol {

std::string percent_encode(const std::string& text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const unsigned char byte : text) {
    if (std::isalnum(byte) || byte == '-' || byte == '_' || byte == '.' || byte == '/' ||
        byte == '~') {
      out += static_cast<char>(byte);
    } else {
      out += '%';
      out += kHex[byte >> 4];
      out += kHex[byte & 15];
    }
  }
  return out;
}

}  // namespace rushtrestle::protocol
