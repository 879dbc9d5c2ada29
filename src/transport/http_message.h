// An HTTP/1.1 message, and the parser that splits a stream of bytes into messages. Used by the
// server and the client.
#pragma once
#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>

namespace rushtrestle::transport {

/// The parts of a request or an answer that the server and the client use.
struct HttpMessage {
  std::string method;
  std::string target;
  std::string body;
  int status = 0;
  /// Whether the body exceeded the limit and was dropped.
  bool too_large = false;
};

/// Parses received bytes with http-parser and passes on each complete message.
class MessageParser {
 public:
  MessageParser(http_parser_type type, size_t body_limit);
  /// Returns false if the bytes are not valid HTTP. Calls `on_message` for each complete message.
  bool feed(const char* data, size_t size,
            const std::function<void(HttpMessage&&, bool keep_alive)>& on_message);
  /// Tells the parser that the stream has ended, which completes a message without a length.
  bool finish(const std::function<void(HttpMessage&&, bool)>& on_message);
  /// Whether no message is partially received.
  bool idle() const { return !started_; }

 private:
  static int on_url(http_parser* p, const char* at, size_t n);
  static int on_body(http_parser* p, const char* at, size_t n);
  static int on_begin(http_parser* p);
  static int on_complete(http_parser* p);
  static int on_field(http_parser* p, const char* at, size_t n);

  http_parser parser_{};
  http_parser_settings callbacks_{};
  size_t body_limit_, header_bytes_ = 0;
  bool started_ = false;
  HttpMessage current_;
  const std::function<void(HttpMessage&&, bool)>* on_message_ = nullptr;
};

}  // namespace rushtrestle::transport
