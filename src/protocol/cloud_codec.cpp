#include "protocol/cloud_codec.h"

#include <utility>

#include "protocol/cbor.h"
#include "protocol/fields.h"

namespace rushtrestle::protocol {

using namespace coordination;
using store::Json;

namespace {

// Field names and paths of the cloud's protocol.
constexpr const char* kMachines = "rigs";
constexpr const char* kType = "breed";
constexpr const char* kTypes = "breeds";
constexpr const char* kZone = "yard";
constexpr const char* kSpot = "loaners";
constexpr const char* kMore = "hasNext";
constexpr const char* kRentals = "/rentals";

HttpCall get(std::string target) { return {Service::cloud, "", "GET", std::move(target), ""}; }

HttpCall post(std::string target, const Json& body) {
  return {Service::cloud, "", "POST", std::move(target), to_cbor(body)};
}

CloudMachine::State machine_state(const std::string& word) {
  if (word == "booting") return CloudMachine::State::booting;
  if (word == "failed") return CloudMachine::State::failed;
  return CloudMachine::State::running;
}

CloudMachine cloud_machine_from_json(const Json& json) {
  const Fields fields(json);
  CloudMachine machine;
  machine.id = fields.text("id");
  machine.address = fields.find("addr") ? fields.text("addr", EmptyText::allowed) : "";
  machine.type = fields.text(kType);
  machine.zone = fields.text(kZone);
  machine.spot = fields.flag_or(kSpot, false);
  machine.state = machine_state(fields.text("status"));
  machine.age_s = fields.amount_or("ageS", 0);
  return machine;
}

store::MachineType machine_type_from_json(const Json& json) {
  const Fields fields(json);
  store::MachineType type;
  type.name = fields.text("sku");
  type.size = {fields.amount("cores"), fields.amount_or("cards", 0), fields.amount("memoryGb")};
  type.cache_gb = fields.amount_or("localGb", 0);
  type.fetch_gb_per_s = fields.amount_or("pullGbPerS", 1);
  type.price = fields.amount("hourly");
  type.spot_price = fields.amount_or("lowPrice", type.price);
  type.boot_s = fields.amount_or("readyS", 0);
  for (const auto& zone : fields.list("yards")) type.zones.push_back(zone.get<std::string>());
  return type;
}

MachineTypesReply machine_types_reply(const Fields& fields) {
  MachineTypesReply reply;
  for (const auto& type : fields.list(kTypes)) reply.types.push_back(machine_type_from_json(type));
  return reply;
}

ProvisionReply provision_reply(const Fields& fields) {
  ProvisionReply reply;
  for (const auto& machine : fields.list(kMachines))
    reply.machines.push_back(machine.get<std::string>());
  return reply;
}

ListMachinesReply list_machines_reply(const Fields& fields) {
  ListMachinesReply reply;
  for (const auto& machine : fields.list(kMachines))
    reply.machines.push_back(cloud_machine_from_json(machine));
  reply.more = fields.flag_or(kMore, false);
  return reply;
}

}  // namespace

HttpCall encode_call(const ListMachineTypes&) { return get("/flavors"); }

HttpCall encode_call(const ProvisionMachines& provision) {
  return post(kRentals, {{"hire", provision.request},
                         {kType, provision.type},
                         {kZone, provision.zone},
                         {kSpot, provision.spot},
                         {"count", provision.count}});
}

HttpCall encode_call(const DeleteMachines& deletion) {
  return post(std::string(kRentals) + "/delete", {{kMachines, deletion.machines}});
}

HttpCall encode_call(const ListMachines& list) {
  return get(std::string(kRentals) + "?since=" + percent_encode(list.after) + "&page=500");
}

Decoded<Reply> decode_cloud_reply(ReplyKind kind, const Json& json) {
  return catch_decode_errors([&]() -> Reply {
    const Fields fields(json);
    switch (kind) {
      case kKindOf<ListMachineTypes>: return machine_types_reply(fields);
      case kKindOf<ProvisionMachines>: return provision_reply(fields);
      case kKindOf<ListMachines>: return list_machines_reply(fields);
      default: return std::monostate{};
    }
  });
}

}  // namespace rushtrestle::protocol
