// The process of one controller: connects the core to its sockets. Requests become commands for the
// core; the core's effects become answers and outgoing calls.
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
  void on_request(ExchangeId id, HttpMessage&& m);
  void on_peer_request(ExchangeId id, HttpMessage&& m);
  void process_commands();
  void execute(coordination::Effect&& effect);
  void call(const coordination::Call& c);
  void answer(HttpServer& server, ExchangeId id, const protocol::HttpAnswer& a);
  void schedule_wakeup();
  const coordination::ProcessLoad& process_load();

  EventLoop& event_loop_;
  coordination::Core core_;
  Address state_store_address_, cloud_address_;
  HttpClient client_;
  std::unique_ptr<HttpServer> server_, peer_server_;  // server_: for users and workers
  std::deque<coordination::Command> commands_;
  EventLoop::TimerId wakeup_ = 0;  // 0: no timer is set
  double wakeup_at_ = 0;
  coordination::ProcessLoad load_;
  double next_load_reading_ = 0;
  double load_interval_s_;
};

}  // namespace rushtrestle::transport
