#include "transport/http_client.h"

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

HttpClient::~HttpClient() {
  for (auto& [fd, connection] : connections_) {
    if (connection->timer) event_loop_.cancel(connection->timer);
    event_loop_.unwatch(fd);
    close(fd);
  }
}

HttpClient::Connection* HttpClient::acquire(const Address& to) {
  auto& idle = idle_[to];
  while (!idle.empty()) {
    const int fd = idle.back();
    idle.pop_back();
    return connections_.at(fd).get();
  }
  if (connections_.size() >= max_connections_) {
    // Closes the connection that was idle for longest.
    int oldest = -1;
    for (auto& [fd, connection] : connections_)
      if (!connection->busy &&
          (oldest < 0 || connection->last_used < connections_.at(oldest)->last_used))
        oldest = fd;
    if (oldest < 0) return nullptr;
    close_connection(oldest);
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  set_no_delay(fd);
  const sockaddr_in sa = to_sockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&sa), sizeof sa) != 0 && errno != EINPROGRESS) {
    close(fd);
    return nullptr;
  }
  auto connection = std::make_unique<Connection>(fd, to, body_limit_);
  connection->writing = true;
  Connection* raw = connection.get();
  connections_[fd] = std::move(connection);
  event_loop_.watch(fd, EPOLLIN | EPOLLOUT, EventLoop::Priority::reply,
                    [this, fd](uint32_t ev) { on_event(fd, ev); });
  return raw;
}

void HttpClient::request(const Address& to, const std::string& method, const std::string& target,
                         const std::string& body, const char* content_type, double timeout_s,
                         Done done) {
  Connection* connection = acquire(to);
  if (!connection) {
    event_loop_.after(0, [done = std::move(done)] { done(0, {}); });
    return;
  }
  connection->busy = true;
  connection->done = std::move(done);
  connection->out = method + " " + target + " HTTP/1.1\r\nHost: " + format_address(to);
  if (!body.empty() || method == "POST") {
    connection->out += std::string("\r\nContent-Type: ") + content_type +
                       "\r\nContent-Length: " + std::to_string(body.size());
  }
  connection->out += "\r\n\r\n" + body;
  connection->sent = 0;
  const int fd = connection->fd;
  connection->timer = event_loop_.after(timeout_s, [this, fd] {
    connections_.at(fd)->timer = 0;
    fail(fd);
  });
  if (connection->connected) flush(*connection);
}

void HttpClient::on_event(int fd, uint32_t events) {
  auto it = connections_.find(fd);
  if (it == connections_.end()) return;
  Connection& connection = *it->second;
  if (events & EPOLLOUT) {
    if (!connection.connected) {
      int error = 0;
      socklen_t len = sizeof error;
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
      if (error != 0) {
        fail(fd);
        return;
      }
      connection.connected = true;
    }
    flush(connection);
    if (!connections_.count(fd)) return;
  }
  if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR))) return;
  ReceiveBuffer buffer;  // NOLINT(cppcoreguidelines-pro-type-member-init): not cleared,
                         // because each read overwrites it
  size_t size = 0;
  bool complete = false, keep = true;
  HttpMessage answer;
  auto on_message = [&](HttpMessage&& m, bool k) {
    complete = true;
    keep = k;
    answer = std::move(m);
  };
  switch (receive(fd, buffer, size)) {
    case ReceiveResult::would_block: return;
    case ReceiveResult::closed:
      if (connection.busy && !connection.parser.idle() && connection.parser.finish(on_message) &&
          complete) {
        finish(connection, std::move(answer), false);
      } else {
        fail(fd);
      }
      return;
    case ReceiveResult::data: break;
  }
  const bool ok = connection.parser.feed(buffer.data(), size, on_message);
  if (!ok || (complete && !connection.busy)) {
    fail(fd);
  } else if (complete) {
    finish(connection, std::move(answer), keep);
  }
}

void HttpClient::finish(Connection& connection, HttpMessage&& answer, bool keep) {
  Done done = std::move(connection.done);
  connection.done = nullptr;
  connection.busy = false;
  connection.last_used = event_loop_.now();
  if (connection.timer) event_loop_.cancel(connection.timer);
  connection.timer = 0;
  if (keep) {
    idle_[connection.to].push_back(connection.fd);
  } else {
    close_connection(connection.fd);
  }
  done(answer.too_large ? kReplyTooLarge : answer.status, std::move(answer.body));
}

void HttpClient::flush(Connection& connection) {
  switch (send_pending(connection.fd, connection.out, connection.sent)) {
    case SendResult::failed: fail(connection.fd); return;
    case SendResult::partial:
      if (!connection.writing) event_loop_.change(connection.fd, EPOLLIN | EPOLLOUT);
      connection.writing = true;
      return;
    case SendResult::all:
      if (connection.writing) event_loop_.change(connection.fd, EPOLLIN);
      connection.writing = false;
      return;
  }
}

void HttpClient::fail(int fd) {
  Done done = std::move(connections_.at(fd)->done);
  const bool busy = connections_.at(fd)->busy;
  close_connection(fd);
  if (busy && done) done(0, {});
}

void HttpClient::close_connection(int fd) {
  Connection& connection = *connections_.at(fd);
  if (connection.timer) event_loop_.cancel(connection.timer);
  auto& idle = idle_[connection.to];
  idle.erase(std::remove(idle.begin(), idle.end(), fd), idle.end());
  if (idle.empty()) idle_.erase(connection.to);
  event_loop_.unwatch(fd);
  close(fd);
  connections_.erase(fd);
}

}  // namespace rushtrestle::transport
