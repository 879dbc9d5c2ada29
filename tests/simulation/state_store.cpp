// The simulated state store: outages, refusals, delays and rule checks around FakeStateStore.
#include <algorithm>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

namespace {

size_t reply_size(const WatchReply& reply) {
  size_t size = 0;
  for (const auto& event : reply.events)
    size += event.key.size() + (event.value ? event.value->dump().size() : 0);
  return size;
}

}  // namespace

// Delivers the recorded heartbeats twice when a controller acquires a shard or the leadership:
// within 0.05 s, about when that controller learns of it, and within 3 s.
void ClusterSimulation::replay_recorded_heartbeats(const std::string& key) {
  if (key != store::leader_key && key.rfind("part/", 0) != 0) return;
  for (auto& arrive : std::exchange(recorded_deliveries_, {}))
    for (const double within : {0.05, 3.0})
      at(now_ + std::uniform_real_distribution<>(0, within)(rng_), arrive);
}

void ClusterSimulation::expire_leases() {
  if (now_ >= outage_until_) state_.expire_leases(now_);
}

void ClusterSimulation::state_outage(double for_s) {
  outage_until_ = now_ + for_s;
  at(outage_until_, [this] { state_.renew_all_leases(now_); });
}

void ClusterSimulation::throttle_state(double for_s) { throttled_until_ = now_ + for_s; }

void ClusterSimulation::lower_state_limits(double value_kb, int txn_ops) {
  state_.set_limits(value_kb, txn_ops);
}
void ClusterSimulation::lower_state_limits() {
  lower_state_limits(options_.next_limits->first, options_.next_limits->second);
}

void ClusterSimulation::lower_write_rate() { state_.set_write_rate(options_.next_write_rps); }

void ClusterSimulation::slow_state(double for_s) { slow_until_ = now_ + for_s; }

void ClusterSimulation::refuse_state(int node, double for_s) {
  refused_until_[node] = now_ + for_s;
}

void ClusterSimulation::watch(int node_index, int generation, const Call& call, double deadline) {
  expire_leases();
  const auto& request = std::get<Watch>(call.body);
  if (nodes_[static_cast<size_t>(node_index)].generation != generation || now_ > deadline) return;
  const bool down = now_ < outage_until_ || now_ < refused_until_[node_index];
  WatchReply reply{state_.revision(), {}};
  if (!down) reply = *state_.changes_since(request.since);
  if (down || (reply.events.empty() && now_ + 0.01 < deadline - settings_.heartbeat_interval_s)) {
    at(now_ + 0.01, [this, node_index, generation, call, deadline] {
      watch(node_index, generation, call, deadline);
    });
    return;
  }
  const bool too_large = options_.largest_reply > 0 && reply_size(reply) > options_.largest_reply;
  CallDone answer =
      too_large ? CallDone{call.id, 0, {}, true} : CallDone{call.id, 200, std::move(reply)};
  send("state", node_name(node_index),
       [this, node_index, generation, done = std::move(answer)]() mutable {
         if (nodes_[static_cast<size_t>(node_index)].generation == generation)
           deliver(node_index, std::move(done));
       });
}

// Checks that no value exceeds the initial limit, except after the store's limit has been lowered:
// then the store itself refuses larger values.
void ClusterSimulation::check_value_sizes(const Txn& transaction) {
  const auto limit = static_cast<size_t>(kInitialLimits.first * 1024);
  for (const auto& write : transaction.writes)
    if (write.value && write.value->dump().size() > limit &&
        state_.largest_value_kb() >= kInitialLimits.first)
      fail("value of " + write.key + " is too large");
}

CallDone ClusterSimulation::handle_state_call(int node_index, const Call& call) {
  expire_leases();
  CallDone done{call.id, 200, {}};
  if (now_ < outage_until_ || now_ < refused_until_[node_index]) {
    done.status = 503;
    return done;
  }
  const auto* transaction = std::get_if<Txn>(&call.body);
  if (now_ < throttled_until_ && transaction && rng_() % 2) {
    done.status = 429;
    return done;
  }
  ++counters_.state_requests;
  if (transaction) {
    counters_.writes += transaction->writes.size();
    for (const auto& write : transaction->writes)
      if (write.value) counters_.bytes_written += write.value->dump().size();
    counters_.job_writes += static_cast<size_t>(
        std::count_if(transaction->writes.begin(), transaction->writes.end(),
                      [](const Write& write) { return write.key.rfind("job/", 0) == 0; }));
    check_value_sizes(*transaction);
  }
  return state_.answer(call, now_);
}

}  // namespace rushtrestle::testing
