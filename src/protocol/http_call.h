// HTTP requests that this controller sends, and ReplyKind, which selects the decoder of an answer.
#pragma once
#include <string>
#include <type_traits>
#include <variant>

#include "coordination/runtime/messages.h"

namespace rushtrestle::protocol {

/// The recipient of a request.
enum class Service { state, cloud, worker, peer };

struct HttpCall {
  Service service;
  std::string address;  // of a worker or a peer; empty for the other services
  std::string method;
  std::string target;
  std::string body;
  const char* content_type = "application/cbor";
};

/// The type of the call that an answer belongs to, as the index of its alternative in CallBody.
/// `decode_reply` needs it to choose the decoder.
using ReplyKind = size_t;

template <class CallType, class... Types>
constexpr ReplyKind alternative_index(std::type_identity<std::variant<Types...>>) {
  ReplyKind index = 0;
  (void)((std::is_same_v<CallType, Types> || (++index, false)) || ...);
  return index;
}

/// The ReplyKind of the answers to a type of call.
template <class CallType>
inline constexpr ReplyKind kKindOf =
    alternative_index<CallType>(std::type_identity<coordination::CallBody>{});

/// Percent-encodes a name for a path or a query. Keeps letters, digits and `-_./~`.
std::string percent_encode(const std::string& text);

}  // namespace rushtrestle::protocol
