#include "transport/node.h"

#include <spdlog/spdlog.h>

#include <chrono>
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

// A whole page of the state service or of the cloud's list, with room to spare.
size_t reply_limit(const store::Settings& s) { return static_cast<size_t>(s.memory_mb * 1024 * 1024 / 14); }
}  // namespace

Node::Node(Loop& loop, const store::Settings& settings, const store::OperatorSettings& operators, LogLine::Level log_level)
    : loop_(loop),
      core_(
          settings, operators,
          [] {
            std::random_device device;
            return new_incarnation(device);
          }(),
          std::random_device{}(), log_level),
      state_(parse_address(settings.state)),
      cloud_(parse_address(settings.cloud)),
      client_(loop, share_of(settings, kClientShare), reply_limit(settings)) {
  const double idle_s = settings.lease_s * 8;
  users_ = std::make_unique<HttpServer>(loop, parse_address(settings.listen),
                                        HttpServer::Limits{share_of(settings, kServerShare), protocol::kBodyLimit, idle_s},
                                        [this](ExchangeId id, Message&& m) { from_users(id, std::move(m)); });
  peers_ = std::make_unique<HttpServer>(loop, parse_address(settings.peer_listen),
                                        HttpServer::Limits{share_of(settings, kPeerShare), protocol::kBodyLimit, idle_s},
                                        [this](ExchangeId id, Message&& m) { from_peers(id, std::move(m)); });
  loop_.each_turn([this] { turn(); });
  commands_.push_back(Tick{});
  turn();
}

void Node::arm_wakeup() {
  const double at = core_.next_wakeup();
  if (wakeup_ != 0) {
    if (wakeup_at_ <= at) return;  // early is as good, and the timer stays as it is
    loop_.cancel(wakeup_);
  }
  wakeup_at_ = at;
  wakeup_ = loop_.after(at - loop_.now(), [this] {
    wakeup_ = 0;
    commands_.push_back(Tick{});
  });
}

void Node::from_users(ExchangeId id, Message&& m) {
  auto decoded = protocol::decode_request(id, m.method, m.target, m.body, m.too_large);
  if (auto* command = std::get_if<Command>(&decoded)) {
    commands_.push_back(std::move(*command));
  } else {
    answer(*users_, id, std::get<protocol::HttpAnswer>(decoded));
  }
}

void Node::from_peers(ExchangeId id, Message&& m) {
  auto decoded = protocol::decode_peer_request(id, m.method, m.target, m.body);
  if (auto* command = std::get_if<Command>(&decoded)) {
    commands_.push_back(std::move(*command));
  } else {
    answer(*peers_, id, std::get<protocol::HttpAnswer>(decoded));
  }
}

void Node::answer(HttpServer& server, ExchangeId id, const protocol::HttpAnswer& a) {
  server.answer(id, a.status, a.body, a.content_type, a.headers);
}

void Node::turn() {
  if (commands_.empty()) return;
  const auto wall = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  for (auto& effect : core_.handle(commands_, Clock{loop_.now(), wall})) carry_out(std::move(effect));
  arm_wakeup();
}

void Node::carry_out(Effect&& effect) {
  struct Out {
    Node& node;
    void operator()(const AnswerUser& a) { node.answer(*node.users_, a.request, protocol::encode(a)); }
    void operator()(const AnswerReport& a) { node.answer(*node.users_, a.request, protocol::encode(a)); }
    void operator()(const AnswerStats& a) { node.answer(*node.users_, a.request, protocol::encode(a)); }
    void operator()(const AnswerRelayedReport& a) { node.answer(*node.peers_, a.request, protocol::encode(a)); }
    void operator()(const AnswerPeer& a) { node.answer(*node.peers_, a.request, protocol::encode(a)); }
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

void Node::call(const Call& c) {
  const auto http = protocol::encode(c);
  const auto kind = c.body.index();
  const auto* read = std::get_if<ReadKey>(&c.body);
  auto done = [this, id = c.id, kind, key = read ? read->key : std::string()](int status, std::string&& body) {
    commands_.push_back(protocol::decode_reply(id, kind, key, status, body));
  };
  Address to;
  try {
    to = http.service == protocol::Service::state   ? state_
         : http.service == protocol::Service::cloud ? cloud_
                                                    : parse_address(http.address);
  } catch (const std::invalid_argument&) {
    loop_.after(0, [done]() mutable { done(0, {}); });
    return;
  }
  client_.request(to, http.method, http.target, http.body, http.content_type, c.timeout_s, std::move(done));
}

}  // namespace rushtrestle::transport
