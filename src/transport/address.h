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
/// Throws std::invalid_argument for anything but "a.b.c.d:port".
Address parse_address(const std::string& text);
/// "a.b.c.d:port".
std::string text_of(const Address& address);

}  // namespace rushtrestle::transport
