#include "coordination/core.h"

#include <algorithm>
#include <cmath>

#include "coordination/runtime/version.h"

namespace rushtrestle::coordination {

Core::Core(const store::Settings& settings, const store::OperatorSettings& operators,
           std::string incarnation, uint64_t seed, LogLine::Level log_level)
    : context_(settings, operators, std::move(incarnation), seed),
      state_cache_(*this),
      state_store_(context_, state_cache_),
      membership_(context_, state_cache_, state_store_),
      arrival_forecast_(context_, state_cache_, membership_),
      shard_controller_(context_, state_cache_, state_store_, membership_, images_,
                        arrival_forecast_),
      cluster_leader_(context_, state_cache_, state_store_, membership_, images_,
                      arrival_forecast_),
      job_service_(context_, state_cache_, state_store_, membership_) {
  context_.log_level = log_level;
  state_store_.on_lease_lost = [this] { membership_.on_lease_lost(); };
  membership_.own_state = [this] { return own_state(); };
  membership_.on_shard_acquired = [this](int shard) { shard_controller_.on_shard_acquired(shard); };
  membership_.on_shard_lost = [this](int shard) { shard_controller_.on_shard_lost(shard); };
}

void Core::on_job_changed(const std::string& id) {
  arrival_forecast_.on_job_changed(id);
  shard_controller_.on_job_changed(id);
}
void Core::on_machine_changed(const std::string& id) { shard_controller_.on_machine_changed(id); }
void Core::on_lease_holder_changed(const std::string& key) {
  membership_.on_lease_holder_changed(key);
}

PeerState Core::own_state() {
  PeerState s;
  s.node = context_.settings.node;
  s.incarnation = context_.incarnation;
  s.has_state_store = state_store_.lease_valid() && !state_store_.disconnected();
  s.synced = state_store_.synced();
  s.backlog = state_store_.backlog();
  s.budget_need = state_store_.need();
  for (int p = 0; p < membership_.shards(); ++p)
    if (membership_.shard_token(p) != 0) s.shards.push_back(p);
  s.machines_heard = shard_controller_.heartbeats().machines_heard_of_other_shards();
  s.nodes = membership_.controllers_heard();
  s.at = context_.wall;
  s.revision = state_cache_.revision();
  s.version = program_version();
  s.record_format = store::kRecordFormat;
  if (state_store_.ever_synced()) s.current_age_s = context_.now - state_store_.current_at();
  return s;
}

store::Json Core::stats() {
  store::Json j = {{"node", context_.settings.node},
                   {"revision", state_cache_.revision()},
                   {"leading", membership_.leading()},
                   {"state_lease", state_store_.lease_valid()},
                   {"write_backlog", state_store_.backlog()},
                   {"writes", state_store_.stats()},
                   {"version", program_version()},
                   {"record_format", state_cache_.record_format()},
                   {"controllers", membership_.versions()}};
  j["process"] = {{"lag_s", context_.lag},
                  {"cpu_s", context_.load.cpu_s},
                  {"memory_mb", context_.load.memory_mb}};
  j["known_jobs"] = state_cache_.known_jobs();
  j["owner"] = shard_controller_.stats();
  j["counters"] = context_.counters;
  return j;
}

void Core::take(Command&& command) {
  struct Taker {
    Core& core;
    void operator()(SubmitJob&& c) { core.job_service_.submit(std::move(c)); }
    void operator()(QueryJob&& c) { core.job_service_.query(c); }
    void operator()(CancelJob&& c) { core.job_service_.cancel(c); }
    void operator()(CheckHealth&& c) {
      core.context_.out.push_back(
          AnswerUser{c.request, core.job_service_.healthy() ? 200 : 503, std::nullopt, 1});
    }
    void operator()(ShowStats&& c) {
      core.context_.out.push_back(AnswerStats{c.request, core.stats()});
    }
    void operator()(HandleHeartbeat&& c) {
      core.shard_controller_.heartbeats().handle_heartbeat(c.request, std::move(c.heartbeat));
    }
    void operator()(HandleForwardedHeartbeat&& c) {
      core.shard_controller_.heartbeats().handle_forwarded_heartbeat(c.request, c.heartbeat);
    }
    void operator()(HandlePeerState&& c) {
      core.membership_.on_peer_query(c.state);
      PeerState own = core.own_state();
      if (c.state.acknowledged)
        own.offered_cancellations = core.membership_.offer_cancellations(c.state);
      core.context_.out.push_back(AnswerPeer{c.request, std::move(own)});
    }
    void operator()(CallDone&& c) { core.context_.returned(std::move(c)); }
    void operator()(Tick&&) {}
  };
  std::visit(Taker{*this}, std::move(command));
}

// A process that stood still, or gets too little processor time, comes late to what was due.
void Core::measure_lag() {
  const double late = wakeup_at_ > 0 ? std::max(0.0, context_.now - wakeup_at_) : 0;
  context_.lag = std::max(late, context_.lag * std::exp2((handled_at_ - context_.now) /
                                                         context_.settings.heartbeat_interval_s));
  handled_at_ = context_.now;
}

std::vector<Effect> Core::handle(std::deque<Command>& commands, const Clock& clock) {
  context_.now = clock.steady;
  context_.wall = clock.wall;
  context_.load = clock.load;
  measure_lag();
  while (!commands.empty()) {
    Command c = std::move(commands.front());
    commands.pop_front();
    take(std::move(c));
  }
  membership_.tick();
  job_service_.tick();
  shard_controller_.tick();
  cluster_leader_.tick();
  shard_controller_.work();
  state_store_.tick();  // last: what the others want to write leaves in the same batch
  return std::exchange(context_.out, {});
}

// With a tick every eightieth of report_s, two turns in five had nothing to do, and a turn costs as
// much as a message.
double Core::next_wakeup() {
  const double shortest = context_.settings.heartbeat_interval_s / 80;
  const double due =
      std::min({membership_.next_due(), job_service_.next_due(), shard_controller_.next_due(),
                cluster_leader_.next_due(), state_store_.next_due()});
  wakeup_at_ = context_.now + std::clamp(due - context_.now, shortest, longest_sleep());
  return wakeup_at_;
}

}  // namespace rushtrestle::coordination
