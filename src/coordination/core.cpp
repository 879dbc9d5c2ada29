#include "coordination/core.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/fleet/cluster_leader.h"
#include "coordination/jobs/job_service.h"
#include "coordination/runtime/version.h"
#include "coordination/shard/shard_controller.h"

namespace rushtrestle::coordination {

/// The modules of a controller and their connections. Each batch runs them in a fixed order.
class Core::Modules : private store::StateCache::Listener {
 public:
  Modules(const store::Settings& settings, const store::OperatorSettings& operators,
          std::string incarnation, uint64_t seed, LogLine::Level log_level);

  std::vector<Effect> handle(std::deque<Command>& commands, const Clock& clock);
  double next_wakeup();

 private:
  void on_job_changed(const std::string& id) override;
  void on_machine_changed(const std::string& id) override;
  void on_lease_holder_changed(const std::string& key) override;

  void execute(SubmitJob&& command) { job_service_.submit(std::move(command)); }
  void execute(QueryJob&& command) { job_service_.query(command); }
  void execute(CancelJob&& command) { job_service_.cancel(command); }
  void execute(CheckHealth&& command);
  void execute(ShowStats&& command);
  void execute(HandleHeartbeat&& command);
  void execute(HandleForwardedHeartbeat&& command);
  void execute(HandlePeerState&& command);
  void execute(CallDone&& command) { context_.on_call_done(std::move(command)); }
  void execute(Tick&& /*command*/) {}

  void measure_lag();
  PeerState own_state();
  store::Json stats();

  Context context_;
  store::StateCache state_cache_;
  StateStoreClient state_store_;
  Membership membership_;
  ImageCaches images_;
  ArrivalForecast arrival_forecast_;
  ShardController shard_controller_;
  ClusterLeader cluster_leader_;
  JobService job_service_;
  double wakeup_at_ = 0;   // requested wake-up, in steady seconds; 0: none yet
  double handled_at_ = 0;  // last batch, in steady seconds
};

Core::Modules::Modules(const store::Settings& settings, const store::OperatorSettings& operators,
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

// ---- state cache events ----

void Core::Modules::on_job_changed(const std::string& id) {
  arrival_forecast_.on_job_changed(id);
  shard_controller_.on_job_changed(id);
}

void Core::Modules::on_machine_changed(const std::string& id) {
  shard_controller_.on_machine_changed(id);
}

void Core::Modules::on_lease_holder_changed(const std::string& key) {
  membership_.on_lease_holder_changed(key);
}

// ---- commands ----

void Core::Modules::execute(CheckHealth&& command) {
  const int status = job_service_.healthy() ? 200 : 503;
  context_.effects.push_back(AnswerUser{command.request, status, std::nullopt, 1});
}

void Core::Modules::execute(ShowStats&& command) {
  context_.effects.push_back(AnswerStats{command.request, stats()});
}

void Core::Modules::execute(HandleHeartbeat&& command) {
  shard_controller_.heartbeats().handle_heartbeat(command.request, std::move(command.heartbeat));
}

void Core::Modules::execute(HandleForwardedHeartbeat&& command) {
  shard_controller_.heartbeats().handle_forwarded_heartbeat(command.request, command.heartbeat);
}

void Core::Modules::execute(HandlePeerState&& command) {
  membership_.on_peer_query(command.state);
  PeerState own = own_state();
  if (command.state.known_cancellations)
    own.offered_cancellations = membership_.offer_cancellations(command.state);
  context_.effects.push_back(AnswerPeer{command.request, std::move(own)});
}

std::vector<Effect> Core::Modules::handle(std::deque<Command>& commands, const Clock& clock) {
  context_.now = clock.steady;
  context_.wall = clock.wall;
  context_.load = clock.load;
  measure_lag();
  while (!commands.empty()) {
    Command next = std::move(commands.front());
    commands.pop_front();
    std::visit([this](auto&& command) { execute(std::forward<decltype(command)>(command)); },
               std::move(next));
  }
  membership_.tick();
  job_service_.tick();
  shard_controller_.tick();
  cluster_leader_.tick();
  shard_controller_.work();
  state_store_.tick();  // last, so that writes of the other modules are sent in the same batch
  return std::exchange(context_.effects, {});
}

// ---- the clock ----

// The lag is how much later than the requested wake-up a batch runs, because the process was paused
// or gets too little processor time.
void Core::Modules::measure_lag() {
  const double late = wakeup_at_ > 0 ? std::max(0.0, context_.now - wakeup_at_) : 0;
  const double halvings = (handled_at_ - context_.now) / context_.settings.heartbeat_interval_s;
  context_.lag = std::max(late, context_.lag * std::exp2(halvings));
  handled_at_ = context_.now;
}

// Returns the time of the earliest timed work instead of a fixed period: with a tick every 1/80 of
// a heartbeat interval, two batches in five had nothing to do, and a batch costs as much processor
// time as a message.
double Core::Modules::next_wakeup() {
  const double shortest_sleep = context_.settings.heartbeat_interval_s / 80;
  const double longest_sleep = context_.settings.heartbeat_interval_s / 4;
  const double due =
      std::min({membership_.next_due(), job_service_.next_due(), shard_controller_.next_due(),
                cluster_leader_.next_due(), state_store_.next_due()});
  wakeup_at_ = context_.now + std::clamp(due - context_.now, shortest_sleep, longest_sleep);
  return wakeup_at_;
}

// ---- state reports ----

PeerState Core::Modules::own_state() {
  PeerState state;
  state.node = context_.settings.node;
  state.incarnation = context_.incarnation;
  state.has_state_store = state_store_.lease_valid() && !state_store_.disconnected();
  state.synced = state_store_.synced();
  state.backlog = state_store_.backlog();
  state.budget_need = state_store_.needed_budget_share();
  for (int shard = 0; shard < membership_.shard_count(); ++shard)
    if (membership_.shard_fencing_token(shard) != 0) state.shards.push_back(shard);
  state.machines_heard = shard_controller_.heartbeats().recent_machines_of_other_shards();
  state.nodes = membership_.live_peers();
  state.at = context_.wall;
  state.revision = state_cache_.revision();
  state.version = program_version();
  state.record_format = store::kRecordFormat;
  if (state_store_.ever_synced())
    state.current_age_s = context_.now - state_store_.cache_current_as_of();
  return state;
}

store::Json Core::Modules::stats() {
  return {{"node", context_.settings.node},
          {"revision", state_cache_.revision()},
          {"leading", membership_.is_cluster_leader()},
          {"state_lease", state_store_.lease_valid()},
          {"write_backlog", state_store_.backlog()},
          {"writes", state_store_.stats()},
          {"version", program_version()},
          {"record_format", state_cache_.record_format()},
          {"controllers", membership_.versions()},
          {"process",
           {{"lag_s", context_.lag},
            {"cpu_s", context_.load.cpu_s},
            {"memory_mb", context_.load.memory_mb}}},
          {"known_jobs", state_cache_.known_jobs()},
          {"owner", shard_controller_.stats()},
          {"counters", context_.counters}};
}

// ---- public interface ----

Core::Core(const store::Settings& settings, const store::OperatorSettings& operators,
           std::string incarnation, uint64_t seed, LogLine::Level log_level)
    : modules_(std::make_unique<Modules>(settings, operators, std::move(incarnation), seed,
                                         log_level)) {}

Core::~Core() = default;

std::vector<Effect> Core::handle(std::deque<Command>& commands, const Clock& clock) {
  return modules_->handle(commands, clock);
}

double Core::next_wakeup() { return modules_->next_wakeup(); }

}  // namespace rushtrestle::coordination
