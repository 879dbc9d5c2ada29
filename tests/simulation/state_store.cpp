// The state service as the simulated world has it: outages, refusals and delays around the stand-in
// itself.
#include <algorithm>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

// Just as the new holder begins: with what tells it that it holds the part, or moments later, and
// once more after.
void ClusterSimulation::send_kept_copies(const std::string& key) {
  if (key != store::leader_key && key.rfind("part/", 0) != 0) return;
  for (auto& arrive : std::exchange(kept_copies_, {}))
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

void ClusterSimulation::limit_state(double for_s) { limited_until_ = now_ + for_s; }

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

void ClusterSimulation::watch(int n, int generation, const Call& c, double deadline) {
  expire_leases();
  const auto& w = std::get<Watch>(c.body);
  if (nodes_[static_cast<size_t>(n)].generation != generation || now_ > deadline) return;
  const bool down = now_ < outage_until_ || now_ < refused_until_[n];
  WatchReply reply{state_.revision(), {}};
  if (!down) reply = *state_.changes_since(w.since);
  if (down || (reply.events.empty() && now_ + 0.01 < deadline - settings_.heartbeat_interval_s)) {
    at(now_ + 0.01, [this, n, generation, c, deadline] { watch(n, generation, c, deadline); });
    return;
  }
  send("state", node_name(n),
       [this, n, generation, done = CallDone{c.id, 200, std::move(reply)}]() mutable {
         if (nodes_[static_cast<size_t>(n)].generation == generation) deliver(n, std::move(done));
       });
}

// What was written before the limits fell may be larger; above the present ones nobody may write.
void ClusterSimulation::check_value_sizes(const Txn& t) {
  const auto most = static_cast<size_t>(kPresentLimits.first * 1024);
  for (const auto& w : t.writes)
    if (w.value && w.value->dump().size() > most &&
        state_.largest_value_kb() >= kPresentLimits.first)
      fail("value of " + w.key + " is too large");
}

CallDone ClusterSimulation::at_state(int n, const Call& c) {
  expire_leases();
  CallDone done{c.id, 200, {}};
  if (now_ < outage_until_ || now_ < refused_until_[n]) {
    done.status = 503;
    return done;
  }
  const auto* transaction = std::get_if<Txn>(&c.body);
  if (now_ < limited_until_ && transaction && rng_() % 2) {
    done.status = 429;
    return done;
  }
  ++work_.state_requests;
  if (transaction) {
    work_.writes += transaction->writes.size();
    for (const auto& write : transaction->writes)
      if (write.value) work_.bytes_written += write.value->dump().size();
    work_.job_writes += static_cast<size_t>(
        std::count_if(transaction->writes.begin(), transaction->writes.end(),
                      [](const Write& write) { return write.key.rfind("job/", 0) == 0; }));
    check_value_sizes(*transaction);
  }
  return state_.answer(c, now_);
}

}  // namespace rushtrestle::testing
