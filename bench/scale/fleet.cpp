#include "fleet.h"

#include <algorithm>
#include <cstdio>

#include "protocol/codec.h"

namespace rushtrestle::scale {

using store::Json;

namespace {

constexpr size_t kCloudConnections = 512;
constexpr double kCloudLatency = 0.2;  // seconds

/// Returns the machine's own address in the loopback range.
std::string machine_address(size_t number) {
  constexpr size_t kHostsPerSubnet = 250;
  return "127.1." + std::to_string(number / kHostsPerSubnet) + "." +
         std::to_string(number % kHostsPerSubnet + 1) + ":17900";
}

}  // namespace

Fleet::Fleet(WorkerContext context)
    : context_(context),
      server_(context_.event_loop, transport::parse_address(kCloudAddress),
              {kCloudConnections, protocol::kBodyLimit, 600},
              [this](transport::ExchangeId exchange, transport::HttpMessage&& m) {
                serve(exchange, m);
              }) {
  rate_limiter_.set_rate(context_.experiment.platform.cloud_rps);
  const auto& zones = context_.experiment.platform.zones;
  for (const auto& pool : context_.experiment.pools)
    for (int i = 0; i < pool.up_at_start; ++i)
      add_machine(pool, zones[static_cast<size_t>(i) % zones.size()], false, 0);
}

std::string Fleet::add_machine(const MachinePool& pool, const std::string& zone, bool spot,
                               double boot_s) {
  char id[16];
  std::snprintf(id, sizeof id, "n-%06zu", machines_.size() + 1);
  RentedMachine& machine = machines_[id];
  machine.since = context_.event_loop.now();
  machine.up_at = context_.event_loop.now() + boot_s;
  machine.worker = std::make_unique<HollowWorker>(context_, id, machine_address(machines_.size()),
                                                  pool.type, zone, spot);
  context_.event_loop.after(boot_s, [this, &machine] {
    if (machine.gone) return;
    machine.worker->boot();
    most_up_ = std::max(most_up_, up());
  });
  return id;
}

size_t Fleet::up() const {
  return static_cast<size_t>(std::count_if(machines_.begin(), machines_.end(),
                                           [](const auto& m) { return m.second.worker->up(); }));
}

int Fleet::in_use(const std::string& type, const std::string& zone) const {
  return static_cast<int>(std::count_if(machines_.begin(), machines_.end(), [&](const auto& m) {
    return !m.second.gone && m.second.worker->type().name == type &&
           m.second.worker->zone() == zone;
  }));
}

void Fleet::serve(transport::ExchangeId exchange, const transport::HttpMessage& m) {
  const auto answer = [this, exchange](int status, const Json& body) {
    context_.event_loop.after(kCloudLatency,
                              [this, exchange, status, text = protocol::to_cbor(body)] {
                                server_.answer(exchange, status, text, "application/cbor");
                              });
  };
  if (!rate_limiter_.ready(context_.event_loop.now())) return answer(429, Json::object());
  rate_limiter_.take(1);
  if (m.target == "/flavors") return answer(200, machine_types());
  if (m.method == "GET") return answer(200, list_machines(m.target));
  const auto body = protocol::parse_cbor(m.body);
  if (!body) return answer(400, Json::object());
  if (m.target == "/rentals") {
    const auto rented = rent_machines(*body);
    return rented.empty() ? answer(503, {{"error", "no capacity"}})
                          : answer(200, {{"rigs", rented}});
  }
  delete_machines(*body);
  answer(200, Json::object());
}

Json Fleet::machine_types() const {
  Json types = Json::array();
  for (const auto& pool : context_.experiment.pools)
    types.push_back({{"sku", pool.type.name},
                     {"cores", pool.type.size.cpus},
                     {"cards", pool.type.size.gpus},
                     {"memoryGb", pool.type.size.memory_gb},
                     {"localGb", pool.type.cache_gb},
                     {"pullGbPerS", pool.type.fetch_gb_per_s},
                     {"hourly", pool.type.price},
                     {"lowPrice", pool.type.spot_price},
                     {"readyS", pool.type.boot_s},
                     {"yards", pool.type.zones}});
  return {{"breeds", std::move(types)}};
}

Json Fleet::list_machines(const std::string& target) const {
  constexpr size_t kPageSize = 500;
  const auto at = target.find("since=");
  const std::string after =
      at == std::string::npos ? "" : target.substr(at + 6, target.find('&', at) - at - 6);
  Json machines = Json::array();
  bool more = false;
  const double seen_at = context_.event_loop.now() - context_.experiment.platform.list_lag_s;
  for (auto it = machines_.upper_bound(after); it != machines_.end() && !more; ++it) {
    const RentedMachine& m = it->second;
    // Machines without boot time are up at the start and count as rented long before.
    const bool listed = m.since <= seen_at || m.since == m.up_at;
    if (!listed || (m.gone && m.gone_at <= seen_at)) continue;
    if (machines.size() == kPageSize) {
      more = true;
      continue;
    }
    machines.push_back({{"id", it->first},
                        {"addr", m.worker->address()},
                        {"breed", m.worker->type().name},
                        {"yard", m.worker->zone()},
                        {"loaners", m.worker->spot()},
                        {"status", m.up_at <= seen_at ? "running" : "booting"},
                        {"ageS", std::max(0.0, seen_at - m.since)}});
  }
  return {{"rigs", std::move(machines)}, {"hasNext", more}};
}

std::vector<std::string> Fleet::rent_machines(const Json& request) {
  auto& granted = granted_[request.at("hire")];
  if (!granted.empty()) return granted;
  const std::string type = request.at("breed"), zone = request.at("yard");
  constexpr int kMaxPerRequest = 50;  // machines in one request, by the protocol
  const int count = std::min(kMaxPerRequest, request.at("count").get<int>());
  for (const auto& pool : context_.experiment.pools) {
    if (pool.type.name != type) continue;
    const int free = pool.capacity - in_use(type, zone);
    for (int i = 0; i < std::min(count, free); ++i)
      granted.push_back(add_machine(
          pool, zone, request.at("loaners"),
          pool.type.boot_s * std::uniform_real_distribution<>(0.6, 1.5)(context_.random)));
  }
  return granted;
}

void Fleet::delete_machines(const Json& request) {
  for (const auto& id : request.at("rigs")) {
    const auto it = machines_.find(id);
    if (it == machines_.end() || it->second.gone) continue;
    it->second.worker->stop();
    it->second.gone = true;
    it->second.gone_at = context_.event_loop.now();
  }
}

void Fleet::inject_fault(const Fault& fault) {
  for (auto& [id, m] : machines_) {
    HollowWorker& worker = *m.worker;
    const bool selected = worker.up() && (fault.zone.empty() || worker.zone() == fault.zone);
    if (!selected || std::uniform_real_distribution<>(0, 1)(context_.random) >= fault.share)
      continue;
    switch (fault.kind) {
      case FaultKind::kill_workers: worker.stop(); break;
      case FaultKind::cut_workers: worker.disconnect(fault.for_s); break;
      case FaultKind::restart_workers: worker.restart(fault.for_s); break;
      case FaultKind::kill_controllers: break;
    }
  }
}

WorkerTraffic Fleet::traffic() const {
  WorkerTraffic all;
  for (const auto& [id, m] : machines_) {
    const auto& t = m.worker->traffic();
    all.reports += t.reports;
    all.commands += t.commands;
    all.bytes_sent += t.bytes_sent;
    all.bytes_received += t.bytes_received;
    all.leases_lapsed += t.leases_lapsed;
    all.tasks_killed_by_lease += t.tasks_killed_by_lease;
  }
  return all;
}

double Fleet::seconds_up() const {
  double sum = 0;
  for (const auto& [id, m] : machines_)
    if (m.up_at < context_.event_loop.now())
      sum += (m.gone ? std::max(m.gone_at, m.up_at) : context_.event_loop.now()) - m.up_at;
  return sum;
}

}  // namespace rushtrestle::scale
