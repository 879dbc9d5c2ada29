#include "transport/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>

namespace rushtrestle::transport {

namespace {
// A request line and its headers are short; whoever sends more is not one of ours.
constexpr size_t kHeaderLimit = size_t{8} * 1024;
// Connections that wait to be accepted.
constexpr size_t kLeastWaiting = 256;

sockaddr_in to_sockaddr(const Address& a) {
  sockaddr_in s{};
  s.sin_family = AF_INET;
  s.sin_addr.s_addr = a.ip;
  s.sin_port = htons(a.port);
  return s;
}

void no_delay(int fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

enum class Sent { all, some, broken };
Sent send_out(int fd, std::string& out, size_t& sent) {
  while (sent < out.size()) {
    const ssize_t n = send(fd, out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
    if (n < 0) {
      if (errno == EINTR) continue;
      return errno == EAGAIN || errno == EWOULDBLOCK ? Sent::some : Sent::broken;
    }
    sent += static_cast<size_t>(n);
  }
  out.clear();
  sent = 0;
  return Sent::all;
}

enum class Got { data, nothing, closed };
Got receive(int fd, std::array<char, 16384>& buffer, size_t& size) {
  const ssize_t n = recv(fd, buffer.data(), buffer.size(), 0);
  if (n > 0) {
    size = static_cast<size_t>(n);
    return Got::data;
  }
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return Got::nothing;
  return Got::closed;
}

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

std::string text_of(const Address& address) {
  in_addr ip{};
  ip.s_addr = address.ip;
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &ip, text, sizeof text);
  return std::string(text) + ":" + std::to_string(address.port);
}

Address parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  Address a;
  in_addr ip{};
  unsigned port = 0;
  const char* end = text.data() + text.size();
  if (colon == std::string::npos || inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) != 1)
    throw std::invalid_argument("'" + text + "' is not an address of the form a.b.c.d:port");
  const auto [p, ec] = std::from_chars(text.data() + colon + 1, end, port);
  if (ec != std::errc{} || p != end || port == 0 || port > 65535)
    throw std::invalid_argument("'" + text + "' has no valid port");
  a.ip = ip.s_addr;
  a.port = static_cast<uint16_t>(port);
  return a;
}

// ---- parser ----

MessageParser::MessageParser(http_parser_type type, size_t body_limit) : limit_(body_limit) {
  http_parser_init(&parser_, type);
  parser_.data = this;
  http_parser_settings_init(&callbacks_);
  callbacks_.on_message_begin = on_begin;
  callbacks_.on_url = on_url;
  callbacks_.on_header_field = on_field;
  callbacks_.on_header_value = on_field;
  callbacks_.on_body = on_body;
  callbacks_.on_message_complete = on_complete;
}

int MessageParser::on_begin(http_parser* p) {
  auto& self = *static_cast<MessageParser*>(p->data);
  self.started_ = true;
  self.header_bytes_ = 0;
  self.current_ = HttpMessage{};
  return 0;
}
int MessageParser::on_field(http_parser* p, const char*, size_t n) {
  auto& self = *static_cast<MessageParser*>(p->data);
  return (self.header_bytes_ += n) > kHeaderLimit ? 1 : 0;
}
int MessageParser::on_url(http_parser* p, const char* at, size_t n) {
  auto& self = *static_cast<MessageParser*>(p->data);
  self.current_.target.append(at, n);
  return self.current_.target.size() > kHeaderLimit ? 1 : 0;
}
int MessageParser::on_body(http_parser* p, const char* at, size_t n) {
  auto& self = *static_cast<MessageParser*>(p->data);
  // Too much is counted, not kept, so that the sender still gets its answer.
  if (self.current_.body.size() + n > self.limit_) {
    self.current_.too_large = true;
    self.current_.body.clear();
  } else if (!self.current_.too_large) {
    self.current_.body.append(at, n);
  }
  return 0;
}
int MessageParser::on_complete(http_parser* p) {
  auto& self = *static_cast<MessageParser*>(p->data);
  self.started_ = false;
  self.current_.status = static_cast<int>(p->status_code);
  if (p->type == HTTP_REQUEST)
    self.current_.method = http_method_str(static_cast<http_method>(p->method));
  (*self.sink_)(std::move(self.current_), http_should_keep_alive(p) != 0);
  self.current_ = HttpMessage{};
  return 0;
}

bool MessageParser::feed(const char* data, size_t size,
                         const std::function<void(HttpMessage&&, bool)>& on_message) {
  sink_ = &on_message;
  const size_t used = http_parser_execute(&parser_, &callbacks_, data, size);
  return used == size && parser_.http_errno == HPE_OK && parser_.upgrade == 0;
}

bool MessageParser::finish(const std::function<void(HttpMessage&&, bool)>& on_message) {
  sink_ = &on_message;
  return http_parser_execute(&parser_, &callbacks_, nullptr, 0) == 0 &&
         parser_.http_errno == HPE_OK;
}

// ---- server ----

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
  std::array<char, 16384> buffer;  // NOLINT(cppcoreguidelines-pro-type-member-init): clearing it
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

// ---- client ----

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
  std::array<char, 16384> buffer;  // NOLINT(cppcoreguidelines-pro-type-member-init): clearing it
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
