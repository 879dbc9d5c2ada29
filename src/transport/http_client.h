// An HTTP/1.1 client on the event loop, with a pool of connections. A connection has one request at
// a time.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "transport/address.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"

namespace rushtrestle::transport {

class HttpClient {
 public:
  /// Status of an answer whose body exceeds the limit and was dropped.
  static constexpr int kReplyTooLarge = -1;
  /// Status 0: no complete and valid answer was received, so the outcome is unknown.
  using Done = std::function<void(int status, std::string&& body)>;
  HttpClient(EventLoop& event_loop, size_t max_connections, size_t body_limit)
      : event_loop_(event_loop), max_connections_(max_connections), body_limit_(body_limit) {}
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
    bool busy = false;
    bool connected = false;
    bool writing = false;
    double last_used = 0;
    Done done;
    EventLoop::TimerId timer = 0;
    Connection(int f, const Address& a, size_t limit)
        : fd(f), to(a), parser(HTTP_RESPONSE, limit) {}
  };
  Connection* acquire(const Address& to);
  void on_event(int fd, uint32_t events);
  void flush(Connection& connection);
  void fail(int fd);
  void close_connection(int fd);
  void finish(Connection& connection, HttpMessage&& answer, bool keep);

  EventLoop& event_loop_;
  size_t max_connections_;
  size_t body_limit_;
  std::unordered_map<int, std::unique_ptr<Connection>> connections_;
  std::map<Address, std::vector<int>> idle_;
};

}  // namespace rushtrestle::transport
