#include "protocol/http_answer.h"

#include <utility>

#include "protocol/cbor.h"

namespace rushtrestle::protocol {

HttpAnswer cbor_answer(int status, const store::Json& body, std::string headers) {
  return {status, to_cbor(body), std::move(headers), "application/cbor"};
}

HttpAnswer error_answer(int status, const char* reason) {
  return cbor_answer(status, {{"error", reason}});
}

HttpAnswer method_not_allowed(const char* allowed) {
  HttpAnswer answer = error_answer(405, "method not allowed");
  answer.headers = std::string("Allow: ") + allowed + "\r\n";
  return answer;
}

}  // namespace rushtrestle::protocol
