// Works out, for one shard of the fleet, which machines its waiting and expected work lacks and
// which of its machines nothing needs. Planning changes nothing: the cluster leader acts on the
// result.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/capacity_plan.h"
#include "coordination/scheduling/arrival_forecast.h"
#include "coordination/scheduling/slot_index.h"

namespace rushtrestle::coordination {

class CapacityPlanner {
 public:
  CapacityPlanner(Context& context, const store::StateCache& state_cache,
                  const Membership& membership, const ArrivalForecast& demand,
                  const CloudOutlook& outlook)
      : context_(context),
        state_cache_(state_cache),
        membership_(membership),
        arrival_forecast_(demand),
        outlook_(outlook) {}

  /// Adds the plan of a shard to `plan`.
  void plan_shard(int shard, CapacityPlan& plan);
  /// The plan of a shard as it would be without some of its machines.
  CapacityPlan plan_without(int shard, const std::set<std::string>& machines);
  /// From now on `plan_shard` writes one log line a shard: what is placed and what waits.
  void enable_logging() { logging_ = true; }

 private:
  /// How one task may be given room.
  struct Request {
    const store::JobSpec& spec;
    bool urgent = false;
    bool spot_only = false;
    bool may_rent = true;
    bool may_rent_gpus = true;  // machines with GPUs for work without
    bool idle_room_only = false;
  };
  /// Arrays make room as their tasks end. Those of best-effort teams make it for best-effort teams.
  struct ArrayTurns {
    double running_tasks = 0;
    double backlog = 0;  // tasks planned so far
  };
  struct TaskCounts {
    int ordinary = 0;
    int spot = 0;
  };
  /// A task for which there was neither room nor anything to rent.
  struct Failure {
    size_t slots_tried = 0;  // the first ones; they have lost room since, if anything
  };

  void run(int shard, const std::set<std::string>& without, CapacityPlan& plan);
  void count_placed();
  void add_slots();
  void add_slot(const store::MachineRecord& machine);
  void hold_headroom(const std::vector<ArrivalForecast::Forecast>& forecasts);
  void plan_waiting(const std::vector<const store::JobRecord*>& jobs, CapacityPlan& plan);
  Request request_for(const store::JobRecord& job, uint32_t need);
  void plan_job(const store::JobRecord& job, CapacityPlan& plan);
  bool put_all(const Request& request, ZoneCounts zones, uint32_t tasks, CapacityPlan& plan);
  void put_gang(const Request& request, const ZoneCounts& zones, uint32_t tasks,
                CapacityPlan& plan);
  void plan_spare(std::vector<ArrivalForecast::Forecast> forecasts, CapacityPlan& plan);
  void note_unused(CapacityPlan& plan) const;
  bool put(const Request& request, ZoneCounts& zones, CapacityPlan& plan);
  bool put_first(const Request& request, ZoneCounts& zones, CapacityPlan& plan);
  void note_unmet(const Request& request, const ZoneCounts& zones, CapacityPlan& plan);
  bool any_slot_may_take(const Request& request, size_t from) const;
  bool rent_slot(const Request& request, const ZoneCounts& zones, bool with_gpus,
                 CapacityPlan& plan);
  const store::MachineType* cheapest(const Request& request, const ZoneCounts& zones,
                                     bool with_gpus, MachineKind& kind);
  const store::TeamSettings& team_settings(const std::string& team) const;
  void log_part() const;
  double missing_tasks(const store::JobRecord& job) const;

  Context& context_;
  const store::StateCache& state_cache_;
  const Membership& membership_;
  const ArrivalForecast& arrival_forecast_;
  const CloudOutlook& outlook_;

  bool logging_ = false;

  // Of the shard being planned.
  int shard_ = 0;
  const std::set<std::string>* without_ = nullptr;
  SlotIndex slots_;
  std::map<std::pair<std::string, std::string>, int> slots_of_;  // number by type and zone
  size_t existing_ = 0;          // the first slots_: machines that exist or were asked for
  std::vector<bool> was_empty_;  // of these
  std::map<std::string, store::Resources> used_;    // by machine
  std::set<std::string> pinned_;                    // machines with work that may not be preempted
  std::map<std::string, TaskCounts> placed_tasks_;  // by class
  std::map<std::string, store::Resources> team_used_;
  std::vector<const store::JobRecord*> waiting_;         // of teams with a guarantee
  std::vector<const store::JobRecord*> waiting_guests_;  // of the others
  std::map<std::string, Failure> failures_;              // by shape
  Fit fit_;
  bool production_waits_ = false;
  ArrayTurns arrays_;
  ArrayTurns guest_arrays_;
};

}  // namespace rushtrestle::coordination
