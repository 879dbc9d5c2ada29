#include "simulation/cluster_simulation.h"

#include <algorithm>
#include <iostream>

namespace rushtrestle::testing {

ClusterSimulation::ClusterSimulation(Options options)
    : options_(std::move(options)), rng_(options_.seed) {
  settings_.nodes = options_.nodes;
  settings_.zones = {"a", "b"};
  settings_.clock_error_s = 1;
  settings_.teams = {{"red", {64, 16, 0}, {144, 40, 0}}, {"blue", {64, 16, 0}, {144, 40, 0}}};
  if (!options_.teams.empty()) settings_.teams = options_.teams;
  settings_.heartbeat_interval_s = options_.heartbeat_interval_s;
  settings_.lease_s = options_.lease_s;
  settings_.cancel_s = options_.cancel_s;
  settings_.gang_wait_s = options_.gang_wait_s;
  settings_.gang_peer_s = options_.gang_peer_s;
  settings_.state_rps = options_.state_rps;
  settings_.state_write_rps = options_.state_write_rps;
  std::tie(settings_.value_kb, settings_.txn_ops) = kPresentLimits;
  if (options_.next_limits) std::tie(settings_.value_kb, settings_.txn_ops) = *options_.next_limits;
  settings_.next_write_rps = options_.next_write_rps;
  settings_.cloud_rps = options_.cloud_rps;
  settings_.list_lag_s = 3;
  settings_.cpu_share = 0.16;
  settings_.memory_mb = 56;
  settings_.max_connections = options_.max_connections;
  settings_.cloud = settings_.state = "cloud";
  types_ = options_.types;
  if (types_.empty())
    types_ = {{"small", {16, 0, 64}, 50, 0.5, 1, 0.4, 8, {"a", "b"}},
              {"gpu", {32, 4, 256}, 300, 4, 20, 7, 10, {"a", "b"}}};
  for (int n = 0; n < options_.nodes; ++n) {
    nodes_.emplace_back();
    nodes_.back().name = node_name(n);
    nodes_.back().wall_offset = std::uniform_real_distribution<>(-1, 1)(rng_);
    if (const auto v = options_.versions.find(n); v != options_.versions.end())
      nodes_.back().version = v->second;
    nodes_.back().drift = 1 + std::uniform_real_distribution<>(0, 0.0005)(rng_);
  }
  state_.set_limits(kPresentLimits.first, kPresentLimits.second);
  state_.set_page(options_.page);
  state_.on_put = [this](const std::string& key) { send_kept_copies(key); };
  for (int n = 0; n < options_.nodes; ++n) start_node(n);
}

void ClusterSimulation::at(double t, std::function<void()> fn) {
  events_.emplace(std::make_pair(std::max(t, now_), ++serial_), std::move(fn));
}

void ClusterSimulation::run_until(double t) {
  while (!events_.empty() && events_.begin()->first.first <= t) {
    auto node = events_.extract(events_.begin());
    now_ = node.key().first;
    node.mapped()();
  }
  now_ = t;
}

void ClusterSimulation::fail(const std::string& what) {
  broken.push_back(std::to_string(now_) + " " + what);
}

// ---- nodes ----

void ClusterSimulation::start_node(int n) {
  Node& node = nodes_[static_cast<size_t>(n)];
  ++node.generation;
  store::Settings s = settings_;
  s.node = node.name;
  if (node.version == ControllerVersion::commit_9fefab8)
    std::tie(s.value_kb, s.txn_ops) = kPresentLimits;  // knows no others
  for (int i = 0; i < options_.nodes; ++i)
    if (i != n) s.peers.push_back({node_name(i), "a", node_name(i)});
  store::OperatorSettings operators;
  operators.requeue_delay_s = options_.requeue_delay_s;
  operators.consolidate = options_.consolidate;
  node.core = start_controller(
      node.version, {s, operators, node.name + "." + std::to_string(node.generation), rng_(),
                     options_.trace ? LogLine::Level::info : LogLine::Level::error});
  node.commands.clear();
  node.calls.clear();
  node.commands_to_workers.clear();
  node.alive = true;
  schedule_tick(n, settings_.heartbeat_interval_s / 80);
}

void ClusterSimulation::schedule_tick(int n, double after_s) {
  Node& waiting = nodes_[static_cast<size_t>(n)];
  const uint64_t serial = ++waiting.tick_serial;
  at(now_ + after_s, [this, n, serial, generation = waiting.generation] {
    Node& node = nodes_[static_cast<size_t>(n)];
    if (!node.alive || node.generation != generation || node.tick_serial != serial) return;
    node.commands.push_back(Tick{});
    process(n);
  });
}

void ClusterSimulation::deliver(int n, Command c) {
  Node& node = nodes_[static_cast<size_t>(n)];
  if (!node.alive) return;
  if (const auto* done = std::get_if<CallDone>(&c)) {
    node.calls.erase(done->call);
    node.commands_to_workers.erase(done->call);
  }
  node.commands.push_back(std::move(c));
  if (node.scheduled) return;
  node.scheduled = true;
  at(now_, [this, n, generation = node.generation] {
    nodes_[static_cast<size_t>(n)].scheduled = false;
    if (nodes_[static_cast<size_t>(n)].generation == generation) process(n);
  });
}

void ClusterSimulation::process(int n) {
  Node& node = nodes_[static_cast<size_t>(n)];
  if (!node.alive) return;
  if (now_ < node.frozen_until) {  // a tick after it takes up what has come
    schedule_tick(n, node.frozen_until - now_);
    return;
  }
  ++work_.turns;
  const int generation = node.generation;
  const double steady = now_ * node.drift + 1000;
  const bool starved = now_ < node.starved_until;
  constexpr size_t kStarvedBatch = 12;
  if (starved) {  // sockets are not read in the order in which something came to them; those with
                  // replies come first
    std::shuffle(node.commands.begin(), node.commands.end(), rng_);
    std::stable_partition(node.commands.begin(), node.commands.end(),
                          [](const Command& c) { return std::holds_alternative<CallDone>(c); });
  }
  std::deque<Command> batch;
  while (!node.commands.empty() && (!starved || batch.size() < kStarvedBatch)) {
    batch.push_back(std::move(node.commands.front()));
    node.commands.pop_front();
  }
  auto effects = node.core->handle(
      batch, Clock{steady, now_ + 1e9 + node.wall_offset, ProcessLoad{options_.memory_in_use_mb}});
  const auto wakeup = node.core->next_wakeup();
  schedule_tick(n, wakeup ? (*wakeup - steady) / node.drift : settings_.heartbeat_interval_s / 80);
  const auto carry_out_all = [this, n, generation](std::vector<Effect>& all) {
    for (auto& e : all) {
      if (nodes_[static_cast<size_t>(n)].generation != generation) return;
      carry_out(n, std::move(e));
    }
  };
  if (!starved) return carry_out_all(effects);
  node.frozen_until = now_ + node.batch_s;
  at(node.frozen_until,
     [carry_out_all, effects = std::move(effects)]() mutable { carry_out_all(effects); });
}

void ClusterSimulation::kill_node(int n, double back_after_s) {
  Node& node = nodes_[static_cast<size_t>(n)];
  if (!node.alive) return;
  node.alive = false;
  node.frozen_until = 0;
  node.starved_until = 0;
  ++node.generation;
  node.core.reset();
  node.scheduled = false;
  at(now_ + back_after_s, [this, n] {
    if (!nodes_[static_cast<size_t>(n)].alive) start_node(n);
  });
}

void ClusterSimulation::replace_node(int n, ControllerVersion version, double back_after_s) {
  nodes_[static_cast<size_t>(n)].version = version;
  kill_node(n, back_after_s);
}

void ClusterSimulation::carry_out(int n, Effect&& e) {
  const std::string& name = nodes_[static_cast<size_t>(n)].name;
  if (auto* a = std::get_if<AnswerUser>(&e)) {
    if (a->status == 503) ++work_.refusals;
    auto w = user_waiting_.extract(a->request);
    if (!w.empty()) send(name, "users", [then = w.mapped().then, answer = *a] { then(answer); });
  } else if (auto* r = std::get_if<AnswerHeartbeat>(&e)) {
    auto w = report_waiting_.extract(r->request);
    if (w.empty()) return;
    const auto waiting = w.mapped();
    send(name, waiting.worker, [this, waiting, answer = r->response, n] {
      const auto it = workers_.find(waiting.worker);
      if (it == workers_.end() || it->second.phase != Worker::Phase::up ||
          now_ < it->second.hang_until)
        return;
      Worker& worker = it->second;
      if (worker.report_serial != waiting.serial || !worker.reporting ||
          worker.agent_epoch != waiting.agent_epoch)
        return;
      advance(worker);
      worker.reporting = false;
      if (answer.status == 200) {
        worker.next_report = now_ + settings_.heartbeat_interval_s *
                                        std::uniform_real_distribution<>(0.75, 1.25)(rng_);
        if (answer.fencing_token < worker.fencing_token) return;  // dropped, renews nothing
        worker.fencing_token = answer.fencing_token;
        worker.lease_from = worker.last_sent;
        execute(worker, answer.commands);
      } else {
        bool named = false;
        if (answer.status == 421)
          for (int i = 0; i < options_.nodes; ++i)
            if (node_name(i) == answer.redirect && i != n) {
              worker.target = static_cast<size_t>(i);
              named = true;
            }
        if (!named) worker.target = (static_cast<size_t>(n) + 1) % nodes_.size();
        worker.next_report = now_ + (named ? 0.1 : 1);
      }
    });
  } else if (auto* p = std::get_if<AnswerPeer>(&e)) {
    const auto asker = peer_waiting_.find(p->request);
    if (asker != peer_waiting_.end()) forget_new_words(p->state, n, asker->second.node);
    answer_peer(name, p->request, p->state);
  } else if (auto* passed = std::get_if<AnswerForwardedHeartbeat>(&e)) {
    answer_peer(name, passed->request, passed->response);
  } else if (auto* c = std::get_if<Call>(&e)) {
    start_call(n, std::move(*c));
  } else if (auto* l = std::get_if<LogLine>(&e); l && options_.trace) {
    std::cerr << now_ << " " << name << " " << l->text << "\n";
  }
}

void ClusterSimulation::forget_new_words(PeerState& state, int from, int to) const {
  if (!options_.words_of_before.count(from) && !options_.words_of_before.count(to)) return;
  state.revision = 0;
  state.current_age_s.reset();
  state.known_cancellations.reset();
  state.offered_cancellations.reset();
}

void ClusterSimulation::answer_peer(const std::string& from, RequestId request, Reply reply) {
  auto w = peer_waiting_.extract(request);
  if (w.empty()) return;
  const auto waiting = w.mapped();
  send(from, node_name(waiting.node), [this, waiting, reply = std::move(reply)] {
    if (nodes_[static_cast<size_t>(waiting.node)].generation == waiting.generation)
      deliver(waiting.node, CallDone{waiting.call, 200, reply});
  });
}

// ---- network ----

std::optional<double> ClusterSimulation::transit(const std::string& from, const std::string& to) {
  double delay = std::uniform_real_distribution<>(0.0005, 0.004)(rng_);
  if (now_ < slow_links_until_) delay += std::uniform_real_distribution<>(0, link_delay_s_)(rng_);
  for (const auto& c : cuts_) {
    if (now_ >= c.until || !((c.from == from || c.from == "*") && (c.to == to || c.to == "*")))
      continue;
    if (!c.hold) return std::nullopt;
    delay = std::max(delay, c.until - now_ + delay);
  }
  return delay;
}

void ClusterSimulation::send(const std::string& from, const std::string& to,
                             std::function<void()> arrive) {
  if (const auto delay = transit(from, to)) at(now_ + *delay, std::move(arrive));
}

void ClusterSimulation::cut(const std::string& a, const std::string& b, double for_s, bool hold,
                            bool one_way) {
  cuts_.push_back({a, b, now_ + for_s, hold});
  if (!one_way) cuts_.push_back({b, a, now_ + for_s, hold});
}

void ClusterSimulation::unanswered_writes(double for_s, double share, bool at_once) {
  unanswered_until_ = now_ + for_s;
  unanswered_share_ = share;
  unanswered_at_once_ = at_once;
}

void ClusterSimulation::cut_workers(int n, double for_s, bool hold) {
  for (const auto& [id, w] : workers_) cut(node_name(n), id, for_s, hold);
}

void ClusterSimulation::cut_zone(const std::string& zone, const std::set<int>& nodes_inside,
                                 double for_s, bool hold) {
  std::vector<std::string> inside, outside{"state", "cloud", "users"};
  for (int n = 0; n < options_.nodes; ++n)
    (nodes_inside.count(n) ? inside : outside).push_back(node_name(n));
  for (const auto& [id, w] : workers_) (w.zone == zone ? inside : outside).push_back(id);
  for (const auto& a : inside)
    for (const auto& b : outside) cut(a, b, for_s, hold);
}

void ClusterSimulation::slow_links(double for_s, double delay_s) {
  slow_links_until_ = now_ + for_s;
  link_delay_s_ = delay_s;
}

void ClusterSimulation::freeze_node(int n, double for_s) {
  nodes_[static_cast<size_t>(n)].frozen_until = now_ + for_s;
}

void ClusterSimulation::starve_node(int n, double for_s, double batch_s) {
  Node& node = nodes_[static_cast<size_t>(n)];
  node.starved_until = now_ + for_s;
  node.batch_s = batch_s;
}

void ClusterSimulation::cut_node(int n, double for_s, bool hold) {
  cut(node_name(n), "*", for_s, hold);
}

// As the transport does: a call for which there is no socket has no answer.
bool ClusterSimulation::take_socket(Node& node, const Call& c) {
  constexpr double kShareForCalls = 0.3;
  const auto sockets = static_cast<size_t>(settings_.max_connections * kShareForCalls);
  if (node.calls.size() >= sockets) {
    ++work_.calls_without_socket;
    return false;
  }
  node.calls.insert(c.id);
  if (std::holds_alternative<PushCommands>(c.body)) node.commands_to_workers.insert(c.id);
  work_.most_commands_at_once =
      std::max(work_.most_commands_at_once, node.commands_to_workers.size());
  return true;
}

void ClusterSimulation::start_call(int n, Call&& c) {
  Node& node = nodes_[static_cast<size_t>(n)];
  const int generation = node.generation;
  if (take_socket(node, c)) return perform(n, generation, std::move(c));
  at(now_, [this, n, generation, id = c.id] {
    if (nodes_[static_cast<size_t>(n)].generation == generation) deliver(n, CallDone{id, 0, {}});
  });
}

void ClusterSimulation::deliver_to(int n, int generation, CallDone&& done) {
  if (nodes_[static_cast<size_t>(n)].generation == generation) deliver(n, std::move(done));
}

// Whatever comes first, an answer or the time-out, ends the call; the core ignores the second.
void ClusterSimulation::perform(int n, int generation, Call&& call) {
  const double deadline = now_ + call.timeout_s;
  const AnswerBack back = [this, n, generation](const std::string& from, CallDone&& answer) {
    send(from, node_name(n), [this, n, generation, done = std::move(answer)]() mutable {
      deliver_to(n, generation, std::move(done));
    });
  };
  at(deadline, [this, n, generation, id = call.id] {
    deliver_to(n, generation, CallDone{id, 0, {}});
  });
  if (std::holds_alternative<PushCommands>(call.body)) {
    call_worker(n, call, back);
  } else if (std::holds_alternative<SendPeerState>(call.body) ||
             std::holds_alternative<ForwardHeartbeat>(call.body)) {
    call_peer(n, generation, call);
  } else if (std::holds_alternative<Watch>(call.body)) {
    send(node_name(n), "state",
         [this, n, generation, call, deadline] { watch(n, generation, call, deadline); });
  } else if (call.body.index() < CallBody(ListMachineTypes{}).index()) {
    call_state_store(n, call, back);
  } else {
    send(node_name(n), "cloud", [this, back, call] {
      at(now_ + 0.2, [this, back, call] { back("cloud", at_cloud(call)); });
    });
  }
}

void ClusterSimulation::call_worker(int n, const Call& call, const AnswerBack& back) {
  const std::string to = std::get<PushCommands>(call.body).address;
  send(node_name(n), to, [this, to, back, call] {
    const auto it = workers_.find(to);
    if (it == workers_.end() || it->second.phase != Worker::Phase::up) return;
    const auto run = [this, to, back, call] {
      if (workers_.count(to)) back(to, at_worker(to, call));
    };
    if (now_ < it->second.hang_until) {
      at(it->second.hang_until, run);  // a hanging machine continues with what has come
    } else {
      run();
    }
  });
}

void ClusterSimulation::call_peer(int n, int generation, const Call& call) {
  const auto* peer_state = std::get_if<SendPeerState>(&call.body);
  const std::string address =
      peer_state ? peer_state->address : std::get<ForwardHeartbeat>(call.body).address;
  send(node_name(n), address, [this, n, generation, to = address.back() - '0', call] {
    if (!nodes_[static_cast<size_t>(to)].alive) return;
    const RequestId request = next_request_++;
    peer_waiting_[request] = {n, generation, call.id};
    if (const auto* state = std::get_if<SendPeerState>(&call.body)) {
      PeerState said = state->state;
      ++work_.peer_messages;
      work_.machines_named_to_peers += said.machines_heard.size();
      forget_new_words(said, n, to);
      deliver(to, HandlePeerState{request, std::move(said)});
    } else {
      const auto& forwarded = std::get<ForwardHeartbeat>(call.body);
      deliver(to, HandleForwardedHeartbeat{request, forwarded.heartbeat});
    }
  });
}

void ClusterSimulation::call_state_store(int n, const Call& call, const AnswerBack& back) {
  const double slow = now_ < slow_until_ && rng_() % 4 == 0 ? 3 : 0;
  if (std::holds_alternative<Txn>(call.body) && now_ < unanswered_until_ &&
      std::uniform_real_distribution<>(0, 1)(rng_) < unanswered_share_) {
    const double late = unanswered_at_once_ ? 0 : std::uniform_real_distribution<>(2, 12)(rng_);
    send(node_name(n), "state",
         [this, n, late, call] { at(now_ + late, [this, n, call] { at_state(n, call); }); });
    return;
  }
  send(node_name(n), "state", [this, n, back, slow, call] {
    at(now_ + slow, [this, n, back, call] { back("state", at_state(n, call)); });
  });
}

Json ClusterSimulation::stats_of(int node) {
  Node& asked = nodes_.at(static_cast<size_t>(node));
  std::deque<Command> commands{ShowStats{next_request_++}};
  const Clock clock{now_ * asked.drift + 1000, now_ + 1e9 + asked.wall_offset, {}};
  for (Effect& effect : asked.core->handle(commands, clock))
    if (auto* answer = std::get_if<AnswerStats>(&effect)) return std::move(answer->body);
  return {};
}

}  // namespace rushtrestle::testing
