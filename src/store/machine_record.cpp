#include "store/machine_record.h"

namespace rushtrestle::store {

namespace {

// Keys of the JSON form of a machine's record.
constexpr const char* kId = "id";
constexpr const char* kAddress = "addr";
constexpr const char* kType = "type";
constexpr const char* kZone = "zone";
constexpr const char* kSpot = "spot";  // machine: whether it is spot; machine type: spot price
constexpr const char* kShard = "part";
constexpr const char* kNextShard = "next";
constexpr const char* kDrain = "drain";
constexpr const char* kPhase = "phase";
constexpr const char* kSince = "at";

// Keys of the JSON form of a machine type.
constexpr const char* kName = "name";
constexpr const char* kCpus = "cpus";
constexpr const char* kGpus = "gpus";
constexpr const char* kMemoryGb = "mem";
constexpr const char* kCacheGb = "cache";
constexpr const char* kFetchGbPerS = "fetch";
constexpr const char* kPrice = "price";
constexpr const char* kBootS = "boot";
constexpr const char* kZones = "zones";

// Key of the record of the machine types.
constexpr const char* kTypes = "types";

}  // namespace

Json to_json(const MachineRecord& record) {
  Json json = {{kId, record.id},
               {kType, record.type},
               {kZone, record.zone},
               {kShard, record.shard},
               {kPhase, static_cast<int>(record.phase)},
               {kSince, record.since}};
  if (!record.address.empty()) json[kAddress] = record.address;
  if (record.spot) json[kSpot] = true;
  if (record.next_shard >= 0) json[kNextShard] = record.next_shard;
  if (record.drain) json[kDrain] = true;
  return json;
}

MachineRecord machine_record_from_json(const Json& json) {
  MachineRecord record;
  record.id = json.at(kId).get<std::string>();
  record.type = json.at(kType).get<std::string>();
  record.zone = json.at(kZone).get<std::string>();
  record.shard = json.at(kShard).get<int>();
  record.phase = enumerator_from_json(json.at(kPhase), MachinePhase::deleted);
  record.since = json.at(kSince).get<double>();
  record.address = get_or<std::string>(json, kAddress, "");
  record.spot = get_or(json, kSpot, false);
  record.next_shard = get_or(json, kNextShard, -1);
  record.drain = get_or(json, kDrain, false);
  return record;
}

Json to_json(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const auto& type : types)
    list.push_back({{kName, type.name},
                    {kCpus, type.size.cpus},
                    {kGpus, type.size.gpus},
                    {kMemoryGb, type.size.memory_gb},
                    {kCacheGb, type.cache_gb},
                    {kFetchGbPerS, type.fetch_gb_per_s},
                    {kPrice, type.price},
                    {kSpot, type.spot_price},
                    {kBootS, type.boot_s},
                    {kZones, type.zones}});
  return list;
}

std::vector<MachineType> types_from_json(const Json& json) {
  std::vector<MachineType> types;
  for (const auto& type : json)
    types.push_back({type.at(kName).get<std::string>(),
                     {type.at(kCpus).get<double>(), type.at(kGpus).get<double>(),
                      type.at(kMemoryGb).get<double>()},
                     type.at(kCacheGb).get<double>(),
                     type.at(kFetchGbPerS).get<double>(),
                     type.at(kPrice).get<double>(),
                     type.at(kSpot).get<double>(),
                     type.at(kBootS).get<double>(),
                     type.at(kZones).get<std::vector<std::string>>()});
  return types;
}

Json types_record_to_json(const std::vector<MachineType>& types) {
  return {{kTypes, to_json(types)}};
}

std::vector<MachineType> types_record_from_json(const Json& json) {
  return types_from_json(json.at(kTypes));
}

}  // namespace rushtrestle::store
