#include "transport/http_message.h"

#include <algorithm>
#include <utility>

namespace rushtrestle::transport {

namespace {
// Maximum size of the target and of the headers, in bytes each. The clients of this protocol send
// short ones.
constexpr size_t kHeaderLimit = size_t{8} * 1024;
}  // namespace

MessageParser::MessageParser(http_parser_type type, size_t body_limit) : body_limit_(body_limit) {
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
  // A body over the limit is read but not kept, so that the sender still gets an answer.
  if (self.current_.body.size() + n > self.body_limit_) {
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
  (*self.on_message_)(std::move(self.current_), http_should_keep_alive(p) != 0);
  self.current_ = HttpMessage{};
  return 0;
}

bool MessageParser::feed(const char* data, size_t size,
                         const std::function<void(HttpMessage&&, bool)>& on_message) {
  on_message_ = &on_message;
  const size_t used = http_parser_execute(&parser_, &callbacks_, data, size);
  return used == size && parser_.http_errno == HPE_OK && parser_.upgrade == 0;
}

bool MessageParser::finish(const std::function<void(HttpMessage&&, bool)>& on_message) {
  on_message_ = &on_message;
  return http_parser_execute(&parser_, &callbacks_, nullptr, 0) == 0 &&
         parser_.http_errno == HPE_OK;
}

}  // namespace rushtrestle::transport
