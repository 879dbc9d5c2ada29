// An IPv4 address with a port.
#pragma once
#include <cstdint>
#include <string>

namespace rushtrestle::transport {

struct Address {
  uint32_t ip = 0;  // network byte order
  uint16_t port = 0;
  bool operator<(const Address& other) const {
    return ip != other.ip ? ip < other.ip : port < other.port;
  }
};
/// Parses "a.b.c.d:port". Throws std::invalid_argument for any other text.
Address parse_address(const std::string& text);
/// Returns the address as "a.b.c.d:port".
std::string format_address(const Address& address);

}  // namespace rushtrestle::transport
