// Requests that this controller sends, and what it has to remember to read the answers.
#pragma once
#include <string>
#include <type_traits>
#include <variant>

#include "coordination/runtime/messages.h"

namespace rushtrestle::protocol {

/// Who is asked.
enum class Service { state, cloud, worker, peer };

struct HttpCall {
  Service service;
  std::string address;  // of a worker or a peer
  std::string method;
  std::string target;
  std::string body;
  const char* content_type = "application/cbor";
};

/// What `decode_reply` needs to know of the call it answers: the index of the alternative in
/// CallBody.
using ReplyKind = size_t;

template <class CallType, class... Types>
constexpr ReplyKind index_among(std::type_identity<std::variant<Types...>>) {
  ReplyKind index = 0;
  (void)((std::is_same_v<CallType, Types> || (++index, false)) || ...);
  return index;
}

/// The kind of the answers to a type of call.
template <class CallType>
inline constexpr ReplyKind kKindOf =
    index_among<CallType>(std::type_identity<coordination::CallBody>{});

/// For names in paths and queries.
std::string percent_encode(const std::string& text);

}  // namespace rushtrestle::protocol
