// Requests to the state store, and its answers. Words: a mod revision is its `stamp`, a revision of
// the whole store its `epoch`, a lease its `tenancy`.
#pragma once
#include "protocol/decode_error.h"
#include "protocol/http_call.h"

namespace rushtrestle::protocol {

HttpCall encode_call(const coordination::Txn& txn);
HttpCall encode_call(const coordination::ReadKey& read);
HttpCall encode_call(const coordination::ListKeys& list);
HttpCall encode_call(const coordination::GrantLease& grant);
HttpCall encode_call(const coordination::RenewLease& renewal);
HttpCall encode_call(const coordination::Watch& watch);

/// `key`: of a ReadKey, whose answer does not name it.
Decoded<coordination::Reply> decode_state_store_reply(ReplyKind kind, const std::string& key,
                                                      int status, const store::Json& json);

}  // namespace rushtrestle::protocol
