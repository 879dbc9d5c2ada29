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
  std::tie(settings_.value_kb, settings_.txn_ops) = kInitialLimits;
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
  for (int node_index = 0; node_index < options_.nodes; ++node_index) {
    nodes_.emplace_back();
    nodes_.back().name = node_name(node_index);
    nodes_.back().wall_offset = std::uniform_real_distribution<>(-1, 1)(rng_);
    if (const auto version = options_.versions.find(node_index); version != options_.versions.end())
      nodes_.back().version = version->second;
    nodes_.back().drift = 1 + std::uniform_real_distribution<>(0, 0.0005)(rng_);
  }
  state_.set_limits(kInitialLimits.first, kInitialLimits.second);
  state_.set_page(options_.state_page_entries);
  state_.on_put = [this](const std::string& key) { replay_recorded_heartbeats(key); };
  for (int node_index = 0; node_index < options_.nodes; ++node_index) start_node(node_index);
}

void ClusterSimulation::at(double time_s, std::function<void()> fn) {
  events_.emplace(std::make_pair(std::max(time_s, now_), ++serial_), std::move(fn));
}

void ClusterSimulation::run_until(double time_s) {
  while (!events_.empty() && events_.begin()->first.first <= time_s) {
    auto node = events_.extract(events_.begin());
    now_ = node.key().first;
    node.mapped()();
  }
  now_ = time_s;
}

void ClusterSimulation::fail(const std::string& what) {
  violations.push_back(std::to_string(now_) + " " + what);
}

// ---- Controllers ----

void ClusterSimulation::start_node(int node_index) {
  Node& node = nodes_[static_cast<size_t>(node_index)];
  ++node.generation;
  store::Settings settings = settings_;
  settings.node = node.name;
  if (node.version == ControllerVersion::commit_9fefab8)
    // This version knows only the initial limits.
    std::tie(settings.value_kb, settings.txn_ops) = kInitialLimits;
  for (int peer_index = 0; peer_index < options_.nodes; ++peer_index)
    if (peer_index != node_index)
      settings.peers.push_back({node_name(peer_index), "a", node_name(peer_index)});
  store::OperatorSettings operators;
  operators.requeue_delay_s = options_.requeue_delay_s;
  operators.consolidate = options_.consolidate;
  node.core = start_controller(
      node.version, {settings, operators, node.name + "." + std::to_string(node.generation), rng_(),
                     options_.trace ? LogLine::Level::info : LogLine::Level::error});
  node.commands.clear();
  node.calls.clear();
  node.commands_to_workers.clear();
  node.alive = true;
  schedule_tick(node_index, settings_.heartbeat_interval_s / 80);
}

void ClusterSimulation::schedule_tick(int node_index, double after_s) {
  Node& waiting = nodes_[static_cast<size_t>(node_index)];
  const uint64_t serial = ++waiting.tick_serial;
  at(now_ + after_s, [this, node_index, serial, generation = waiting.generation] {
    Node& node = nodes_[static_cast<size_t>(node_index)];
    if (!node.alive || node.generation != generation || node.tick_serial != serial) return;
    node.commands.push_back(Tick{});
    process(node_index);
  });
}

void ClusterSimulation::deliver(int node_index, Command command) {
  Node& node = nodes_[static_cast<size_t>(node_index)];
  if (!node.alive) return;
  if (const auto* done = std::get_if<CallDone>(&command)) {
    node.calls.erase(done->call);
    node.commands_to_workers.erase(done->call);
  }
  node.commands.push_back(std::move(command));
  if (node.scheduled) return;
  node.scheduled = true;
  at(now_, [this, node_index, generation = node.generation] {
    nodes_[static_cast<size_t>(node_index)].scheduled = false;
    if (nodes_[static_cast<size_t>(node_index)].generation == generation) process(node_index);
  });
}

void ClusterSimulation::process(int node_index) {
  Node& node = nodes_[static_cast<size_t>(node_index)];
  if (!node.alive) return;
  if (now_ < node.frozen_until) {  // the tick at the end processes the queued commands
    schedule_tick(node_index, node.frozen_until - now_);
    return;
  }
  ++counters_.batches_processed;
  const int generation = node.generation;
  const double steady_time_s = now_ * node.drift + 1000;
  const bool starved = now_ < node.starved_until;
  constexpr size_t kStarvedBatch = 12;
  // Sockets are not read in the order in which data arrived; those with replies are read first.
  if (starved) {
    std::shuffle(node.commands.begin(), node.commands.end(), rng_);
    std::stable_partition(node.commands.begin(), node.commands.end(), [](const Command& command) {
      return std::holds_alternative<CallDone>(command);
    });
  }
  std::deque<Command> batch;
  while (!node.commands.empty() && (!starved || batch.size() < kStarvedBatch)) {
    batch.push_back(std::move(node.commands.front()));
    node.commands.pop_front();
  }
  auto effects = node.core->handle(batch, Clock{steady_time_s, now_ + 1e9 + node.wall_offset,
                                                ProcessLoad{options_.memory_in_use_mb}});
  const auto wakeup = node.core->next_wakeup();
  schedule_tick(node_index, wakeup ? (*wakeup - steady_time_s) / node.drift
                                   : settings_.heartbeat_interval_s / 80);
  const auto apply_all = [this, node_index, generation](std::vector<Effect>& all) {
    for (auto& effect : all) {
      if (nodes_[static_cast<size_t>(node_index)].generation != generation) return;
      apply_effect(node_index, std::move(effect));
    }
  };
  if (!starved) return apply_all(effects);
  node.frozen_until = now_ + node.batch_s;
  at(node.frozen_until,
     [apply_all, effects = std::move(effects)]() mutable { apply_all(effects); });
}

void ClusterSimulation::kill_node(int node_index, double back_after_s) {
  Node& node = nodes_[static_cast<size_t>(node_index)];
  if (!node.alive) return;
  node.alive = false;
  node.frozen_until = 0;
  node.starved_until = 0;
  ++node.generation;
  node.core.reset();
  node.scheduled = false;
  at(now_ + back_after_s, [this, node_index] {
    if (!nodes_[static_cast<size_t>(node_index)].alive) start_node(node_index);
  });
}

void ClusterSimulation::replace_node(int node_index, ControllerVersion version,
                                     double back_after_s) {
  nodes_[static_cast<size_t>(node_index)].version = version;
  kill_node(node_index, back_after_s);
}

void ClusterSimulation::apply_effect(int node_index, Effect&& effect) {
  const std::string& name = nodes_[static_cast<size_t>(node_index)].name;
  if (auto* user_answer = std::get_if<AnswerUser>(&effect)) {
    if (user_answer->status == 503) ++counters_.retry_later_answers;
    auto pending = user_waiting_.extract(user_answer->request);
    if (!pending.empty())
      send(name, "users", [then = pending.mapped().then, answer = *user_answer] { then(answer); });
  } else if (auto* heartbeat_answer = std::get_if<AnswerHeartbeat>(&effect)) {
    auto pending = report_waiting_.extract(heartbeat_answer->request);
    if (pending.empty()) return;
    const auto waiting = pending.mapped();
    send(name, waiting.worker, [this, waiting, answer = heartbeat_answer->response, node_index] {
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
        // An outdated answer is dropped and does not renew the lease.
        if (answer.fencing_token < worker.fencing_token) return;
        worker.fencing_token = answer.fencing_token;
        worker.lease_renewed_at = worker.last_sent;
        execute(worker, answer.commands);
      } else {
        bool redirected = false;
        if (answer.status == 421)
          for (int peer_index = 0; peer_index < options_.nodes; ++peer_index)
            if (node_name(peer_index) == answer.redirect && peer_index != node_index) {
              worker.target = static_cast<size_t>(peer_index);
              redirected = true;
            }
        if (!redirected) worker.target = (static_cast<size_t>(node_index) + 1) % nodes_.size();
        worker.next_report = now_ + (redirected ? 0.1 : 1);
      }
    });
  } else if (auto* peer_answer = std::get_if<AnswerPeer>(&effect)) {
    const auto requester = peer_waiting_.find(peer_answer->request);
    if (requester != peer_waiting_.end())
      clear_new_peer_fields(peer_answer->state, node_index, requester->second.node);
    answer_peer(name, peer_answer->request, peer_answer->state);
  } else if (auto* forwarded = std::get_if<AnswerForwardedHeartbeat>(&effect)) {
    answer_peer(name, forwarded->request, forwarded->response);
  } else if (auto* call = std::get_if<Call>(&effect)) {
    start_call(node_index, std::move(*call));
  } else if (auto* log_line = std::get_if<LogLine>(&effect); log_line && options_.trace) {
    std::cerr << now_ << " " << name << " " << log_line->text << "\n";
  }
}

void ClusterSimulation::clear_new_peer_fields(PeerState& state, int from, int to) const {
  if (!options_.nodes_without_new_peer_fields.count(from) &&
      !options_.nodes_without_new_peer_fields.count(to))
    return;
  state.revision = 0;
  state.current_age_s.reset();
  state.known_cancellations.reset();
  state.offered_cancellations.reset();
}

void ClusterSimulation::answer_peer(const std::string& from, RequestId request, Reply reply) {
  auto pending = peer_waiting_.extract(request);
  if (pending.empty()) return;
  const auto waiting = pending.mapped();
  send(from, node_name(waiting.node), [this, waiting, reply = std::move(reply)] {
    if (nodes_[static_cast<size_t>(waiting.node)].generation == waiting.generation)
      deliver(waiting.node, CallDone{waiting.call, 200, reply});
  });
}

// ---- Network ----

std::optional<double> ClusterSimulation::delivery_delay(const std::string& from,
                                                        const std::string& to) {
  double delay = std::uniform_real_distribution<>(0.0005, 0.004)(rng_);
  if (now_ < slow_links_until_) delay += std::uniform_real_distribution<>(0, link_delay_s_)(rng_);
  for (const auto& link_cut : cuts_) {
    if (now_ >= link_cut.until || !((link_cut.from == from || link_cut.from == "*") &&
                                    (link_cut.to == to || link_cut.to == "*")))
      continue;
    if (!link_cut.hold) return std::nullopt;
    delay = std::max(delay, link_cut.until - now_ + delay);
  }
  return delay;
}

void ClusterSimulation::send(const std::string& from, const std::string& to,
                             std::function<void()> arrive) {
  if (const auto delay = delivery_delay(from, to)) at(now_ + *delay, std::move(arrive));
}

void ClusterSimulation::cut(const std::string& from, const std::string& to, double for_s, bool hold,
                            bool one_way) {
  cuts_.push_back({from, to, now_ + for_s, hold});
  if (!one_way) cuts_.push_back({to, from, now_ + for_s, hold});
}

void ClusterSimulation::lose_transaction_answers(double for_s, double share, bool at_once) {
  unanswered_until_ = now_ + for_s;
  unanswered_share_ = share;
  unanswered_at_once_ = at_once;
}

void ClusterSimulation::cut_workers(int node_index, double for_s, bool hold) {
  for (const auto& [id, worker] : workers_) cut(node_name(node_index), id, for_s, hold);
}

void ClusterSimulation::cut_zone(const std::string& zone, const std::set<int>& nodes_inside,
                                 double for_s, bool hold) {
  std::vector<std::string> inside, outside{"state", "cloud", "users"};
  for (int node_index = 0; node_index < options_.nodes; ++node_index)
    (nodes_inside.count(node_index) ? inside : outside).push_back(node_name(node_index));
  for (const auto& [id, worker] : workers_) (worker.zone == zone ? inside : outside).push_back(id);
  for (const auto& inner : inside)
    for (const auto& outer : outside) cut(inner, outer, for_s, hold);
}

void ClusterSimulation::slow_links(double for_s, double delay_s) {
  slow_links_until_ = now_ + for_s;
  link_delay_s_ = delay_s;
}

void ClusterSimulation::freeze_node(int node_index, double for_s) {
  nodes_[static_cast<size_t>(node_index)].frozen_until = now_ + for_s;
}

void ClusterSimulation::starve_node(int node_index, double for_s, double batch_s) {
  Node& node = nodes_[static_cast<size_t>(node_index)];
  node.starved_until = now_ + for_s;
  node.batch_s = batch_s;
}

void ClusterSimulation::cut_node(int node_index, double for_s, bool hold) {
  cut(node_name(node_index), "*", for_s, hold);
}

// Reserves a socket as the transport does. A call without a socket ends without an answer.
bool ClusterSimulation::take_socket(Node& node, const Call& call) {
  constexpr double kShareForCalls = 0.3;
  const auto sockets = static_cast<size_t>(settings_.max_connections * kShareForCalls);
  if (node.calls.size() >= sockets) {
    ++counters_.calls_without_socket;
    return false;
  }
  node.calls.insert(call.id);
  if (std::holds_alternative<PushCommands>(call.body)) node.commands_to_workers.insert(call.id);
  counters_.max_commands_in_flight =
      std::max(counters_.max_commands_in_flight, node.commands_to_workers.size());
  return true;
}

void ClusterSimulation::start_call(int node_index, Call&& call) {
  Node& node = nodes_[static_cast<size_t>(node_index)];
  const int generation = node.generation;
  if (take_socket(node, call)) return dispatch_call(node_index, generation, std::move(call));
  at(now_, [this, node_index, generation, id = call.id] {
    if (nodes_[static_cast<size_t>(node_index)].generation == generation)
      deliver(node_index, CallDone{id, 0, {}});
  });
}

void ClusterSimulation::deliver_to(int node_index, int generation, CallDone&& done) {
  if (nodes_[static_cast<size_t>(node_index)].generation == generation)
    deliver(node_index, std::move(done));
}

// The first of the answer and the time-out ends the call; the core ignores the other.
void ClusterSimulation::dispatch_call(int node_index, int generation, Call&& call) {
  const double deadline = now_ + call.timeout_s;
  const AnswerCallback answer_back = [this, node_index, generation](const std::string& from,
                                                                    CallDone&& answer) {
    send(from, node_name(node_index),
         [this, node_index, generation, done = std::move(answer)]() mutable {
           deliver_to(node_index, generation, std::move(done));
         });
  };
  at(deadline, [this, node_index, generation, id = call.id] {
    deliver_to(node_index, generation, CallDone{id, 0, {}});
  });
  if (std::holds_alternative<Watch>(call.body)) {
    send(node_name(node_index), "state", [this, node_index, generation, call, deadline] {
      watch(node_index, generation, call, deadline);
    });
    return;
  }
  if (now_ < repeats_until_) repeat_later(node_index, call);
  route_call(node_index, generation, call, answer_back);
}

void ClusterSimulation::repeat_requests(double for_s, double share, DelayRange delay) {
  repeats_until_ = now_ + for_s;
  repeated_share_ = share;
  repeat_delay_ = delay;
}

void ClusterSimulation::repeat_later(int node_index, const Call& call) {
  if (std::uniform_real_distribution<>(0, 1)(rng_) >= repeated_share_) return;
  const double delay =
      std::uniform_real_distribution<>(repeat_delay_.min_s, repeat_delay_.max_s)(rng_);
  at(now_ + delay, [this, node_index, call] {
    constexpr int kNobody = -1;  // no controller has this generation, so peers' answers are dropped
    route_call(node_index, kNobody, call, [](const std::string&, CallDone&&) {});
  });
}

void ClusterSimulation::route_call(int node_index, int generation, const Call& call,
                                   const AnswerCallback& answer_back) {
  if (std::holds_alternative<PushCommands>(call.body)) {
    call_worker(node_index, call, answer_back);
  } else if (std::holds_alternative<SendPeerState>(call.body) ||
             std::holds_alternative<ForwardHeartbeat>(call.body)) {
    call_peer(node_index, generation, call);
  } else if (call.body.index() < CallBody(ListMachineTypes{}).index()) {
    call_state_store(node_index, call, answer_back);
  } else {
    send(node_name(node_index), "cloud", [this, answer_back, call] {
      at(now_ + 0.2, [this, answer_back, call] { answer_back("cloud", handle_cloud_call(call)); });
    });
  }
}

void ClusterSimulation::call_worker(int node_index, const Call& call,
                                    const AnswerCallback& answer_back) {
  const std::string to = std::get<PushCommands>(call.body).address;
  send(node_name(node_index), to, [this, to, answer_back, call] {
    const auto it = workers_.find(to);
    if (it == workers_.end() || it->second.phase != Worker::Phase::up) return;
    const auto handle = [this, to, answer_back, call] {
      if (workers_.count(to)) answer_back(to, handle_worker_call(to, call));
    };
    if (now_ < it->second.hang_until) {
      at(it->second.hang_until, handle);  // a hanging machine handles the call when it resumes
    } else {
      handle();
    }
  });
}

void ClusterSimulation::call_peer(int node_index, int generation, const Call& call) {
  const auto* peer_state = std::get_if<SendPeerState>(&call.body);
  const std::string address =
      peer_state ? peer_state->address : std::get<ForwardHeartbeat>(call.body).address;
  send(node_name(node_index), address,
       [this, node_index, generation, to = address.back() - '0', call] {
         if (!nodes_[static_cast<size_t>(to)].alive) return;
         const RequestId request = next_request_++;
         peer_waiting_[request] = {node_index, generation, call.id};
         if (const auto* state = std::get_if<SendPeerState>(&call.body)) {
           PeerState sent_state = state->state;
           ++counters_.peer_messages;
           counters_.machine_contacts_sent += sent_state.machines_heard.size();
           clear_new_peer_fields(sent_state, node_index, to);
           deliver(to, HandlePeerState{request, std::move(sent_state)});
         } else {
           const auto& forwarded = std::get<ForwardHeartbeat>(call.body);
           deliver(to, HandleForwardedHeartbeat{request, forwarded.heartbeat});
         }
       });
}

void ClusterSimulation::call_state_store(int node_index, const Call& call,
                                         const AnswerCallback& answer_back) {
  const double slow = now_ < slow_until_ && rng_() % 4 == 0 ? 3 : 0;
  if (std::holds_alternative<Txn>(call.body) && now_ < unanswered_until_ &&
      std::uniform_real_distribution<>(0, 1)(rng_) < unanswered_share_) {
    const double delay = unanswered_at_once_ ? 0 : std::uniform_real_distribution<>(2, 12)(rng_);
    send(node_name(node_index), "state", [this, node_index, delay, call] {
      at(now_ + delay, [this, node_index, call] { handle_state_call(node_index, call); });
    });
    return;
  }
  send(node_name(node_index), "state", [this, node_index, answer_back, slow, call] {
    at(now_ + slow, [this, node_index, answer_back, call] {
      answer_back("state", handle_state_call(node_index, call));
    });
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
