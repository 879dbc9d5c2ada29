// Requests to the state service, the cloud, workers and peers, and the answers to them.
#include "protocol/codec_internal.h"

namespace rushtrestle::protocol {

using namespace coordination;
using store::Json;

namespace {

store::Change change_from_entry(const Json& j) {
  const Fields f(j);
  return {f.need("k").get<std::string>(), f.need("v"), f.count("stamp")};
}

CloudMachine cloud_machine(const Json& j) {
  const Fields f(j);
  CloudMachine m;
  m.id = f.text("id");
  m.address = f.find("addr") ? f.text("addr", true) : "";
  m.type = f.text("breed");
  m.zone = f.text("yard");
  m.spot = f.flag_or("loaners", false);
  const std::string status = f.text("status");
  m.state = status == "booting"  ? CloudMachine::State::booting
            : status == "failed" ? CloudMachine::State::failed
                                 : CloudMachine::State::running;
  m.age_s = f.amount_or("ageS", 0);
  return m;
}

store::MachineType machine_type(const Json& j) {
  const Fields f(j);
  store::MachineType t;
  t.name = f.text("sku");
  t.size = {f.amount("cores"), f.amount_or("cards", 0), f.amount("memoryGb")};
  t.cache_gb = f.amount_or("localGb", 0);
  t.fetch_gb_per_s = f.amount_or("pullGbPerS", 1);
  t.price = f.amount("hourly");
  t.spot_price = f.amount_or("lowPrice", t.price);
  t.boot_s = f.amount_or("readyS", 0);
  for (const auto& z : f.list("yards")) t.zones.push_back(z.get<std::string>());
  return t;
}

std::string percent_encode(const std::string& s) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const unsigned char c : s) {
    if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/' || c == '~') {
      out += static_cast<char>(c);
    } else {
      out += '%';
      out += kHex[c >> 4];
      out += kHex[c & 15];
    }
  }
  return out;
}

std::string milliseconds(double s) { return std::to_string(static_cast<int64_t>(s * 1000)); }

/// The request for each kind of call.
struct CallEncoder {
  HttpCall operator()(const Txn& t) const {
    Json preconditions = Json::array(), writes = Json::array();
    for (const auto& c : t.preconditions)
      preconditions.push_back({{"k", c.key}, {"stamp", c.mod_revision}});
    for (const auto& w : t.writes) {
      if (!w.value) {
        writes.push_back({{"delete", w.key}});
        continue;
      }
      Json put = {{"put", w.key}, {"v", *w.value}};
      if (w.lease != 0) put["tenancy"] = w.lease;
      writes.push_back(std::move(put));
    }
    return state("POST", "/txn", {{"if", std::move(preconditions)}, {"then", std::move(writes)}});
  }
  HttpCall operator()(const ReadKey& r) const {
    return {Service::state, "", "GET", "/store/" + percent_encode(r.key), ""};
  }
  HttpCall operator()(const ListKeys& r) const {
    std::string target = "/store?page=200&starts=" + percent_encode(r.prefix);
    if (!r.after.empty()) target += "&since=" + percent_encode(r.after);
    return {Service::state, "", "GET", target, ""};
  }
  HttpCall operator()(const GrantLease& l) const {
    return state("POST", "/leases", {{"ttlMs", static_cast<int64_t>(l.ttl_s * 1000)}});
  }
  HttpCall operator()(const RenewLease& l) const {
    return state("POST", "/leases/" + std::to_string(l.lease) + "/extend", Json::object());
  }
  HttpCall operator()(const Watch& w) const {
    return {
        Service::state, "", "GET",
        "/follow?starts=&since=" + std::to_string(w.since) + "&holdMs=" + milliseconds(w.hold_s),
        ""};
  }
  HttpCall operator()(const ListMachineTypes&) const {
    return {Service::cloud, "", "GET", "/flavors", ""};
  }
  HttpCall operator()(const ProvisionMachines& r) const {
    return cloud("/rentals", {{"hire", r.request},
                              {"breed", r.type},
                              {"yard", r.zone},
                              {"loaners", r.spot},
                              {"count", r.count}});
  }
  HttpCall operator()(const DeleteMachines& d) const {
    return cloud("/rentals/delete", {{"rigs", d.machines}});
  }
  HttpCall operator()(const ListMachines& l) const {
    return {Service::cloud, "", "GET", "/rentals?since=" + percent_encode(l.after) + "&page=500",
            ""};
  }
  HttpCall operator()(const PushCommands& c) const {
    return {Service::worker, c.address, "POST", "/commands",
            to_cbor({{"baton", c.fencing_token},
                     {"shift", c.agent_epoch},
                     {"orders", commands_json(c.commands)}})};
  }
  HttpCall operator()(const SendPeerState& p) const {
    return peer(p.address, "/peer", peer_json(p.state));
  }
  HttpCall operator()(const ForwardHeartbeat& r) const {
    return peer(r.address, "/relay", heartbeat_json(r.heartbeat));
  }
  static HttpCall peer(const std::string& address, const char* target, const Json& body) {
    return {Service::peer,
            address,
            "POST",
            target,
            body.dump(-1, ' ', false, Json::error_handler_t::replace),
            "application/json"};
  }
  static HttpCall state(const char* method, std::string target, const Json& body) {
    return {Service::state, "", method, std::move(target), to_cbor(body)};
  }
  static HttpCall cloud(std::string target, const Json& body) {
    return {Service::cloud, "", "POST", std::move(target), to_cbor(body)};
  }
};

template <class T>
constexpr size_t kind_of() {
  return CallBody(T{}).index();
}

TxnReply txn_reply(const Fields& f, int status) {
  TxnReply r;
  r.revision = f.count("epoch");
  if (status == 409)
    for (const auto& k : f.list("failed")) r.failed.push_back(k.get<std::string>());
  return r;
}

KeyReply key_reply(const Fields& f, const std::string& key, int status) {
  KeyReply r;
  if (status == 404) {
    r.revision = f.count("epoch");
  } else {
    r.entry = store::Change{key, f.need("v"), f.count("stamp")};
    r.revision = r.entry->mod_revision;
  }
  return r;
}

ListKeysReply list_keys_reply(const Fields& f) {
  ListKeysReply r;
  for (const auto& e : f.list("entries")) r.entries.push_back(change_from_entry(e));
  r.more = f.flag_or("hasNext", false);
  r.revision = f.count("epoch");
  return r;
}

WatchReply watch_reply(const Fields& f) {
  WatchReply r;
  r.revision = f.count("epoch");
  for (const auto& e : f.list("log")) {
    const Fields event(e);
    if (event.find("put")) {
      r.events.push_back(
          {event.need("put").get<std::string>(), event.need("v"), event.count("stamp")});
    } else {
      r.events.push_back(
          {event.need("delete").get<std::string>(), std::nullopt, event.count("stamp")});
    }
  }
  return r;
}

MachineTypesReply machine_types_reply(const Fields& f) {
  MachineTypesReply r;
  for (const auto& t : f.list("breeds")) r.types.push_back(machine_type(t));
  return r;
}

ProvisionReply provision_reply(const Fields& f) {
  ProvisionReply r;
  for (const auto& m : f.list("rigs")) r.machines.push_back(m.get<std::string>());
  return r;
}

ListMachinesReply list_machines_reply(const Fields& f) {
  ListMachinesReply r;
  for (const auto& m : f.list("rigs")) r.machines.push_back(cloud_machine(m));
  r.more = f.flag_or("hasNext", false);
  return r;
}

Heartbeat worker_reply(const Json& j) {
  auto heartbeat = decode_heartbeat(j);
  if (!heartbeat) throw Invalid{};
  return std::move(*heartbeat);
}

Reply decode_body(ReplyKind kind, const std::string& key, int status, const Json& j) {
  const Fields f(j);
  if (kind == kind_of<Txn>()) return txn_reply(f, status);
  if (kind == kind_of<ReadKey>()) return key_reply(f, key, status);
  if (kind == kind_of<ListKeys>()) return list_keys_reply(f);
  if (kind == kind_of<GrantLease>()) return LeaseReply{f.count("tenancy")};
  if (kind == kind_of<Watch>()) return watch_reply(f);
  if (kind == kind_of<ListMachineTypes>()) return machine_types_reply(f);
  if (kind == kind_of<ProvisionMachines>()) return provision_reply(f);
  if (kind == kind_of<ListMachines>()) return list_machines_reply(f);
  if (kind == kind_of<PushCommands>()) return worker_reply(j);
  return std::monostate{};
}

}  // namespace

HttpCall encode(const Call& call) { return std::visit(CallEncoder{}, call.body); }

CallDone decode_reply(CallId id, ReplyKind kind, const std::string& key, int status,
                      const std::string& body) {
  CallDone done{id, status, {}};
  if (kind == kind_of<RenewLease>() || kind == kind_of<DeleteMachines>()) return done;
  const bool has_body =
      status == 200 ||
      (status == 409 && (kind == kind_of<Txn>() || kind == kind_of<PushCommands>())) ||
      (status == 404 && kind == kind_of<ReadKey>());
  if (!has_body) return done;
  if (kind == kind_of<SendPeerState>() || kind == kind_of<ForwardHeartbeat>()) {
    const Json j = Json::parse(body, nullptr, false);
    auto reply = j.is_discarded() ? std::nullopt : guarded([&] {
      return kind == kind_of<SendPeerState>() ? Reply{peer_from_json(j)}
                                              : Reply{heartbeat_response_from_json(j)};
    });
    if (reply) {
      done.reply = std::move(*reply);
    } else {
      done.status = 0;
    }
    return done;
  }
  const auto j = read_cbor(body);
  auto reply = j ? guarded([&] { return decode_body(kind, key, status, *j); }) : std::nullopt;
  // An answer that can't be read says nothing about the outcome.
  if (reply) {
    done.reply = std::move(*reply);
  } else {
    done.status = 0;
  }
  return done;
}

}  // namespace rushtrestle::protocol
