#include "coordination/fleet/cluster_leader.h"

#include <algorithm>

#include "coordination/fleet/capacity_planner.h"

namespace rushtrestle::coordination {

namespace {

constexpr double kPlansPerHeartbeatInterval = 4;

}  // namespace

ClusterLeader::ClusterLeader(Context& context, store::StateCache& state_cache,
                             StateStoreClient& state_store, Membership& membership,
                             const ImageCaches& images, const ArrivalForecast& arrival_forecast)
    : context_(context),
      state_cache_(state_cache),
      state_store_(state_store),
      membership_(membership),
      arrival_forecast_(arrival_forecast),
      machine_records_(state_cache, state_store, membership),
      unrecorded_(state_cache, state_store, membership),
      record_format_marker_(context, state_cache, state_store, membership),
      type_catalogue_(context, state_cache, state_store, membership, cloud_budget_),
      provisioner_(context, state_cache, membership, unrecorded_, cloud_budget_),
      inventory_(context, state_cache, membership, machine_records_, unrecorded_, provisioner_,
                 cloud_budget_),
      deletion_(context, state_cache, machine_records_, cloud_budget_,
                [this](const std::string& machine) { on_machine_deleted(machine); }),
      reassignment_(context, state_cache, machine_records_),
      reclaim_(context, state_cache, membership, reassignment_),
      consolidation_(context, state_cache, membership, images, arrival_forecast, reassignment_) {}

void ClusterLeader::on_leadership_gained() {
  leader_since_ = context_.now;
  next_plan_ = 0;
  next_reassignment_ = context_.now + context_.operators.share_period_s;
  type_catalogue_.reset();
  unrecorded_.reset();
  provisioner_.reset();
  inventory_.reset();
  deletion_.reset();
  reassignment_.reset();
  consolidation_.reset();
}

void ClusterLeader::on_machine_deleted(const std::string& machine) {
  inventory_.on_machine_deleted(machine);
  if (const auto* known = state_cache_.machine(machine))
    provisioner_.on_machine_deleted(kind_of(known->record));
}

void ClusterLeader::tick() {
  const bool now_leading = membership_.is_cluster_leader() && state_store_.synced();
  if (now_leading != leading_) {
    leading_ = now_leading;
    if (leading_) on_leadership_gained();
  }
  if (!leading_ || state_store_.disconnected()) return;
  cloud_budget_.set_rate(context_.settings.cloud_rps * Tunables::kRateLimitShare);
  record_format_marker_.tick();
  type_catalogue_.tick();
  if (state_cache_.types().empty()) return;
  deletion_.tick();
  provisioner_.tick();
  inventory_.tick();
  if (inventory_.listed_once() && context_.now >= next_plan_) {
    next_plan_ = context_.now + context_.housekeeping_every(context_.settings.heartbeat_interval_s /
                                                            kPlansPerHeartbeatInterval);
    plan();
  }
}

double ClusterLeader::next_due() const {
  if (!leading_ || state_store_.disconnected()) return kNoDueTime;
  double due = type_catalogue_.next_due();
  if (state_cache_.types().empty()) return due;
  due = std::min({due, deletion_.next_due(), inventory_.next_due(), provisioner_.next_due()});
  if (inventory_.listed_once()) due = std::min(due, next_plan_);
  return due;
}

CloudView ClusterLeader::cloud_view() const {
  CloudView cloud_view;
  cloud_view.priced_types = type_catalogue_.prices();
  for (const auto& [id, machine] : unrecorded_.records()) cloud_view.unrecorded.push_back(machine);
  cloud_view.running = &inventory_.running();
  provisioner_.add_to(cloud_view);
  return cloud_view;
}

void ClusterLeader::plan() {
  const CloudView known = cloud_view();
  CapacityPlanner planner(context_, state_cache_, membership_, arrival_forecast_, known);
  const bool reassign_now = context_.now >= next_reassignment_;
  if (reassign_now && context_.logs(LogLine::Level::info)) planner.enable_logging();
  CapacityPlan plan;
  for (int shard = 0; shard < membership_.shard_count(); ++shard) planner.plan_shard(shard, plan);
  const CapacityPlan planned = plan;
  plan.shortages.insert(plan.shortages.end(), plan.best_effort_shortages.begin(),
                        plan.best_effort_shortages.end());
  if (reassign_now) {
    next_reassignment_ = context_.now + context_.operators.share_period_s;
    reassignment_.reassign_unused(plan);
  }
  reclaim_.reclaim(plan.unmet);
  provisioner_.provision(plan.shortages, plan.unused);
  // The cloud view is taken anew, since it now includes the machines that were just requested.
  if (context_.operators.consolidate && consolidation_.due() && led_for_one_lease())
    consolidation_.run(planned, [this] { return cloud_view(); });
  reassignment_.scale_in_idle(plan, leader_since_);
}

}  // namespace rushtrestle::coordination
