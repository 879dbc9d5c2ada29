#include "transport/controller_server.h"

#include <malloc.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <random>

namespace rushtrestle::transport {

using namespace coordination;

namespace {
std::string new_incarnation(std::random_device& device) {
  // Identifies this run of the process in its writes and its keys.
  return fmt::format("{:08x}{:08x}", device(), device());
}

// Shares of the connections that the platform allows: most for users and workers, the rest for
// outgoing connections and peers. The shares add up to less than 1, so that the limit itself is
// never reached.
constexpr double kServerShare = 0.55, kClientShare = 0.3, kPeerShare = 0.05;

size_t share_of(const store::Settings& s, double share) {
  return static_cast<size_t>(std::max(4.0, s.max_connections * share));
}

double process_cpu_s() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

/// Returns the memory in use in MiB, without the freed memory that the allocator keeps.
double allocated_mb() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / (1024.0 * 1024.0);
}

/// The order in which the effects of one batch are executed. On an overloaded CPU the last effects
/// are late; a late lease renewal lost the lease, all shards and the answers to all their workers.
enum class Urgency { renewal, worker, other };
Urgency urgency(const Effect& effect) {
  if (std::holds_alternative<AnswerHeartbeat>(effect) ||
      std::holds_alternative<AnswerForwardedHeartbeat>(effect))
    return Urgency::worker;
  const auto* call = std::get_if<Call>(&effect);
  if (!call) return Urgency::other;
  if (std::holds_alternative<GrantLease>(call->body) ||
      std::holds_alternative<RenewLease>(call->body))
    return Urgency::renewal;
  return std::holds_alternative<PushCommands>(call->body) ? Urgency::worker : Urgency::other;
}

// Maximum size of a reply, in bytes: more than one page of the state store or of the cloud's list.
// Requests of peers have the same limit because a controller's state names its machines: with
// kBodyLimit, controllers of 5,000 machines did not receive each other's state.
size_t reply_limit(const store::Settings& s) {
  return static_cast<size_t>(s.memory_mb * 1024 * 1024 / 14);
}
}  // namespace

ControllerServer::ControllerServer(EventLoop& event_loop, const store::Settings& settings,
                                   const store::OperatorSettings& operators,
                                   LogLine::Level log_level)
    : event_loop_(event_loop),
      core_(
          settings, operators,
          [] {
            std::random_device device;
            return new_incarnation(device);
          }(),
          std::random_device{}(), log_level),
      state_store_address_(parse_address(settings.state)),
      cloud_address_(parse_address(settings.cloud)),
      client_(event_loop, share_of(settings, kClientShare), reply_limit(settings)),
      load_interval_s_(settings.heartbeat_interval_s) {
  const double idle_s = settings.lease_s * 8;
  server_ = std::make_unique<HttpServer>(
      event_loop, parse_address(settings.listen),
      HttpServer::Limits{share_of(settings, kServerShare), protocol::kBodyLimit, idle_s},
      [this](ExchangeId id, HttpMessage&& m) { on_request(id, std::move(m)); });
  peer_server_ = std::make_unique<HttpServer>(
      event_loop, parse_address(settings.peer_listen),
      HttpServer::Limits{share_of(settings, kPeerShare), reply_limit(settings), idle_s},
      [this](ExchangeId id, HttpMessage&& m) { on_peer_request(id, std::move(m)); });
  event_loop_.after_each_iteration([this] { process_commands(); });
  commands_.push_back(Tick{});
  process_commands();
}

const ProcessLoad& ControllerServer::process_load() {
  if (event_loop_.now() >= next_load_reading_) {
    next_load_reading_ = event_loop_.now() + load_interval_s_;
    load_.memory_mb = allocated_mb();
    load_.cpu_s = process_cpu_s();
  }
  return load_;
}

void ControllerServer::schedule_wakeup() {
  const double at = core_.next_wakeup();
  if (wakeup_ != 0) {
    if (wakeup_at_ <= at) return;  // an early wakeup does no harm, so the timer is kept
    event_loop_.cancel(wakeup_);
  }
  wakeup_at_ = at;
  wakeup_ = event_loop_.after(at - event_loop_.now(), [this] {
    wakeup_ = 0;
    commands_.push_back(Tick{});
  });
}

void ControllerServer::on_request(ExchangeId id, HttpMessage&& m) {
  auto decoded = protocol::decode_request(id, m.method, m.target, m.body, m.too_large);
  if (auto* command = std::get_if<Command>(&decoded)) {
    commands_.push_back(std::move(*command));
  } else {
    answer(*server_, id, std::get<protocol::HttpAnswer>(decoded));
  }
}

void ControllerServer::on_peer_request(ExchangeId id, HttpMessage&& m) {
  auto decoded = protocol::decode_peer_request(id, m.method, m.target, m.body);
  if (auto* command = std::get_if<Command>(&decoded)) {
    commands_.push_back(std::move(*command));
  } else {
    answer(*peer_server_, id, std::get<protocol::HttpAnswer>(decoded));
  }
}

void ControllerServer::answer(HttpServer& server, ExchangeId id, const protocol::HttpAnswer& a) {
  server.answer(id, a.status, a.body, a.content_type, a.headers);
}

void ControllerServer::process_commands() {
  if (commands_.empty()) return;
  // The clock is read after the commands were received and decoded, not before: a worker's lease
  // counts from the sending of its heartbeat, and the core relies on that being earlier than this
  // reading, however long receiving and decoding took.
  event_loop_.refresh_clock();
  const auto wall =
      std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  auto effects = core_.handle(commands_, Clock{event_loop_.now(), wall, process_load()});
  std::stable_sort(effects.begin(), effects.end(),
                   [](const Effect& a, const Effect& b) { return urgency(a) < urgency(b); });
  for (auto& effect : effects) execute(std::move(effect));
  schedule_wakeup();
}

void ControllerServer::execute(Effect&& effect) {
  struct Executor {
    ControllerServer& controller;
    void operator()(const AnswerUser& a) {
      controller.answer(*controller.server_, a.request, protocol::encode(a));
    }
    void operator()(const AnswerHeartbeat& a) {
      controller.answer(*controller.server_, a.request, protocol::encode(a));
    }
    void operator()(const AnswerStats& a) {
      controller.answer(*controller.server_, a.request, protocol::encode(a));
    }
    void operator()(const AnswerForwardedHeartbeat& a) {
      controller.answer(*controller.peer_server_, a.request, protocol::encode(a));
    }
    void operator()(const AnswerPeer& a) {
      controller.answer(*controller.peer_server_, a.request, protocol::encode(a));
    }
    void operator()(const Call& c) { controller.call(c); }
    void operator()(const LogLine& l) {
      switch (l.level) {
        case LogLine::Level::error: spdlog::error(l.text); break;
        case LogLine::Level::info: spdlog::info(l.text); break;
        case LogLine::Level::debug: spdlog::debug(l.text); break;
      }
    }
  };
  std::visit(Executor{*this}, std::move(effect));
}

void ControllerServer::call(const Call& c) {
  const auto http = protocol::encode(c);
  const auto kind = c.body.index();
  const auto* read = std::get_if<ReadKey>(&c.body);
  auto done = [this, id = c.id, kind, key = read ? read->key : std::string()](int status,
                                                                              std::string&& body) {
    constexpr bool kReplyTooLarge = true;
    if (status == HttpClient::kReplyTooLarge) {
      commands_.push_back(CallDone{id, 0, {}, kReplyTooLarge});
    } else {
      commands_.push_back(protocol::decode_reply(id, kind, key, status, body));
    }
  };
  Address to;
  try {
    to = http.service == protocol::Service::state   ? state_store_address_
         : http.service == protocol::Service::cloud ? cloud_address_
                                                    : parse_address(http.address);
  } catch (const std::invalid_argument&) {
    event_loop_.after(0, [done]() mutable { done(0, {}); });
    return;
  }
  client_.request(to, http.method, http.target, http.body, http.content_type, c.timeout_s,
                  std::move(done));
}

}  // namespace rushtrestle::transport
