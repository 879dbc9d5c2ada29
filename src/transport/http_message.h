// One HTTP/1.1 message, and the parser that cuts a stream of bytes into messages. Used by server
// and client alike.
#pragma once
#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>

namespace rushtrestle::transport {

/// The parts of one message that both directions need.
struct HttpMessage {
  std::string method;
  std::string target;
  std::string body;
  int status = 0;
  /// The body was over the limit and is not kept.
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

}  // namespace rushtrestle::transport
