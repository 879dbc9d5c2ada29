// HTTP/1.1 over the loop: a server and a pooling client, parsed by http-parser.
#pragma once
#include <http_parser.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "transport/event_loop.h"

namespace rushtrestle::transport {

struct Address {
  uint32_t ip = 0;  // network byte order
  uint16_t port = 0;
  bool operator<(const Address& o) const { return ip != o.ip ? ip < o.ip : port < o.port; }
};
/// Throws std::invalid_argument for anything but "a.b.c.d:port".
Address parse_address(const std::string& text);
/// "a.b.c.d:port".
std::string text_of(const Address& address);

/// The parts of one message that both directions need.
struct HttpMessage {
  std::string method, target, body;
  int status = 0;
  bool too_large = false;
};

/// Feeds bytes to http-parser and hands out whole messages.
class MessageParser {
 public:
  MessageParser(http_parser_type type, size_t body_limit);
  /// False when the bytes are not HTTP. `on_message` runs per whole message.
  bool feed(const char* data, size_t size,
            const std::function<void(HttpMessage&&, bool keep_alive)>& on_message);
  bool finish(const std::function<void(HttpMessage&&, bool)>& on_message);
  bool idle() const { return !started_; }

 private:
  static int on_url(http_parser* p, const char* at, size_t n);
  static int on_body(http_parser* p, const char* at, size_t n);
  static int on_begin(http_parser* p);
  static int on_complete(http_parser* p);
  static int on_field(http_parser* p, const char* at, size_t n);

  http_parser parser_{};
  http_parser_settings callbacks_{};
  size_t limit_, header_bytes_ = 0;
  bool started_ = false;
  HttpMessage current_;
  const std::function<void(HttpMessage&&, bool)>* sink_ = nullptr;
};

using ExchangeId = uint64_t;

class HttpServer {
 public:
  using Handler = std::function<void(ExchangeId, HttpMessage&&)>;
  struct Limits {
    size_t connections, body;
    double idle_s;
  };
  HttpServer(EventLoop& event_loop, const Address& at, Limits limits, Handler handler);
  ~HttpServer();
  /// `extra` holds whole header lines. Answers to exchanges that are gone are dropped.
  void answer(ExchangeId id, int status, const std::string& body, const char* content_type,
              const std::string& extra = "");
  size_t open_connections() const { return connections_.size(); }

 private:
  struct Connection {
    int fd;
    MessageParser parser;
    std::string out;
    size_t sent = 0;
    ExchangeId exchange = 0;  // the one being answered, 0 when idle
    bool keep_alive = true, close_after = false, writing = false;
    double last_used = 0;
    std::list<int>::iterator age;
    Connection(int f, size_t limit) : fd(f), parser(HTTP_REQUEST, limit) {}
  };
  void accept_all();
  void on_event(int fd, uint32_t events);
  void flush(Connection& c);
  void drop(int fd);
  void sweep();

  EventLoop& event_loop_;
  Limits limits_;
  Handler handler_;
  int listener_ = -1;
  int feeding_ = -1;  // its parser is running: dropped only afterwards
  bool drop_fed_ = false;
  ExchangeId next_ = 1;
  std::unordered_map<int, std::unique_ptr<Connection>> connections_;
  std::unordered_map<ExchangeId, int> exchanges_;
  std::list<int> by_age_;  // least recently used first
  EventLoop::TimerId sweep_timer_ = 0;
};

class HttpClient {
 public:
  /// status 0: no (whole, valid) answer came, so the outcome is unknown.
  using Done = std::function<void(int status, std::string&& body)>;
  HttpClient(EventLoop& event_loop, size_t max_connections, size_t body_limit)
      : event_loop_(event_loop), max_(max_connections), body_limit_(body_limit) {}
  ~HttpClient();
  void request(const Address& to, const std::string& method, const std::string& target,
               const std::string& body, const char* content_type, double timeout_s, Done done);

 private:
  struct Connection {
    int fd;
    Address to;
    MessageParser parser;
    std::string out;
    size_t sent = 0;
    bool busy = false, connected = false, writing = false;
    double last_used = 0;
    Done done;
    EventLoop::TimerId timer = 0;
    Connection(int f, const Address& a, size_t limit)
        : fd(f), to(a), parser(HTTP_RESPONSE, limit) {}
  };
  Connection* acquire(const Address& to);
  void on_event(int fd, uint32_t events);
  void flush(Connection& c);
  void fail(int fd);
  void close_one(int fd);
  void finish(Connection& c, int status, std::string&& body, bool keep);

  EventLoop& event_loop_;
  size_t max_, body_limit_;
  std::unordered_map<int, std::unique_ptr<Connection>> connections_;
  std::map<Address, std::vector<int>> idle_;
};

}  // namespace rushtrestle::transport
