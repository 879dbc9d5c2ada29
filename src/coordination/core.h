// One owner of all state. Commands and a clock reading go in, effects come out;
// no sockets, no clock of its own.
#pragma once
#include <deque>
#include <string>
#include <vector>

#include "coordination/fleet/cluster_leader.h"
#include "coordination/jobs/job_service.h"
#include "coordination/shard/shard_controller.h"

namespace rushtrestle::coordination {

class Core : private store::StateCache::Listener {
 public:
  Core(const store::Settings& settings, const store::OperatorSettings& operators,
       std::string incarnation, uint64_t seed, LogLine::Level log_level = LogLine::Level::error);

  /// Works off a batch of commands; the effects are to be carried out in order.
  std::vector<Effect> handle(std::deque<Command>& commands, const Clock& clock);
  /// Steady time at which `handle` wants to be called again with a Tick, if no other command comes
  /// before. To be asked after each call of `handle`.
  double next_wakeup();

 private:
  void on_job_changed(const std::string& id) override;
  void on_machine_changed(const std::string& id) override;
  void on_lease_holder_changed(const std::string& key) override;
  PeerState own_state();
  store::Json stats();
  void take(Command&& command);
  void measure_lag();

  double longest_sleep() const { return context_.settings.heartbeat_interval_s / 4; }

  Context context_;
  store::StateCache state_cache_;
  StateStoreClient state_store_;
  Membership membership_;
  ImageCaches images_;
  ArrivalForecast arrival_forecast_;
  ShardController shard_controller_;
  ClusterLeader cluster_leader_;
  JobService job_service_;
  double wakeup_at_ = 0;  // 0: not asked for yet
  double handled_at_ = 0;
};

}  // namespace rushtrestle::coordination
