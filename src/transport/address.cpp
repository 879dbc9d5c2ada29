#include "transport/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <stdexcept>

namespace rushtrestle::transport {

std::string format_address(const Address& address) {
  in_addr ip{};
  ip.s_addr = address.ip;
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &ip, text, sizeof text);
  return std::string(text) + ":" + std::to_string(address.port);
}

Address parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  Address address;
  in_addr ip{};
  unsigned port = 0;
  const char* end = text.data() + text.size();
  if (colon == std::string::npos || inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) != 1)
    throw std::invalid_argument("'" + text + "' is not an address of the form a.b.c.d:port");
  const auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc{} || parsed_end != end || port == 0 || port > 65535)
    throw std::invalid_argument("'" + text + "' has no valid port");
  address.ip = ip.s_addr;
  address.port = static_cast<uint16_t>(port);
  return address;
}

}  // namespace rushtrestle::transport
