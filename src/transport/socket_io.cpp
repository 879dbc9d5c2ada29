#include "transport/socket_io.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace rushtrestle::transport {

sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in s{};
  s.sin_family = AF_INET;
  s.sin_addr.s_addr = address.ip;
  s.sin_port = htons(address.port);
  return s;
}

void set_no_delay(int fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

SendResult send_pending(int fd, std::string& out, size_t& sent) {
  while (sent < out.size()) {
    const ssize_t n = send(fd, out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
    if (n < 0) {
      if (errno == EINTR) continue;
      return errno == EAGAIN || errno == EWOULDBLOCK ? SendResult::partial : SendResult::failed;
    }
    sent += static_cast<size_t>(n);
  }
  out.clear();
  sent = 0;
  return SendResult::all;
}

ReceiveResult receive(int fd, ReceiveBuffer& buffer, size_t& size) {
  const ssize_t n = recv(fd, buffer.data(), buffer.size(), 0);
  if (n > 0) {
    size = static_cast<size_t>(n);
    return ReceiveResult::data;
  }
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return ReceiveResult::would_block;
  return ReceiveResult::closed;
}

}  // namespace rushtrestle::transport
