// Encodes requests to the state store and decodes its answers. Names on the wire: a mod revision is
// a `stamp`, a revision of the whole store an `epoch`, a lease a `tenancy`.
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

/// `key`: the key of a ReadKey, whose answer does not contain the key.
Decoded<coordination::Reply> decode_state_store_reply(ReplyKind kind, const std::string& key,
                                                      int status, const store::Json& json);

}  // namespace rushtrestle::protocol
