#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

#include "protocol/cbor.h"
#include "transport/address.h"
#include "transport/socket_io.h"

namespace review {

using rushtrestle::protocol::parse_cbor;
using rushtrestle::protocol::to_cbor;
using rushtrestle::transport::format_address;
using rushtrestle::transport::parse_address;
using rushtrestle::transport::to_sockaddr;

namespace {

constexpr size_t kBodyLimit = size_t{64} * 1024;
constexpr size_t kListBytes = size_t{512} * 1024;
constexpr size_t kHistory = 10000;

std::string dump(const Json& j) { return j.dump(-1, ' ', false, Json::error_handler_t::replace); }

std::string query(const std::string& target, const std::string& name) {
  const auto mark = target.find('?');
  if (mark == std::string::npos) return "";
  std::string rest = target.substr(mark + 1);
  for (size_t at = 0; at < rest.size();) {
    const size_t end = std::min(rest.find('&', at), rest.size());
    const std::string part = rest.substr(at, end - at);
    if (part.rfind(name + "=", 0) == 0) {
      std::string value;
      for (size_t i = name.size() + 1; i < part.size(); ++i) {
        if (part[i] == '%' && i + 2 < part.size()) {
          value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += part[i];
        }
      }
      return value;
    }
    at = end + 1;
  }
  return "";
}

uint64_t number(const std::string& text, uint64_t fallback) {
  return text.empty() ? fallback : std::stoull(text);
}

int open_listener(const Address& at) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in sa = to_sockaddr(at);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&sa), sizeof sa) != 0 ||
      ::listen(fd, 256) != 0)
    throw std::runtime_error("cannot listen on " + format_address(at));
  return fd;
}

bool send_all(int fd, const char* data, size_t size) {
  // Messages here are a few KiB, less than a socket's buffer.
  while (size > 0) {
    const ssize_t n = ::send(fd, data, size, MSG_NOSIGNAL);
    if (n > 0) {
      data += n;
      size -= static_cast<size_t>(n);
    } else if (errno == EAGAIN) {
      usleep(200);
    } else {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string text_of(const Json& body) { return dump(body); }

// ---- proxy ----

HoldProxy::HoldProxy(EventLoop& loop, const Address& at, const Address& to)
    : loop_(loop), to_(to), listener_(open_listener(at)) {
  loop_.watch(listener_, EPOLLIN, EventLoop::Priority::request, [this](uint32_t) { on_accept(); });
}

HoldProxy::~HoldProxy() {
  loop_.unwatch(listener_);
  close(listener_);
  while (!pairs_.empty()) close_pair(pairs_.begin()->first);
  for (const int fd : refused_) close(fd);
}

void HoldProxy::on_accept() {
  const int client = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (client < 0) return;
  if (holding_) {
    refused_.push_back(client);
    return;
  }
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in sa = to_sockaddr(to_);
  if (connect(server, reinterpret_cast<const sockaddr*>(&sa), sizeof sa) != 0) {
    close(server);
    close(client);
    return;
  }
  fcntl(server, F_SETFL, O_NONBLOCK);
  rushtrestle::transport::set_no_delay(client);
  rushtrestle::transport::set_no_delay(server);
  const uint64_t id = next_++;
  pairs_[id] = {client, server, false};
  watch(id);
}

void HoldProxy::watch(uint64_t id) {
  const Pair& pair = pairs_.at(id);
  if (!pair.client_ended)
    loop_.watch(pair.client, EPOLLIN, EventLoop::Priority::request,
                [this, id](uint32_t) { pump(id, true); });
  loop_.watch(pair.server, EPOLLIN, EventLoop::Priority::request,
              [this, id](uint32_t) { pump(id, false); });
}

void HoldProxy::unwatch(const Pair& pair) {
  loop_.unwatch(pair.client);
  loop_.unwatch(pair.server);
}

void HoldProxy::pump(uint64_t id, bool from_client) {
  const auto it = pairs_.find(id);
  if (it == pairs_.end()) return;
  Pair& pair = it->second;
  char buffer[65536];
  const ssize_t n = read(from_client ? pair.client : pair.server, buffer, sizeof buffer);
  if (n < 0 && errno == EAGAIN) return;
  if (n > 0) {
    if (!send_all(from_client ? pair.server : pair.client, buffer, static_cast<size_t>(n)) &&
        from_client)
      close_pair(id);
    return;
  }
  if (!from_client) return close_pair(id);
  // The sender has closed. What it sent before is still served; the answer goes nowhere.
  pair.client_ended = true;
  loop_.unwatch(pair.client);
  loop_.after(1, [this, id, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) close_pair(id);
  });
}

void HoldProxy::close_pair(uint64_t id) {
  const auto it = pairs_.find(id);
  if (it == pairs_.end()) return;
  unwatch(it->second);
  close(it->second.client);
  close(it->second.server);
  pairs_.erase(it);
}

void HoldProxy::hold() {
  holding_ = true;
  for (const auto& [id, pair] : pairs_) unwatch(pair);
}

void HoldProxy::release() {
  // A connection attempt of the interruption does not complete afterwards.
  for (;;) {
    const int late = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (late < 0) break;
    close(late);
  }
  for (const int fd : refused_) close(fd);
  refused_.clear();
  holding_ = false;
  for (const auto& [id, pair] : pairs_) watch(id);
}

// ---- state service ----

bool StateService::Bucket::take(double now, double rate, double amount) {
  level = std::min(rate, level + (now - at) * rate);
  at = now;
  if (level < amount) return false;
  level -= amount;
  return true;
}

StateService::StateService(Rig& rig) : rig_(rig) {
  requests_ = {rig.deployment.state_rps, rig.loop.now()};
  writes_ = {rig.deployment.write_rps, rig.loop.now()};
  for (int i = 0; i < rig.count(); ++i) {
    addresses_.push_back(rig.free_address());
    servers_.push_back(std::make_unique<HttpServer>(
        rig.loop, addresses_.back(), HttpServer::Limits{200, size_t{256} * 1024, 600},
        [this, i](ExchangeId id, HttpMessage&& m) { serve(i, id, m); }));
  }
  rig.loop.after_each_iteration([this] { answer_watches(); });
  expire();
}

void StateService::refuse(int controller, bool refused) {
  if (refused) {
    refused_.insert(controller);
  } else {
    refused_.erase(controller);
  }
}

const Json* StateService::value(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : &it->second.value;
}

size_t StateService::bytes_since(uint64_t revision) const {
  return to_cbor({{"epoch", epoch_}, {"log", changes(revision, "")}}).size();
}

void StateService::reply(int controller, ExchangeId id, int status, const std::string& body) {
  servers_[static_cast<size_t>(controller)]->answer(id, status, body, "application/cbor");
}

void StateService::serve(int controller, ExchangeId id, const HttpMessage& m) {
  if (refused_.count(controller)) return reply(controller, id, 503, "");
  if (!requests_.take(rig_.loop.now(), rig_.deployment.state_rps, 1))
    return reply(controller, id, 429, "");
  if (m.target.rfind("/follow", 0) == 0) {
    const double hold_s = static_cast<double>(number(query(m.target, "holdMs"), 0)) / 1000;
    watches_.push_back({controller, id, query(m.target, "starts"), m.target,
                        number(query(m.target, "since"), 0), rig_.loop.now() + hold_s});
    return;
  }
  auto [status, body] = handle(m);
  const std::string text = body.is_null() ? "" : to_cbor(body);
  rig_.loop.after(rig_.deployment.state_latency_s, [this, controller, id, status = status, text] {
    reply(controller, id, status, text);
  });
}

std::pair<int, Json> StateService::handle(const HttpMessage& m) try {
  const std::string path = m.target.substr(0, m.target.find('?'));
  if (m.method == "GET" && path == "/store") {
    const std::string starts = query(m.target, "starts"), since = query(m.target, "since");
    const size_t page = std::min<size_t>(1000, number(query(m.target, "page"), 1000));
    Json entries = Json::array();
    size_t bytes = 0;
    bool more = false;
    for (auto it = keys_.upper_bound(since); it != keys_.end(); ++it) {
      if (it->first.rfind(starts, 0) != 0) continue;
      Json entry = {{"k", it->first}, {"v", it->second.value}, {"stamp", it->second.stamp}};
      const size_t size = dump(entry).size();
      if (entries.size() >= page || (bytes + size > kListBytes && !entries.empty())) {
        more = true;
        break;
      }
      bytes += size;
      entries.push_back(std::move(entry));
    }
    return {200, {{"entries", std::move(entries)}, {"hasNext", more}, {"epoch", epoch_}}};
  }
  if (m.method == "GET" && path.rfind("/store/", 0) == 0) {
    const std::string key = path.substr(7);
    const auto it = keys_.find(key);
    if (it == keys_.end()) return {404, {{"epoch", epoch_}}};
    Json found = {{"k", key}, {"v", it->second.value}, {"stamp", it->second.stamp}};
    if (it->second.lease) found["tenancy"] = it->second.lease;
    return {200, found};
  }
  if (m.method == "POST" && path == "/txn") return transact(m.body);
  if (m.method == "POST" && path == "/leases") {
    const auto body = parse_cbor(m.body);
    const double ttl = body->at("ttlMs").get<double>() / 1000;
    leases_[next_lease_] = {ttl, rig_.loop.now() + ttl};
    return {200, {{"tenancy", next_lease_++}}};
  }
  if (path.rfind("/leases/", 0) == 0) {
    const auto it = leases_.find(std::stoull(path.substr(8)));
    if (it == leases_.end()) return {404, Json::object()};
    it->second.until = rig_.loop.now() + (m.method == "DELETE" ? -1 : it->second.ttl);
    return {200, Json::object()};
  }
  return {400, Json()};
} catch (const std::exception&) {
  return {400, Json()};
}

std::pair<int, Json> StateService::transact(const std::string& body) {
  const auto request = parse_cbor(body);
  if (!request) return {400, Json()};
  const Json conditions = request->value("if", Json::array());
  const Json changes = request->value("then", Json::array());
  const auto& d = rig_.deployment;
  if (changes.size() > d.txn_ops || conditions.size() > d.txn_ops * 4 ||
      dump(*request).size() > kBodyLimit)
    return {400, Json()};
  if (!writes_.take(rig_.loop.now(), d.write_rps, static_cast<double>(changes.size())))
    return {429, Json()};
  Json failed = Json::array();
  for (const auto& c : conditions) {
    const auto it = keys_.find(c.at("k"));
    if ((it == keys_.end() ? 0 : it->second.stamp) != c.at("stamp").get<uint64_t>())
      failed.push_back(c.at("k"));
  }
  for (const auto& c : changes) {
    if (!c.contains("put")) continue;
    const uint64_t lease = c.value("tenancy", uint64_t{0});
    if (lease && !leases_.count(lease)) return {400, {{"error", "no such lease"}}};
    if (static_cast<double>(dump(c.at("v")).size()) > d.value_kb * 1024) return {400, Json()};
  }
  if (!failed.empty()) return {409, {{"failed", failed}, {"epoch", epoch_}}};
  if (!changes.empty()) ++epoch_;
  for (const auto& c : changes) {
    if (c.contains("put")) {
      put(c.at("put"), c.at("v"), c.value("tenancy", uint64_t{0}));
    } else {
      put(c.at("delete"), std::nullopt, 0);
    }
  }
  return {200, {{"epoch", epoch_}}};
}

void StateService::put(const std::string& key, std::optional<Json> value, uint64_t lease) {
  if (value) {
    keys_[key] = {*value, epoch_, lease};
  } else {
    keys_.erase(key);
  }
  log_.push_back({key, std::move(value), epoch_});
  while (log_.size() > kHistory) {
    oldest_kept_ = log_.front().stamp;
    log_.pop_front();
  }
}

Json StateService::changes(uint64_t since, const std::string& starts) const {
  Json log = Json::array();
  auto it = log_.end();
  while (it != log_.begin() && std::prev(it)->stamp > since) --it;
  for (; it != log_.end(); ++it) {
    if (it->key.rfind(starts, 0) != 0) continue;
    Json change = {{it->value ? "put" : "delete", it->key}, {"stamp", it->stamp}};
    if (it->value) change["v"] = *it->value;
    log.push_back(std::move(change));
  }
  return log;
}

void StateService::answer_watches() {
  for (auto it = watches_.begin(); it != watches_.end();) {
    const bool due = epoch_ > it->since || rig_.loop.now() >= it->until;
    if (!due || refused_.count(it->controller)) {
      ++it;
      continue;
    }
    if (it->since < oldest_kept_) {
      reply(it->controller, it->exchange, 410, "");
    } else {
      const std::string body =
          to_cbor({{"epoch", epoch_}, {"log", changes(it->since, it->starts)}});
      if (on_watch_answered) on_watch_answered(it->controller, it->target, body.size());
      reply(it->controller, it->exchange, 200, body);
    }
    it = watches_.erase(it);
  }
}

void StateService::expire() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (rig_.loop.now() <= it->second.until) {
      ++it;
      continue;
    }
    std::vector<std::string> attached;
    for (const auto& [key, entry] : keys_)
      if (entry.lease == it->first) attached.push_back(key);
    if (!attached.empty()) ++epoch_;
    for (const auto& key : attached) put(key, std::nullopt, 0);
    it = leases_.erase(it);
  }
  rig_.loop.after(0.05, [this] { expire(); });
}

// ---- cloud ----

Cloud::Cloud(Rig& rig) : rig_(rig), address_(rig.free_address()) {
  budget_at_ = rig.loop.now();
  budget_ = rig.deployment.cloud_rps * 2;
  server_ =
      std::make_unique<HttpServer>(rig.loop, address_, HttpServer::Limits{100, kBodyLimit, 600},
                                   [this](ExchangeId id, HttpMessage&& m) { serve(id, m); });
}

void Cloud::serve(ExchangeId id, const HttpMessage& m) {
  const auto& d = rig_.deployment;
  budget_ = std::min(d.cloud_rps * 2, budget_ + (rig_.loop.now() - budget_at_) * d.cloud_rps);
  budget_at_ = rig_.loop.now();
  std::pair<int, Json> answer{400, Json()};
  if (budget_ < 1) {
    answer.first = 429;
  } else {
    --budget_;
    const std::string path = m.target.substr(0, m.target.find('?'));
    const auto body = m.body.empty() ? std::optional<Json>() : parse_cbor(m.body);
    if (path == "/flavors") {
      Json list = Json::array();
      for (const auto& t : d.types)
        list.push_back({{"sku", t.name},
                        {"cores", t.cpus},
                        {"cards", t.gpus},
                        {"memoryGb", t.memory_gb},
                        {"localGb", t.cache_gb},
                        {"pullGbPerS", t.fetch_gb_per_s},
                        {"hourly", t.price},
                        {"lowPrice", t.spot_price},
                        {"readyS", t.ready_s},
                        {"yards", d.zones}});
      answer = {200, {{"breeds", list}}};
    } else if (path == "/rentals" && m.method == "POST" && body) {
      answer = rent(*body);
    } else if (path == "/rentals/delete" && body) {
      for (const auto& id_json : body->at("rigs")) remove(id_json);
      answer = {200, Json::object()};
    } else if (path == "/rentals") {
      answer = {200, list(m.target)};
    }
  }
  const std::string text = answer.second.is_null() ? "" : to_cbor(answer.second);
  rig_.loop.after(d.cloud_latency_s, [this, id, status = answer.first, text] {
    server_->answer(id, status, text, "application/cbor");
  });
}

std::pair<int, Json> Cloud::rent(const Json& request) {
  const std::string hire = request.at("hire");
  if (const auto known = rentals_.find(hire); known != rentals_.end()) return {200, known->second};
  const auto& d = rig_.deployment;
  const std::string breed = request.at("breed"), zone = request.at("yard");
  const auto type = std::find_if(d.types.begin(), d.types.end(),
                                 [&](const MachineType& t) { return t.name == breed; });
  if (type == d.types.end()) return {400, Json()};
  int left = d.capacity;
  for (const auto& [id, machine] : machines_)
    if (machine.gone_at < 0 && machine.type == breed && machine.zone == zone) --left;
  const int count = std::min({left, request.at("count").get<int>(), 50});
  if (count <= 0) return {503, {{"error", "no capacity"}}};
  Json rigs = Json::array();
  for (int i = 0; i < count; ++i) {
    char id[16];
    std::snprintf(id, sizeof id, "n-%06d", next_machine_++);
    Machine machine{id, breed, zone, request.value("loaners", false), rig_.now(), 0, -1};
    machine.up_at = rig_.now() + type->ready_s * rig_.uniform(0.6, 1.5);
    machines_[id] = machine;
    rigs.push_back(id);
    rig_.record(std::string("cloud rented ") + id + " " + breed + " " + zone);
    rig_.loop.after(machine.up_at - rig_.now(), [this, id = std::string(id), t = &*type] {
      const Machine& m = machines_.at(id);
      if (m.gone_at < 0) workers_[id] = std::make_unique<Worker>(rig_, m, *t);
    });
  }
  return {200, rentals_[hire] = {{"rigs", rigs}}};
}

Json Cloud::list(const std::string& target) const {
  const std::string since = query(target, "since");
  const size_t page = std::min<size_t>(500, number(query(target, "page"), 500));
  const double as_of = rig_.now() - rig_.deployment.list_lag_s;
  Json rigs = Json::array();
  bool more = false;
  for (auto it = machines_.upper_bound(since); it != machines_.end(); ++it) {
    const Machine& m = it->second;
    if (m.rented_at > as_of || (m.gone_at >= 0 && m.gone_at <= as_of)) continue;
    if (rigs.size() == page) {
      more = true;
      break;
    }
    rigs.push_back({{"id", m.id},
                    {"addr", "127.0.0.1:1"},
                    {"breed", m.type},
                    {"yard", m.zone},
                    {"loaners", m.spot},
                    {"status", m.up_at <= as_of ? "running" : "booting"},
                    {"ageS", as_of - m.rented_at}});
  }
  return {{"rigs", rigs}, {"hasNext", more}};
}

void Cloud::remove(const std::string& id) {
  const auto it = machines_.find(id);
  if (it == machines_.end() || it->second.gone_at >= 0) return;
  it->second.gone_at = rig_.now();
  workers_.erase(id);
  rig_.record("cloud deleted " + id);
}

// ---- worker ----

Worker::Worker(Rig& rig, const Machine& machine, const MachineType& type)
    : rig_(rig),
      id_(machine.id),
      zone_(machine.zone),
      spot_(machine.spot),
      type_(type),
      client_(rig.loop, 1, kBodyLimit),
      controller_(static_cast<int>(rig.random() % static_cast<uint64_t>(rig.count()))) {
  const Address inside = rig.free_address();
  const Address outside = rig.free_address();
  address_ = format_address(outside);
  server_ = std::make_unique<HttpServer>(
      rig.loop, inside, HttpServer::Limits{50, kBodyLimit, 600},
      [this](ExchangeId exchange, HttpMessage&& m) { serve(exchange, m); });
  proxy_ = std::make_unique<HoldProxy>(rig.loop, outside, inside);
  renew(rig.loop.now());
  schedule(rig.uniform(0, 0.3));
  rig.record("worker " + id_ + " is up at " + address_);
}

Worker::~Worker() {
  rig_.loop.cancel(report_timer_);
  rig_.loop.cancel(lease_timer_);
  drop_tasks("its machine is gone");
}

size_t Worker::tasks_on_machine() const {
  return static_cast<size_t>(std::count_if(tasks_.begin(), tasks_.end(), [](const auto& t) {
    return t.second.state == "running" || t.second.state == "saving";
  }));
}

void Worker::renew(double sent_at) {
  rig_.loop.cancel(lease_timer_);
  lease_timer_ = rig_.loop.after(sent_at + rig_.deployment.lease_s - rig_.loop.now(),
                                 [this] { on_lease_expired(); });
}

void Worker::on_lease_expired() {
  drop_tasks("the worker's lease expired");
  ++shift_;
  rig_.record("worker " + id_ + " lease expired, session " + std::to_string(shift_));
  renew(rig_.loop.now());
  changed();
}

void Worker::drop_tasks(const char* why) {
  for (auto& [key, task] : tasks_) {
    rig_.loop.cancel(task.timer);
    if (task.state != "running" && task.state != "saving") continue;
    rig_.record_task("task " + key.job + "/" + std::to_string(key.task) + " leaves " + id_ + ": " +
                     why);
    if (rig_.on_leave) rig_.on_leave(key.job, key.task, id_);
  }
  tasks_.clear();
}

Json Worker::report() {
  Json tasks = Json::array();
  for (const auto& [key, task] : tasks_) {
    Json j = {{"chore", key.job + "/" + std::to_string(key.task)},
              {"try", key.attempt},
              {"status", task.state}};
    if (task.state == "ended") j["cause"] = task.cause;
    if (task.kept) j["kept"] = true;
    tasks.push_back(std::move(j));
  }
  return {
      {"rig", id_},          {"addr", address_},          {"breed", type_.name}, {"yard", zone_},
      {"loaners", spot_},    {"shift", shift_},           {"tally", ++tally_},   {"baton", baton_},
      {"warningS", nullptr}, {"chores", std::move(tasks)}};
}

void Worker::schedule(double after) {
  rig_.loop.cancel(report_timer_);
  report_timer_ = rig_.loop.after(after, [this] { send(); });
}

void Worker::changed() {
  if (!in_flight_) schedule(std::max(0.0, last_report_ + 0.5 - rig_.loop.now()));
}

void Worker::send() {
  if (in_flight_) return;
  in_flight_ = true;
  last_report_ = rig_.loop.now();
  client_.request(rig_.worker_side(controller_), "POST", "/checkin", to_cbor(report()),
                  "application/cbor", 4,
                  [this, shift = shift_, sent_at = last_report_, to = controller_](
                      int status, std::string&& body) {
                    on_response(shift, sent_at, to, status, std::move(body));
                  });
}

void Worker::next_controller(int controller, double after) {
  controller_ = controller % rig_.count();
  schedule(after);
}

void Worker::on_response(uint64_t shift, double sent_at, int controller, int status,
                         std::string&& body) {
  in_flight_ = false;
  const auto answer = body.empty() ? std::optional<Json>() : parse_cbor(body);
  if (status == 421 && answer) {
    const int named = rig_.node_index(answer->value("foreman", ""));
    if (named >= 0 && named != controller) return next_controller(named, rig_.uniform(0, 0.5));
  }
  if (status != 200 || !answer) return next_controller(controller + 1, 1);
  answered_by_ = controller;
  schedule(rig_.deployment.report_s * rig_.uniform(0.75, 1.25));
  const uint64_t baton = answer->value("baton", uint64_t{0});
  if (shift != shift_ || baton == 0 || baton < baton_) return;
  baton_ = baton;
  renew(sent_at);
  execute(answer->at("orders"), "answer");
}

void Worker::serve(ExchangeId exchange, const HttpMessage& m) {
  int status = 200;
  if (m.target == "/commands") {
    const auto body = parse_cbor(m.body);
    if (!body || !body->contains("baton") || !body->contains("shift")) {
      server_->answer(exchange, 400, "", "application/cbor");
      return;
    }
    if (body->at("baton").get<uint64_t>() < baton_ || body->at("shift").get<uint64_t>() != shift_) {
      status = 409;
    } else {
      baton_ = body->at("baton");
      execute(body->at("orders"), "direct");
    }
  }
  server_->answer(exchange, status, to_cbor(report()), "application/cbor");
}

void Worker::execute(const Json& orders, const char* by) {
  for (const auto& order : orders) {
    const std::string verb = order.at("verb");
    rig_.record_task("worker " + id_ + " executes " + verb + " " +
                     order.at("chore").get<std::string>() + " try " +
                     std::to_string(order.at("try").get<uint64_t>()) + " (" + by + ")");
    if (verb == "run") run(order, by);
    if (verb == "kill") kill(order);
    if (verb == "forget") {
      const std::string chore = order.at("chore");
      const auto slash = chore.rfind('/');
      const auto it = tasks_.find({chore.substr(0, slash),
                                   static_cast<uint32_t>(std::stoul(chore.substr(slash + 1))),
                                   order.at("try").get<uint64_t>()});
      if (it != tasks_.end() && it->second.state == "ended") tasks_.erase(it);
    }
  }
  if (!orders.empty()) changed();
}

void Worker::run(const Json& order, const char*) {
  const std::string chore = order.at("chore");
  const auto slash = chore.rfind('/');
  const Key key{chore.substr(0, slash), static_cast<uint32_t>(std::stoul(chore.substr(slash + 1))),
                order.at("try").get<uint64_t>()};
  if (tasks_.count(key)) return;
  const auto job = rig_.jobs.find(key.job);
  std::string refused;
  double cpus = type_.cpus, gpus = type_.gpus, memory = type_.memory_gb;
  for (const auto& [k, t] : tasks_) {
    if (t.state == "ended") continue;
    if (k.job == key.job && k.task == key.task) refused = "in_use";
    const Json& spec = rig_.jobs.at(k.job).spec;
    cpus -= spec.at("cores").get<double>();
    gpus -= spec.at("cards").get<double>();
    memory -= spec.at("memoryGb").get<double>();
  }
  if (job == rig_.jobs.end() || !job->second.submitted ||
      key.task >= job->second.spec.at("chores").get<uint32_t>()) {
    refused = "no_such";
  } else if (refused.empty()) {
    const Json& spec = job->second.spec;
    if (spec.at("cores").get<double>() > cpus + 1e-9 ||
        spec.at("cards").get<double>() > gpus + 1e-9 ||
        spec.at("memoryGb").get<double>() > memory + 1e-9)
      refused = "full";
  }
  Task& task = tasks_[key];
  if (!refused.empty()) {
    task.state = "ended";
    task.cause = refused;
    return;
  }
  const Json& spec = job->second.spec;
  const std::string image = spec.at("bundle");
  const double fetch =
      images_.count(image) ? 0 : spec.at("imageGb").get<double>() / type_.fetch_gb_per_s;
  const auto begin = [this, key, image] {
    images_.insert(image);
    Task& t = tasks_.at(key);
    t.state = "running";
    t.since = rig_.loop.now();
    t.timer = 0;
    rig_.record_task("task " + key.job + "/" + std::to_string(key.task) + " try " +
                     std::to_string(key.attempt) + " starts on " + id_);
    if (rig_.on_start) rig_.on_start(key.job, key.task, id_);
    Job& j = rig_.jobs.at(key.job);
    if (j.spec.at("sort") != "daemon") {
      const double run_s = j.completed.count(key.task)
                               ? 0
                               : j.spec.at("guessS").get<double>() * rig_.uniform(0.5, 1.5);
      t.timer = rig_.loop.after(run_s, [this, key] { end(key, "done"); });
    }
    changed();
  };
  if (fetch <= 0) {
    begin();
  } else {
    task.timer = rig_.loop.after(fetch, begin);
  }
}

void Worker::kill(const Json& order) {
  const std::string chore = order.at("chore");
  const auto slash = chore.rfind('/');
  const Key key{chore.substr(0, slash), static_cast<uint32_t>(std::stoul(chore.substr(slash + 1))),
                order.at("try").get<uint64_t>()};
  const auto it = tasks_.find(key);
  if (it == tasks_.end() || it->second.state == "ended") return;
  end(key, "stopped");  // no job of these cases has checkpoints
}

void Worker::end(const Key& key, const std::string& cause) {
  Task& task = tasks_.at(key);
  rig_.loop.cancel(task.timer);
  task.timer = 0;
  const bool ran = task.state == "running";
  task.state = "ended";
  task.cause = cause;
  if (cause == "done") rig_.jobs.at(key.job).completed.insert(key.task);
  if (ran) {
    rig_.record_task("task " + key.job + "/" + std::to_string(key.task) + " leaves " + id_ + ": " +
                     cause);
    if (rig_.on_leave) rig_.on_leave(key.job, key.task, id_);
  }
  changed();
}

// ---- users and the load balancer ----

UserConnection::UserConnection(Rig& rig)
    : rig_(rig), client_(std::make_unique<HttpClient>(rig.loop, 1, kBodyLimit)) {
  rig.connections.push_back(this);
}

void UserConnection::request(const std::string& method, const std::string& target,
                             const std::string& body, double timeout_s, Done done) {
  if (node_ < 0) node_ = rig_.balancer->choose();
  if (node_ < 0) {
    rig_.loop.after(0, [done = std::move(done)] { done(0, Json(), -1); });
    return;
  }
  client_->request(rig_.listen(node_), method, target, body, "application/cbor", timeout_s,
                   [this, node = node_, done = std::move(done)](int status, std::string&& text) {
                     if (status == 0) node_ = -1;
                     const auto json = text.empty() ? std::optional<Json>() : parse_cbor(text);
                     done(status, json.value_or(Json()), node);
                   });
}

LoadBalancer::LoadBalancer(Rig& rig)
    : rig_(rig), client_(rig.loop, 20, kBodyLimit), nodes_(static_cast<size_t>(rig.count())) {}

void LoadBalancer::start() {
  for (int i = 0; i < rig_.count(); ++i) probe(i);
}

void LoadBalancer::probe(int node) {
  client_.request(rig_.listen(node), "GET", "/up", "", "application/cbor", 1,
                  [this, node](int status, std::string&&) { on_probe(node, status == 200); });
  rig_.loop.after(rig_.uniform(0.9, 1.1), [this, node] { probe(node); });
}

void LoadBalancer::on_probe(int index, bool ok) {
  Node& node = nodes_[static_cast<size_t>(index)];
  node.failures = ok ? 0 : node.failures + 1;
  node.successes = ok ? node.successes + 1 : 0;
  node.last.push_back(ok);
  if (node.last.size() > 6) node.last.pop_front();
  const auto failed = std::count(node.last.begin(), node.last.end(), false);
  const double now = rig_.now();
  if (node.healthy && (node.failures >= 2 || failed >= 3)) {
    node.healthy = false;
    node.pause_s = now - node.removed_at < 120 ? std::min(60.0, node.pause_s * 2) : 3;
    node.removed_at = now;
    rig_.record("balancer " + rig_.node(index) + " is unhealthy");
    rig_.loop.after(5, [this, index] {
      if (nodes_[static_cast<size_t>(index)].healthy) return;
      for (auto* connection : rig_.connections)
        if (connection->node() == index) connection->reset();
    });
  } else if (!node.healthy &&
             (node.ever ? node.successes >= 2 && now - node.removed_at >= node.pause_s : ok)) {
    node.healthy = node.ever = true;
    node.last.clear();
    rig_.record("balancer " + rig_.node(index) + " is healthy");
  }
}

int LoadBalancer::choose() {
  std::vector<int> open(nodes_.size());
  for (const auto* connection : rig_.connections)
    if (connection->node() >= 0) ++open[static_cast<size_t>(connection->node())];
  int best = -1;
  for (int i = 0; i < rig_.count(); ++i)
    if (healthy(i) && (best < 0 || open[static_cast<size_t>(i)] < open[static_cast<size_t>(best)]))
      best = i;
  return best;
}

// ---- controllers ----

Controllers::Controllers(Rig& rig) : rig_(rig), pids_(static_cast<size_t>(rig.count())) {
  char directory[] = "/tmp/rushtrestle-review-XXXXXX";
  if (!mkdtemp(directory)) throw std::runtime_error("cannot create a directory in /tmp");
  directory_ = directory;
}

Controllers::~Controllers() {
  for (const pid_t pid : pids_) {
    if (pid <= 0) continue;
    ::kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  std::error_code ignored;
  if (!std::getenv("KEEP_LOGS")) std::filesystem::remove_all(directory_, ignored);
}

void Controllers::start_all() {
  const auto& d = rig_.deployment;
  for (int i = 0; i < rig_.count(); ++i) {
    std::ofstream file(directory_ + "/" + rig_.node(i) + ".toml");
    file << "node = \"" << rig_.node(i) << "\"\narea = \"" << rig_.area(i) << "\"\nserve_on = \""
         << format_address(rig_.listen(i)) << "\"\npeer_listen = \""
         << format_address(rig_.peer_listen(i)) << "\"\n";
    for (int j = 0; j < rig_.count(); ++j)
      if (j != i)
        file << "\n[[peers]]\nnode = \"" << rig_.node(j) << "\"\narea = \"" << rig_.area(j)
             << "\"\npeer_addr = \"" << format_address(rig_.peer_listen(j)) << "\"\n";
    file << "\n[external]\ncloud = \"" << format_address(rig_.cloud->address()) << "\"\nstate = \""
         << format_address(rig_.state->address(i)) << "\"\n\n[deployment]\ncount = " << rig_.count()
         << "\nzones = [";
    for (size_t z = 0; z < d.zones.size(); ++z) file << (z ? ", " : "") << '"' << d.zones[z] << '"';
    file << std::fixed << "]\nclock_error_ms = " << d.clock_error_ms << "\n";
    for (const auto& t : d.teams)
      file << "\n[[deployment.teams]]\nname = \"" << t.name << "\"\ncpus = " << t.cpus
           << "\ncpus_max = " << t.cpus_max << "\ngpus = " << t.gpus
           << "\ngpus_max = " << t.gpus_max << "\n";
    file << "\n[deployment.workers]\nreport_s = " << d.report_s << "\nlease_s = " << d.lease_s
         << "\ngang_wait_s = " << d.gang_wait_s << "\ngang_peer_s = " << d.gang_peer_s
         << "\ncancel_s = " << d.cancel_s << "\n\n[deployment.state]\nrps = " << d.state_rps
         << "\nwrite_rps = " << d.write_rps << "\nvalue_kb = " << d.value_kb
         << "\ntxn_ops = " << d.txn_ops << "\n\n[deployment.cloud]\nrps = " << d.cloud_rps
         << "\nlist_lag_s = " << d.list_lag_s << "\n\n[deployment.resources]\ncores = " << d.cores
         << "\nram_mb = " << d.memory_mb << "\nfd_limit = " << d.connections << "\n";
  }
  for (int i = 0; i < rig_.count(); ++i) start(i);
  look();
}

void Controllers::start(int index) {
  const std::string settings = directory_ + "/" + rig_.node(index) + ".toml";
  const std::string log = directory_ + "/" + rig_.node(index) + ".log";
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("fork failed");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, STDERR_FILENO);
    execl("target/rushtrestle", "target/rushtrestle", "--config", settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  pids_[static_cast<size_t>(index)] = pid;
  rig_.record("platform started " + rig_.node(index));
}

void Controllers::signal(int index, int number) {
  rig_.record("case sends signal " + std::to_string(number) + " to " + rig_.node(index));
  ::kill(pid(index), number);
}

void Controllers::look() {
  for (int i = 0; i < rig_.count(); ++i) {
    int status = 0;
    pid_t& pid = pids_[static_cast<size_t>(i)];
    if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid) continue;
    pid = 0;
    ++ended_;
    std::ifstream log(directory_ + "/" + rig_.node(i) + ".log");
    std::string line, last;
    while (std::getline(log, line)) last = line;
    rig_.record("platform sees " + rig_.node(i) + " end by itself" +
                (WIFEXITED(status) ? ", status " + std::to_string(WEXITSTATUS(status))
                                   : ", signal " + std::to_string(WTERMSIG(status))) +
                ", last line of its log: " + last);
    rig_.loop.after(rig_.deployment.restart_delay_s, [this, i] { start(i); });
  }
  rig_.loop.after(0.05, [this] { look(); });
}

// ---- rig ----

Rig::Rig(Deployment d, const std::string& record_file)
    : deployment(std::move(d)), record_(record_file) {
  std::signal(SIGPIPE, SIG_IGN);
  const char* no_trouble = std::getenv("TROUBLE");
  trouble = !no_trouble || std::string(no_trouble) != "0";
  loop.refresh_clock();
  began_ = loop.now();
  // A /24 of 127.0.0.0/8 by the process id, so that runs side by side don't meet.
  block_ = (127U << 24) | (16U + static_cast<uint32_t>(getpid() / 200 % 200)) << 16 |
           (1U + static_cast<uint32_t>(getpid() % 200)) << 8;
  for (int i = 0; i < count(); ++i) {
    listen_.push_back(free_address());
    peer_listen_.push_back(free_address());
    worker_side_.push_back(free_address());
    report_proxies_.push_back(
        std::make_unique<HoldProxy>(loop, worker_side_.back(), listen_.back()));
  }
  state = std::make_unique<StateService>(*this);
  cloud = std::make_unique<Cloud>(*this);
  balancer = std::make_unique<LoadBalancer>(*this);
  controllers = std::make_unique<Controllers>(*this);
  record(trouble ? "the disruption is played" : "TROUBLE=0: without the disruption");
}

Rig::~Rig() {
  controllers.reset();
  on_leave = nullptr;
}

int Rig::node_index(const std::string& name) const {
  for (int i = 0; i < count(); ++i)
    if (node(i) == name) return i;
  return -1;
}

Address Rig::free_address() {
  static uint32_t next_host = 0;
  const uint32_t host = 1 + next_host++ % 250;
  Address address{htonl(block_ | host), 0};
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in sa = to_sockaddr(address);
  socklen_t size = sizeof sa;
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&sa), sizeof sa) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&sa), &size) != 0)
    throw std::runtime_error("no free port");
  close(fd);
  return parse_address(
      format_address({address.ip, 0}).substr(0, format_address({address.ip, 0}).rfind(':') + 1) +
      std::to_string(ntohs(sa.sin_port)));
}

void Rig::record(const std::string& line) {
  char stamp[32];
  std::snprintf(stamp, sizeof stamp, "%8.3f ", now());
  record_ << stamp << line << std::endl;
}

double Rig::uniform(double from, double to) {
  return std::uniform_real_distribution<>(from, to)(random);
}

int Rig::run(double seconds) {
  loop.after(seconds, [this] { finish(2, "the case did not come to its end in time"); });
  loop.run();
  return status_;
}

void Rig::finish(int status, const std::string& verdict) {
  status_ = status;
  record("verdict " + std::to_string(status) + ": " + verdict);
  std::printf("%s\n", verdict.c_str());
  loop.stop();
}

Json job_spec(const std::string& id, const std::string& crew, const std::string& berth,
              const std::string& sort, const std::string& rank, int tasks, double cpus,
              double memory_gb, const std::string& image, double image_gb, double run_s) {
  return {{"id", id},         {"berth", berth},      {"crew", crew},
          {"sort", sort},     {"rank", rank},        {"chores", tasks},
          {"cores", cpus},    {"cards", 0.0},        {"memoryGb", memory_gb},
          {"bundle", image},  {"imageGb", image_gb}, {"breeds", nullptr},
          {"yard", nullptr},  {"oneZone", false},    {"scatter", false},
          {"loaners", false}, {"guessS", run_s},     {"snapshotS", 0.0},
          {"stowS", 0.0},     {"dueS", nullptr}};
}

}  // namespace review
