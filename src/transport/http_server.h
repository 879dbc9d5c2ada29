// An HTTP/1.1 server on the event loop. Owns its connections. A connection has one exchange at a
// time; a connection that sends the next request before the answer is closed.
#pragma once
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "transport/address.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"

namespace rushtrestle::transport {

/// Identifies a request that waits for its answer.
using ExchangeId = uint64_t;

class HttpServer {
 public:
  using Handler = std::function<void(ExchangeId, HttpMessage&&)>;
  struct Limits {
    size_t connections = 0;
    /// Maximum size of a request's body, in bytes.
    size_t body = 0;
    /// Seconds without received data after which a connection is closed.
    double idle_s = 0;
  };
  HttpServer(EventLoop& event_loop, const Address& at, Limits limits, Handler handler);
  ~HttpServer();
  /// Sends the answer to a request; does nothing if the connection is closed. `extra_headers` holds
  /// complete header lines.
  void answer(ExchangeId id, int status, const std::string& body, const char* content_type,
              const std::string& extra_headers = "");
  size_t open_connections() const { return connections_.size(); }

 private:
  struct Connection {
    int fd;
    MessageParser parser;
    std::string out;
    size_t sent = 0;
    ExchangeId exchange = 0;  // the request that waits for its answer; 0 if there is none
    bool keep_alive = true;
    bool close_after = false;
    bool writing = false;
    double last_used = 0;
    std::list<int>::iterator last_use_position;
    Connection(int f, size_t limit) : fd(f), parser(HTTP_REQUEST, limit) {}
  };
  void accept_all();
  void on_event(int fd, uint32_t events);
  void flush(Connection& connection);
  /// Closes a connection, or defers that until its parser has returned.
  void close_connection(int fd);
  void close_idle_connections();

  EventLoop& event_loop_;
  Limits limits_;
  Handler handler_;
  int listener_ = -1;
  int parsing_fd_ = -1;  // the connection whose parser is running; -1: none
  bool close_after_parsing_ = false;
  ExchangeId next_exchange_ = 1;
  std::unordered_map<int, std::unique_ptr<Connection>> connections_;
  std::unordered_map<ExchangeId, int> exchanges_;
  std::list<int> by_last_use_;  // least recently used first
  EventLoop::TimerId idle_timer_ = 0;
};

}  // namespace rushtrestle::transport
