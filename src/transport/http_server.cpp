#include "transport/http_server.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "transport/socket_io.h"

namespace rushtrestle::transport {

namespace {
// Minimum length of the queue of connections that wait to be accepted.
constexpr size_t kMinBacklog = 256;

const char* reason_phrase(int status) {
  switch (status) {
    case 200: return "OK";
    case 201: return "Created";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 409: return "Conflict";
    case 421: return "Misdirected Request";
    case 422: return "Unprocessable Entity";
    case 429: return "Too Many Requests";
    case 503: return "Service Unavailable";
    default: return "Status";
  }
}
}  // namespace

HttpServer::HttpServer(EventLoop& event_loop, const Address& at, Limits limits, Handler handler)
    : event_loop_(event_loop), limits_(limits), handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = to_sockaddr(at);
  // All workers of a fleet may reconnect during one iteration of a busy controller. A worker that
  // finds the queue full retries only seconds later.
  const int backlog = static_cast<int>(std::max(kMinBacklog, limits.connections));
  if (listener_ < 0 ||
      bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener_, backlog) != 0)
    throw std::runtime_error("cannot listen on " + format_address(at) + ": " +
                             std::strerror(errno));
  event_loop_.watch(listener_, EPOLLIN, EventLoop::Priority::request,
                    [this](uint32_t) { accept_all(); });
  close_idle_connections();
}

HttpServer::~HttpServer() {
  event_loop_.cancel(idle_timer_);
  for (auto& [fd, connection] : connections_) {
    event_loop_.unwatch(fd);
    close(fd);
  }
  if (listener_ >= 0) {
    event_loop_.unwatch(listener_);
    close(listener_);
  }
}

void HttpServer::close_idle_connections() {
  const double oldest = event_loop_.now() - limits_.idle_s;
  while (!by_last_use_.empty()) {
    auto& connection = *connections_.at(by_last_use_.front());
    if (connection.last_used > oldest) break;
    close_connection(connection.fd);
  }
  idle_timer_ = event_loop_.after(limits_.idle_s / 8, [this] { close_idle_connections(); });
}

void HttpServer::accept_all() {
  for (;;) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    set_no_delay(fd);
    if (connections_.size() >= limits_.connections) {
      // Closes the connection that was idle for longest, or the new one if all others are busy.
      auto victim = std::find_if(by_last_use_.begin(), by_last_use_.end(), [&](int f) {
        return connections_.at(f)->exchange == 0 && connections_.at(f)->parser.idle();
      });
      if (victim == by_last_use_.end()) {
        close(fd);
        continue;
      }
      close_connection(*victim);
    }
    auto connection = std::make_unique<Connection>(fd, limits_.body);
    connection->last_used = event_loop_.now();
    connection->last_use_position = by_last_use_.insert(by_last_use_.end(), fd);
    connections_[fd] = std::move(connection);
    event_loop_.watch(fd, EPOLLIN, EventLoop::Priority::request,
                      [this, fd](uint32_t ev) { on_event(fd, ev); });
  }
}

void HttpServer::on_event(int fd, uint32_t events) {
  auto it = connections_.find(fd);
  if (it == connections_.end()) return;
  Connection& connection = *it->second;
  if (events & EPOLLOUT) {
    flush(connection);
    if (!connections_.count(fd)) return;
  }
  if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR))) return;
  ReceiveBuffer buffer;  // NOLINT(cppcoreguidelines-pro-type-member-init): not cleared,
                         // because each read overwrites it
  size_t size = 0;
  switch (receive(fd, buffer, size)) {
    case ReceiveResult::would_block: return;
    case ReceiveResult::closed: close_connection(fd); return;
    case ReceiveResult::data: break;
  }
  connection.last_used = event_loop_.now();
  by_last_use_.splice(by_last_use_.end(), by_last_use_, connection.last_use_position);
  bool pipelined = false;
  parsing_fd_ = fd;
  close_after_parsing_ = false;
  const bool ok =
      connection.parser.feed(buffer.data(), size, [&](HttpMessage&& message, bool keep) {
        if (connection.exchange != 0) {
          pipelined = true;
          return;
        }
        connection.exchange = next_exchange_++;
        connection.keep_alive = keep;
        exchanges_[connection.exchange] = fd;
        handler_(connection.exchange, std::move(message));
      });
  parsing_fd_ = -1;
  if (!ok || pipelined || close_after_parsing_) close_connection(fd);
}

void HttpServer::answer(ExchangeId id, int status, const std::string& body,
                        const char* content_type, const std::string& extra_headers) {
  auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  Connection& connection = *connections_.at(it->second);
  exchanges_.erase(it);
  connection.exchange = 0;
  connection.out += "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) +
                    "\r\nContent-Length: " + std::to_string(body.size());
  if (!body.empty()) connection.out += std::string("\r\nContent-Type: ") + content_type;
  if (!connection.keep_alive) connection.out += "\r\nConnection: close";
  connection.out += "\r\n" + extra_headers + "\r\n" + body;
  connection.close_after = !connection.keep_alive;
  flush(connection);
}

void HttpServer::flush(Connection& connection) {
  switch (send_pending(connection.fd, connection.out, connection.sent)) {
    case SendResult::failed: close_connection(connection.fd); return;
    case SendResult::partial:
      if (!connection.writing) event_loop_.change(connection.fd, EPOLLIN | EPOLLOUT);
      connection.writing = true;
      return;
    case SendResult::all:
      if (connection.writing) event_loop_.change(connection.fd, EPOLLIN);
      connection.writing = false;
      if (connection.close_after) close_connection(connection.fd);
      return;
  }
}

void HttpServer::close_connection(int fd) {
  auto it = connections_.find(fd);
  if (it == connections_.end()) return;
  if (fd == parsing_fd_) {
    close_after_parsing_ = true;
    return;
  }
  if (it->second->exchange != 0) exchanges_.erase(it->second->exchange);
  by_last_use_.erase(it->second->last_use_position);
  event_loop_.unwatch(fd);
  close(fd);
  connections_.erase(it);
}

}  // namespace rushtrestle::transport
