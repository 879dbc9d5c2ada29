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
  for (auto& [fd, c] : connections_) {
    if (c->timer) event_loop_.cancel(c->timer);
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
  if (connections_.size() >= max_) {
    // Close the idle connection unused for longest.
    int oldest = -1;
    for (auto& [fd, c] : connections_)
      if (!c->busy && (oldest < 0 || c->last_used < connections_.at(oldest)->last_used))
        oldest = fd;
    if (oldest < 0) return nullptr;
    close_one(oldest);
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  no_delay(fd);
  const sockaddr_in sa = to_sockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&sa), sizeof sa) != 0 && errno != EINPROGRESS) {
    close(fd);
    return nullptr;
  }
  auto c = std::make_unique<Connection>(fd, to, body_limit_);
  c->writing = true;
  Connection* raw = c.get();
  connections_[fd] = std::move(c);
  event_loop_.watch(fd, EPOLLIN | EPOLLOUT, EventLoop::Priority::reply,
                    [this, fd](uint32_t ev) { on_event(fd, ev); });
  return raw;
}

void HttpClient::request(const Address& to, const std::string& method, const std::string& target,
                         const std::string& body, const char* content_type, double timeout_s,
                         Done done) {
  Connection* c = acquire(to);
  if (!c) {
    event_loop_.after(0, [done = std::move(done)] { done(0, {}); });
    return;
  }
  c->busy = true;
  c->done = std::move(done);
  c->out = method + " " + target + " HTTP/1.1\r\nHost: " + text_of(to);
  if (!body.empty() || method == "POST") {
    c->out += std::string("\r\nContent-Type: ") + content_type +
              "\r\nContent-Length: " + std::to_string(body.size());
  }
  c->out += "\r\n\r\n" + body;
  c->sent = 0;
  const int fd = c->fd;
  c->timer = event_loop_.after(timeout_s, [this, fd] {
    connections_.at(fd)->timer = 0;
    fail(fd);
  });
  if (c->connected) flush(*c);
}

void HttpClient::on_event(int fd, uint32_t events) {
  auto it = connections_.find(fd);
  if (it == connections_.end()) return;
  Connection& c = *it->second;
  if (events & EPOLLOUT) {
    if (!c.connected) {
      int error = 0;
      socklen_t len = sizeof error;
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
      if (error != 0) {
        fail(fd);
        return;
      }
      c.connected = true;
    }
    flush(c);
    if (!connections_.count(fd)) return;
  }
  if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR))) return;
  ReceiveBuffer buffer;  // NOLINT(cppcoreguidelines-pro-type-member-init): clearing it
                         // for each read is wasted
  size_t size = 0;
  bool whole = false, keep = true;
  HttpMessage answer;
  auto take = [&](HttpMessage&& m, bool k) {
    whole = true;
    keep = k;
    answer = std::move(m);
  };
  switch (receive(fd, buffer, size)) {
    case Got::nothing: return;
    case Got::closed:
      if (c.busy && !c.parser.idle() && c.parser.finish(take) && whole) {
        finish(c, answer.too_large ? 0 : answer.status, std::move(answer.body), false);
      } else {
        fail(fd);
      }
      return;
    case Got::data: break;
  }
  const bool ok = c.parser.feed(buffer.data(), size, take);
  if (!ok || (whole && !c.busy)) {
    fail(fd);
  } else if (whole) {
    finish(c, answer.too_large ? 0 : answer.status, std::move(answer.body), keep);
  }
}

void HttpClient::finish(Connection& c, int status, std::string&& body, bool keep) {
  Done done = std::move(c.done);
  c.done = nullptr;
  c.busy = false;
  c.last_used = event_loop_.now();
  if (c.timer) event_loop_.cancel(c.timer);
  c.timer = 0;
  if (keep) {
    idle_[c.to].push_back(c.fd);
  } else {
    close_one(c.fd);
  }
  done(status, std::move(body));
}

void HttpClient::flush(Connection& c) {
  switch (send_out(c.fd, c.out, c.sent)) {
    case Sent::broken: fail(c.fd); return;
    case Sent::some:
      if (!c.writing) event_loop_.change(c.fd, EPOLLIN | EPOLLOUT);
      c.writing = true;
      return;
    case Sent::all:
      if (c.writing) event_loop_.change(c.fd, EPOLLIN);
      c.writing = false;
      return;
  }
}

void HttpClient::fail(int fd) {
  Done done = std::move(connections_.at(fd)->done);
  const bool busy = connections_.at(fd)->busy;
  close_one(fd);
  if (busy && done) done(0, {});
}

void HttpClient::close_one(int fd) {
  Connection& c = *connections_.at(fd);
  if (c.timer) event_loop_.cancel(c.timer);
  auto& idle = idle_[c.to];
  idle.erase(std::remove(idle.begin(), idle.end(), fd), idle.end());
  if (idle.empty()) idle_.erase(c.to);
  event_loop_.unwatch(fd);
  close(fd);
  connections_.erase(fd);
}

}  // namespace rushtrestle::transport
