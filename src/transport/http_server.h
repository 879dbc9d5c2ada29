// An HTTP/1.1 server on the event loop. Owns its connections; one exchange a connection at a time,
// the next request is read when its answer has left.
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

/// Of a request that waits for its answer.
using ExchangeId = uint64_t;

class HttpServer {
 public:
  using Handler = std::function<void(ExchangeId, HttpMessage&&)>;
  struct Limits {
    size_t connections = 0;
    /// Bytes of a body.
    size_t body = 0;
    /// A connection without a request for so long is closed.
    double idle_s = 0;
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
    bool keep_alive = true;
    bool close_after = false;
    bool writing = false;
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

}  // namespace rushtrestle::transport
