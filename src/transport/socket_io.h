// Reads from and writes to non-blocking sockets, shared by the server and the client.
#pragma once
#include <netinet/in.h>

#include <array>
#include <cstddef>
#include <string>

#include "transport/address.h"

namespace rushtrestle::transport {

/// Result of `send_pending`: everything was sent, the socket's buffer is full, or the connection
/// failed.
enum class SendResult { all, partial, failed };
/// Sends the bytes of `out` from offset `sent` on and advances `sent`. Clears both once everything
/// was sent.
SendResult send_pending(int fd, std::string& out, size_t& sent);

enum class ReceiveResult { data, would_block, closed };
using ReceiveBuffer = std::array<char, 16384>;
/// Reads once. `size` is the number of bytes read and is set only with `data`.
ReceiveResult receive(int fd, ReceiveBuffer& buffer, size_t& size);

sockaddr_in to_sockaddr(const Address& address);
/// Sets TCP_NODELAY, so that small messages are sent without delay.
void set_no_delay(int fd);

}  // namespace rushtrestle::transport
