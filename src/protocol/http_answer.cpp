#include "protocol/http_answer.h"

#include <utility>

#include "protocol/cbor.h"

namespace rushtrestle::protocol {

HttpAnswer cbor_answer(int status, const store::Json& body, std::string headers) {
  return {status, to_cbor(body), std::move(headers), "application/cbor"};
}

HttpAnswer refusal(int status, const char* why) { return cbor_answer(status, {{"error", why}}); }

HttpAnswer wrong_method(const char* allowed) {
  HttpAnswer answer = refusal(405, "method not allowed");
  answer.headers = std::string("Allow: ") + allowed + "\r\n";
  return answer;
}

}  // namespace rushtrestle::protocol
