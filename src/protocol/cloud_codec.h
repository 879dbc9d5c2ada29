// Encodes requests to the cloud and decodes its answers. Names on the wire: a machine is a `rig`,
// its type a `breed` (in the list of types a `sku`), a zone a `yard`, spot machines are `loaners`,
// a provisioning request is a `hire`.
#pragma once
#include "protocol/decode_error.h"
#include "protocol/http_call.h"

namespace rushtrestle::protocol {

HttpCall encode_call(const coordination::ListMachineTypes& list);
HttpCall encode_call(const coordination::ProvisionMachines& provision);
HttpCall encode_call(const coordination::DeleteMachines& deletion);
HttpCall encode_call(const coordination::ListMachines& list);

Decoded<coordination::Reply> decode_cloud_reply(ReplyKind kind, const store::Json& json);

}  // namespace rushtrestle::protocol
