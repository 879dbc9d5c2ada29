// Answers to requests over HTTP, and the bodies that several codecs send.
#pragma once
#include <string>

#include "store/json.h"

namespace rushtrestle::protocol {

struct HttpAnswer {
  int status = 500;
  std::string body;
  std::string headers;  // lines, each with its end
  const char* content_type = "application/cbor";
};

HttpAnswer cbor_answer(int status, const store::Json& body, std::string headers = "");
/// An answer whose body says why the request is refused.
HttpAnswer refusal(int status, const char* why);
/// 405 with the method that the path takes.
HttpAnswer wrong_method(const char* allowed);

}  // namespace rushtrestle::protocol
