// Reads and writes of non-blocking sockets, shared by server and client.
#pragma once
#include <netinet/in.h>

#include <array>
#include <cstddef>
#include <string>

#include "transport/address.h"

namespace rushtrestle::transport {

/// How far the bytes of a buffer have left.
enum class Sent { all, some, broken };
/// Sends `out` from `sent` on, which moves forward; both are empty again when all has left.
Sent send_out(int fd, std::string& out, size_t& sent);

enum class Got { data, nothing, closed };
using ReceiveBuffer = std::array<char, 16384>;
/// Reads once; `size` says how much, with `data`.
Got receive(int fd, ReceiveBuffer& buffer, size_t& size);

sockaddr_in to_sockaddr(const Address& address);
/// Small messages leave at once.
void no_delay(int fd);

}  // namespace rushtrestle::transport
