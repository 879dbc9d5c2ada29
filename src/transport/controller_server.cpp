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
  // Names this run of the process: marks its writes and its keys.
  return fmt::format("{:08x}{:08x}", device(), device());
}

// Shares of the sockets that the platform allows: most for users and workers, the rest
// for our own connections, with some left so that the limit itself is never met.
constexpr double kServerShare = 0.55, kClientShare = 0.3, kPeerShare = 0.05;

size_t share_of(const store::Settings& s, double share) {
  return static_cast<size_t>(std::max(4.0, s.max_connections * share));
}

double process_cpu_s() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

/// What is allocated now, without what the allocator keeps for later.
double allocated_mb() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / (1024.0 * 1024.0);
}

/// The order in which the effects of one batch leave. With little processor time the last leave
/// late, and a renewal that did lost the lease, all parts, and the answers to all their workers.
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

// A whole page of the state service or of the cloud's list, with room to spare. What peers say is
// as long as that at most, too: it names machines, and with the protocol's limit for others
// controllers of 5,000 machines did not hear each other.
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
      state_(parse_address(settings.state)),
      cloud_(parse_address(settings.cloud)),
      client_(event_loop, share_of(settings, kClientShare), reply_limit(settings)),
      load_every_s_(settings.heartbeat_interval_s) {
  const double idle_s = settings.lease_s * 8;
  job_service_ = std::make_unique<HttpServer>(
      event_loop, parse_address(settings.listen),
      HttpServer::Limits{share_of(settings, kServerShare), protocol::kBodyLimit, idle_s},
      [this](ExchangeId id, HttpMessage&& m) { from_users(id, std::move(m)); });
  peers_ = std::make_unique<HttpServer>(
      event_loop, parse_address(settings.peer_listen),
      HttpServer::Limits{share_of(settings, kPeerShare), reply_limit(settings), idle_s},
      [this](ExchangeId id, HttpMessage&& m) { from_peers(id, std::move(m)); });
  event_loop_.each_turn([this] { turn(); });
  commands_.push_back(Tick{});
  turn();
}

const ProcessLoad& ControllerServer::process_load() {
  if (event_loop_.now() >= next_load_reading_) {
    next_load_reading_ = event_loop_.now() + load_every_s_;
    load_.memory_mb = allocated_mb();
    load_.cpu_s = process_cpu_s();
  }
  return load_;
}

void ControllerServer::arm_wakeup() {
  const double at = core_.next_wakeup();
  if (wakeup_ != 0) {
    if (wakeup_at_ <= at) return;  // early is as good, and the timer stays as it is
    event_loop_.cancel(wakeup_);
  }
  wakeup_at_ = at;
  wakeup_ = event_loop_.after(at - event_loop_.now(), [this] {
    wakeup_ = 0;
    commands_.push_back(Tick{});
  });
}

void ControllerServer::from_users(ExchangeId id, HttpMessage&& m) {
  auto decoded = protocol::decode_request(id, m.method, m.target, m.body, m.too_large);
  if (auto* command = std::get_if<Command>(&decoded)) {
    commands_.push_back(std::move(*command));
  } else {
    answer(*job_service_, id, std::get<protocol::HttpAnswer>(decoded));
  }
}

void ControllerServer::from_peers(ExchangeId id, HttpMessage&& m) {
  auto decoded = protocol::decode_peer_request(id, m.method, m.target, m.body);
  if (auto* command = std::get_if<Command>(&decoded)) {
    commands_.push_back(std::move(*command));
  } else {
    answer(*peers_, id, std::get<protocol::HttpAnswer>(decoded));
  }
}

void ControllerServer::answer(HttpServer& server, ExchangeId id, const protocol::HttpAnswer& a) {
  server.answer(id, a.status, a.body, a.content_type, a.headers);
}

void ControllerServer::turn() {
  if (commands_.empty()) return;
  // Read after the commands, not before: the time that a worker is answered counts from a report
  // that was sent before this reading, however long it took to read and decode what has come.
  event_loop_.refresh_clock();
  const auto wall =
      std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  auto effects = core_.handle(commands_, Clock{event_loop_.now(), wall, process_load()});
  std::stable_sort(effects.begin(), effects.end(),
                   [](const Effect& a, const Effect& b) { return urgency(a) < urgency(b); });
  for (auto& effect : effects) carry_out(std::move(effect));
  arm_wakeup();
}

void ControllerServer::carry_out(Effect&& effect) {
  struct Out {
    ControllerServer& node;
    void operator()(const AnswerUser& a) {
      node.answer(*node.job_service_, a.request, protocol::encode(a));
    }
    void operator()(const AnswerHeartbeat& a) {
      node.answer(*node.job_service_, a.request, protocol::encode(a));
    }
    void operator()(const AnswerStats& a) {
      node.answer(*node.job_service_, a.request, protocol::encode(a));
    }
    void operator()(const AnswerForwardedHeartbeat& a) {
      node.answer(*node.peers_, a.request, protocol::encode(a));
    }
    void operator()(const AnswerPeer& a) {
      node.answer(*node.peers_, a.request, protocol::encode(a));
    }
    void operator()(const Call& c) { node.call(c); }
    void operator()(const LogLine& l) {
      switch (l.level) {
        case LogLine::Level::error: spdlog::error(l.text); break;
        case LogLine::Level::info: spdlog::info(l.text); break;
        case LogLine::Level::debug: spdlog::debug(l.text); break;
      }
    }
  };
  std::visit(Out{*this}, std::move(effect));
}

void ControllerServer::call(const Call& c) {
  const auto http = protocol::encode(c);
  const auto kind = c.body.index();
  const auto* read = std::get_if<ReadKey>(&c.body);
  auto done = [this, id = c.id, kind, key = read ? read->key : std::string()](int status,
                                                                              std::string&& body) {
    commands_.push_back(protocol::decode_reply(id, kind, key, status, body));
  };
  Address to;
  try {
    to = http.service == protocol::Service::state   ? state_
         : http.service == protocol::Service::cloud ? cloud_
                                                    : parse_address(http.address);
  } catch (const std::invalid_argument&) {
    event_loop_.after(0, [done]() mutable { done(0, {}); });
    return;
  }
  client_.request(to, http.method, http.target, http.body, http.content_type, c.timeout_s,
                  std::move(done));
}

}  // namespace rushtrestle::transport
