#include "fleet.h"

#include <algorithm>
#include <cstdio>

#include "protocol/codec.h"

namespace rushtrestle::scale {

using store::Json;

namespace {

constexpr size_t kCloudConnections = 512;
constexpr double kCloudLatency = 0.2;  // seconds

/// Each machine has an address of its own in the loopback range.
std::string machine_address(size_t number) {
  constexpr size_t kHostsOfNet = 250;
  return "127.1." + std::to_string(number / kHostsOfNet) + "." +
         std::to_string(number % kHostsOfNet + 1) + ":17900";
}

}  // namespace

Fleet::Fleet(WorkerSurroundings surroundings)
    : at_(surroundings),
      server_(at_.event_loop, transport::parse_address(kCloudAddress),
              {kCloudConnections, protocol::kBodyLimit, 600},
              [this](transport::ExchangeId exchange, transport::HttpMessage&& m) {
                serve(exchange, m);
              }) {
  rate_.set_rate(at_.experiment.platform.cloud_rps);
  const auto& zones = at_.experiment.platform.zones;
  for (const auto& pool : at_.experiment.pools)
    for (int i = 0; i < pool.up_at_start; ++i)
      add(pool, zones[static_cast<size_t>(i) % zones.size()], false, 0);
}

std::string Fleet::add(const MachinePool& pool, const std::string& zone, bool spot, double boot_s) {
  char id[16];
  std::snprintf(id, sizeof id, "n-%06zu", machines_.size() + 1);
  Rented& machine = machines_[id];
  machine.since = at_.event_loop.now();
  machine.up_at = at_.event_loop.now() + boot_s;
  machine.worker = std::make_unique<HollowWorker>(at_, id, machine_address(machines_.size()),
                                                  pool.type, zone, spot);
  at_.event_loop.after(boot_s, [this, &machine] {
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
    at_.event_loop.after(kCloudLatency, [this, exchange, status, text = protocol::to_cbor(body)] {
      server_.answer(exchange, status, text, "application/cbor");
    });
  };
  if (!rate_.ready(at_.event_loop.now())) return answer(429, Json::object());
  rate_.take(1);
  if (m.target == "/flavors") return answer(200, flavors());
  if (m.method == "GET") return answer(200, list(m.target));
  const auto body = protocol::parse_cbor(m.body);
  if (!body) return answer(400, Json::object());
  if (m.target == "/rentals") {
    const auto rented = rent(*body);
    return rented.empty() ? answer(503, {{"error", "no capacity"}})
                          : answer(200, {{"rigs", rented}});
  }
  remove(*body);
  answer(200, Json::object());
}

Json Fleet::flavors() const {
  Json breeds = Json::array();
  for (const auto& pool : at_.experiment.pools)
    breeds.push_back({{"sku", pool.type.name},
                      {"cores", pool.type.size.cpus},
                      {"cards", pool.type.size.gpus},
                      {"memoryGb", pool.type.size.memory_gb},
                      {"localGb", pool.type.cache_gb},
                      {"pullGbPerS", pool.type.fetch_gb_per_s},
                      {"hourly", pool.type.price},
                      {"lowPrice", pool.type.spot_price},
                      {"readyS", pool.type.boot_s},
                      {"yards", pool.type.zones}});
  return {{"breeds", std::move(breeds)}};
}

Json Fleet::list(const std::string& target) const {
  constexpr size_t kPage = 500;
  const auto at = target.find("since=");
  const std::string after =
      at == std::string::npos ? "" : target.substr(at + 6, target.find('&', at) - at - 6);
  Json rigs = Json::array();
  bool more = false;
  const double seen_at = at_.event_loop.now() - at_.experiment.platform.list_lag_s;
  for (auto it = machines_.upper_bound(after); it != machines_.end() && !more; ++it) {
    const Rented& m = it->second;
    const bool listed =
        m.since <= seen_at || m.since == m.up_at;  // those up at the start were rented long ago
    if (!listed || (m.gone && m.gone_at <= seen_at)) continue;
    if (rigs.size() == kPage) {
      more = true;
      continue;
    }
    rigs.push_back({{"id", it->first},
                    {"addr", m.worker->address()},
                    {"breed", m.worker->type().name},
                    {"yard", m.worker->zone()},
                    {"loaners", m.worker->spot()},
                    {"status", m.up_at <= seen_at ? "running" : "booting"},
                    {"ageS", std::max(0.0, seen_at - m.since)}});
  }
  return {{"rigs", std::move(rigs)}, {"hasNext", more}};
}

std::vector<std::string> Fleet::rent(const Json& request) {
  auto& granted = granted_[request.at("hire")];
  if (!granted.empty()) return granted;
  const std::string type = request.at("breed"), zone = request.at("yard");
  constexpr int kMost = 50;  // in one request, by the protocol
  const int count = std::min(kMost, request.at("count").get<int>());
  for (const auto& pool : at_.experiment.pools) {
    if (pool.type.name != type) continue;
    const int free = pool.capacity - in_use(type, zone);
    for (int i = 0; i < std::min(count, free); ++i)
      granted.push_back(
          add(pool, zone, request.at("loaners"),
              pool.type.boot_s * std::uniform_real_distribution<>(0.6, 1.5)(at_.random)));
  }
  return granted;
}

void Fleet::remove(const Json& request) {
  for (const auto& id : request.at("rigs")) {
    const auto it = machines_.find(id);
    if (it == machines_.end() || it->second.gone) continue;
    it->second.worker->stop();
    it->second.gone = true;
    it->second.gone_at = at_.event_loop.now();
  }
}

void Fleet::trouble(const Trouble& trouble) {
  for (auto& [id, m] : machines_) {
    HollowWorker& worker = *m.worker;
    const bool meant = worker.up() && (trouble.zone.empty() || worker.zone() == trouble.zone);
    if (!meant || std::uniform_real_distribution<>(0, 1)(at_.random) >= trouble.share) continue;
    switch (trouble.kind) {
      case TroubleKind::kill_workers: worker.stop(); break;
      case TroubleKind::cut_workers: worker.cut(trouble.for_s); break;
      case TroubleKind::restart_workers: worker.restart(trouble.for_s); break;
      case TroubleKind::kill_controllers: break;
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
    if (m.up_at < at_.event_loop.now())
      sum += (m.gone ? std::max(m.gone_at, m.up_at) : at_.event_loop.now()) - m.up_at;
  return sum;
}

}  // namespace rushtrestle::scale
