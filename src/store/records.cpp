#include "store/records.h"

namespace rushtrestle::store {

namespace {

// Keys of the JSON form of a lease holder's record.
constexpr const char* kNode = "node";
constexpr const char* kIncarnation = "inc";
// Key of the record format.
constexpr const char* kReadsFormat = "reads";

}  // namespace

Json to_json(const LeaseHolderRecord& record) {
  return {{kNode, record.node}, {kIncarnation, record.incarnation}};
}

LeaseHolderRecord lease_holder_from_json(const Json& json) {
  return {json.at(kNode).get<std::string>(), json.at(kIncarnation).get<std::string>()};
}

Json record_format_to_json(uint64_t format) { return {{kReadsFormat, format}}; }

uint64_t record_format_from_json(const Json& json) { return json.at(kReadsFormat).get<uint64_t>(); }

}  // namespace rushtrestle::store
