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
// Connections that wait to be accepted.
constexpr size_t kLeastWaiting = 256;

const char* reason(int status) {
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
  const sockaddr_in sa = to_sockaddr(at);
  // All workers of a fleet may come back in one turn of a busy controller: whom the queue has no
  // room for tries again only seconds later.
  const int waiting = static_cast<int>(std::max(kLeastWaiting, limits.connections));
  if (listener_ < 0 || bind(listener_, reinterpret_cast<const sockaddr*>(&sa), sizeof sa) != 0 ||
      listen(listener_, waiting) != 0)
    throw std::runtime_error("cannot listen on " + text_of(at) + ": " + std::strerror(errno));
  event_loop_.watch(listener_, EPOLLIN, EventLoop::Priority::request,
                    [this](uint32_t) { accept_all(); });
  sweep();
}

HttpServer::~HttpServer() {
  event_loop_.cancel(sweep_timer_);
  for (auto& [fd, c] : connections_) {
    event_loop_.unwatch(fd);
    close(fd);
  }
  if (listener_ >= 0) {
    event_loop_.unwatch(listener_);
    close(listener_);
  }
}

void HttpServer::sweep() {
  const double oldest = event_loop_.now() - limits_.idle_s;
  while (!by_age_.empty()) {
    auto& c = *connections_.at(by_age_.front());
    if (c.last_used > oldest) break;
    drop(c.fd);
  }
  sweep_timer_ = event_loop_.after(limits_.idle_s / 8, [this] { sweep(); });
}

void HttpServer::accept_all() {
  for (;;) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    no_delay(fd);
    if (connections_.size() >= limits_.connections) {
      // Room is made by the connection idle for longest; if all are busy, the newcomer yields.
      auto victim = std::find_if(by_age_.begin(), by_age_.end(), [&](int f) {
        return connections_.at(f)->exchange == 0 && connections_.at(f)->parser.idle();
      });
      if (victim == by_age_.end()) {
        close(fd);
        continue;
      }
      drop(*victim);
    }
    auto c = std::make_unique<Connection>(fd, limits_.body);
    c->last_used = event_loop_.now();
    c->age = by_age_.insert(by_age_.end(), fd);
    connections_[fd] = std::move(c);
    event_loop_.watch(fd, EPOLLIN, EventLoop::Priority::request,
                      [this, fd](uint32_t ev) { on_event(fd, ev); });
  }
}

void HttpServer::on_event(int fd, uint32_t events) {
  auto it = connections_.find(fd);
  if (it == connections_.end()) return;
  Connection& c = *it->second;
  if (events & EPOLLOUT) {
    flush(c);
    if (!connections_.count(fd)) return;
  }
  if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR))) return;
  ReceiveBuffer buffer;  // NOLINT(cppcoreguidelines-pro-type-member-init): clearing it
                         // for each read is wasted
  size_t size = 0;
  switch (receive(fd, buffer, size)) {
    case Got::nothing: return;
    case Got::closed: drop(fd); return;
    case Got::data: break;
  }
  c.last_used = event_loop_.now();
  by_age_.splice(by_age_.end(), by_age_, c.age);
  bool pipelined = false;
  feeding_ = fd;
  drop_fed_ = false;
  const bool ok = c.parser.feed(buffer.data(), size, [&](HttpMessage&& m, bool keep) {
    if (c.exchange != 0) {
      pipelined = true;
      return;
    }
    c.exchange = next_++;
    c.keep_alive = keep;
    exchanges_[c.exchange] = fd;
    handler_(c.exchange, std::move(m));
  });
  feeding_ = -1;
  if (!ok || pipelined || drop_fed_) drop(fd);
}

void HttpServer::answer(ExchangeId id, int status, const std::string& body,
                        const char* content_type, const std::string& extra) {
  auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  Connection& c = *connections_.at(it->second);
  exchanges_.erase(it);
  c.exchange = 0;
  c.out += "HTTP/1.1 " + std::to_string(status) + " " + reason(status) +
           "\r\nContent-Length: " + std::to_string(body.size());
  if (!body.empty()) c.out += std::string("\r\nContent-Type: ") + content_type;
  if (!c.keep_alive) c.out += "\r\nConnection: close";
  c.out += "\r\n" + extra + "\r\n" + body;
  c.close_after = !c.keep_alive;
  flush(c);
}

void HttpServer::flush(Connection& c) {
  switch (send_out(c.fd, c.out, c.sent)) {
    case Sent::broken: drop(c.fd); return;
    case Sent::some:
      if (!c.writing) event_loop_.change(c.fd, EPOLLIN | EPOLLOUT);
      c.writing = true;
      return;
    case Sent::all:
      if (c.writing) event_loop_.change(c.fd, EPOLLIN);
      c.writing = false;
      if (c.close_after) drop(c.fd);
      return;
  }
}

void HttpServer::drop(int fd) {
  auto it = connections_.find(fd);
  if (it == connections_.end()) return;
  if (fd == feeding_) {
    drop_fed_ = true;
    return;
  }
  if (it->second->exchange != 0) exchanges_.erase(it->second->exchange);
  by_age_.erase(it->second->age);
  event_loop_.unwatch(fd);
  close(fd);
  connections_.erase(it);
}

}  // namespace rushtrestle::transport
