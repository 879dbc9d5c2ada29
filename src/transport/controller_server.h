// One controller: sockets around the core. Requests become commands, effects become
// answers and calls.
#pragma once
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "coordination/core.h"
#include "protocol/codec.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace rushtrestle::transport {

class ControllerServer {
 public:
  ControllerServer(EventLoop& event_loop, const store::Settings& settings,
                   const store::OperatorSettings& operators,
                   coordination::LogLine::Level log_level);

 private:
  void from_users(ExchangeId id, HttpMessage&& m);
  void from_peers(ExchangeId id, HttpMessage&& m);
  void turn();
  void carry_out(coordination::Effect&& effect);
  void call(const coordination::Call& c);
  void answer(HttpServer& server, ExchangeId id, const protocol::HttpAnswer& a);
  void arm_wakeup();
  const coordination::ProcessLoad& process_load();

  EventLoop& event_loop_;
  coordination::Core core_;
  Address state_, cloud_;
  HttpClient client_;
  std::unique_ptr<HttpServer> job_service_, peers_;
  std::deque<coordination::Command> commands_;
  EventLoop::TimerId wakeup_ = 0;  // 0: not armed
  double wakeup_at_ = 0;
  coordination::ProcessLoad load_;
  double next_load_reading_ = 0;
  double load_every_s_;
};

}  // namespace rushtrestle::transport
