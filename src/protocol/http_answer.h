// Answers to HTTP requests, and the answers that several codecs send.
#pragma once
#include <string>

#include "store/json.h"

namespace rushtrestle::protocol {

struct HttpAnswer {
  int status = 500;
  std::string body;
  std::string headers;  // header lines, each ending with CRLF
  const char* content_type = "application/cbor";
};

HttpAnswer cbor_answer(int status, const store::Json& body, std::string headers = "");
/// Returns an answer whose body holds the reason why the request is rejected.
HttpAnswer error_answer(int status, const char* reason);
/// Returns a 405 answer with the method that the path allows.
HttpAnswer method_not_allowed(const char* allowed);

}  // namespace rushtrestle::protocol
