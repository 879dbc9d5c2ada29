#include "coordination/fleet/cluster_leader.h"

#include <algorithm>
#include <cmath>

#include "coordination/fleet/orphan_adoption.h"
#include "coordination/fleet/unused_machines.h"

namespace rushtrestle::coordination {

using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;

namespace {
// What the cloud charges at least for a machine, by the protocol.
constexpr double kLeastChargeSeconds = 60;

MachineKind kind_of(const MachineRecord& r) { return {r.type, r.zone, r.spot}; }
}  // namespace

void ClusterLeader::reset() {
  led_since_ = context_.now;
  next_types_ = next_list_ = next_plan_ = next_delete_ = 0;
  next_share_ = context_.now + context_.operators.share_period_s;
  provisioning_requests_.clear();
  unrecorded_machines_.clear();
  up_.clear();
  unavailable_kinds_.clear();
  idle_since_.clear();
  reassignment_requested_at_.clear();
  consolidator_.reset();
  deleted_.clear();
  fetching_types_ = listing_ = deleting_ = listed_once_ = false;
}

bool ClusterLeader::cloud_ready() { return cloud_budget_.ready(context_.now); }

void ClusterLeader::tick() {
  const bool now_leading = membership_.leading() && state_store_.synced();
  if (now_leading != leading_) {
    leading_ = now_leading;
    if (leading_) reset();
  }
  if (!leading_ || state_store_.disconnected()) return;
  cloud_budget_.set_rate(context_.settings.cloud_rps * Tunables::kBudget);
  record_format();
  if (!fetching_types_ && context_.now >= next_types_ && cloud_ready()) fetch_types();
  if (state_cache_.types().empty()) return;
  if (!deleting_ && context_.now >= next_delete_ && cloud_ready()) delete_terminating();
  for (auto& r : provisioning_requests_)
    if (!r.in_flight && context_.now >= r.next_try && cloud_ready()) send_provisioning_request(r);
  if (!listing_ && context_.now >= next_list_ && cloud_ready()) list("");
  if (listed_once_ && context_.now >= next_plan_) {
    next_plan_ =
        context_.now + context_.housekeeping_every(context_.settings.heartbeat_interval_s / 4);
    plan();
  }
}

double ClusterLeader::next_due() const {
  if (!leading_ || state_store_.disconnected()) return kNoDueTime;
  double due = kNoDueTime;
  if (!fetching_types_) due = next_types_;
  if (state_cache_.types().empty()) return due;
  if (!deleting_) due = std::min(due, next_delete_);
  if (!listing_) due = std::min(due, next_list_);
  if (listed_once_) due = std::min(due, next_plan_);
  for (const auto& r : provisioning_requests_)
    if (!r.in_flight) due = std::min(due, r.next_try);
  return due;
}

// Opens a record format once all controllers read it: from then on no older one serves. It is never
// taken back.
void ClusterLeader::record_format() {
  if (recording_format_ || state_cache_.record_format() >= store::kRecordFormat ||
      !membership_.all_read(store::kRecordFormat))
    return;
  recording_format_ = true;
  WriteRequest w;
  w.key = store::format_key;
  w.prepare = [this](Prepared& p) {
    p.expected = state_cache_.mod_revision_of(store::format_key);
    p.value = store::Json{{"reads", store::kRecordFormat}};
    p.preconditions.push_back({store::leader_key, membership_.leader_revision()});
    return membership_.leading() && state_cache_.record_format() < store::kRecordFormat &&
           membership_.all_read(store::kRecordFormat);
  };
  w.done = [this](WriteOutcome outcome, uint64_t) {
    recording_format_ = false;
    if (outcome == WriteOutcome::applied)
      context_.info("every controller reads record format " + std::to_string(store::kRecordFormat));
  };
  state_store_.write(std::move(w));
}

void ClusterLeader::fetch_types() {
  fetching_types_ = true;
  cloud_budget_.take(1);
  context_.call(ListMachineTypes{}, context_.settings.lease_s / 3, [this](CallDone&& d) {
    fetching_types_ = false;
    auto* reply = std::get_if<MachineTypesReply>(&d.reply);
    if (d.status != 200 || !reply || reply->types.empty()) {
      next_types_ = context_.now + context_.jitter(context_.settings.heartbeat_interval_s / 2);
      return;
    }
    next_types_ = context_.now + context_.settings.lease_s * 4;
    prices_ = reply->types;
    const auto shape = [](std::vector<store::MachineType> types) {
      for (auto& t : types) t.price = t.spot_price = 0;  // prices move, shapes don't
      return to_json(types);
    };
    if (shape(prices_) == shape(state_cache_.types())) return;
    WriteRequest w;
    w.key = store::types_key;
    w.prepare = [this](Prepared& p) {
      p.expected = state_cache_.mod_revision_of(store::types_key);
      p.value = store::Json{{"types", to_json(prices_)}};
      p.preconditions.push_back({store::leader_key, membership_.leader_revision()});
      return membership_.leading();
    };
    w.done = [](WriteOutcome, uint64_t) {};
    state_store_.write(std::move(w));
  });
}

// ---- what exists ----

void ClusterLeader::list(const std::string& after) {
  listing_ = true;
  cloud_budget_.take(1);
  context_.call(ListMachines{after}, context_.settings.lease_s / 3, [this](CallDone&& d) {
    listing_ = false;
    const auto* reply = std::get_if<ListMachinesReply>(&d.reply);
    if (d.status != 200 || !reply) {
      next_list_ = context_.now + context_.jitter(context_.settings.heartbeat_interval_s);
      return;
    }
    listed(reply->machines);
    if (reply->more && !reply->machines.empty()) {
      list(reply->machines.back().id);
      return;
    }
    listed_once_ = true;
    next_list_ =
        context_.now + std::max(context_.settings.list_lag_s, context_.settings.lease_s / 2);
  });
}

void ClusterLeader::listed(const std::vector<CloudMachine>& machines) {
  AdoptionShares adoption(context_, state_cache_, membership_, unrecorded_machines_);
  // An answer that names it may still be under way to us.
  const bool renting = std::any_of(provisioning_requests_.begin(), provisioning_requests_.end(),
                                   [](const ProvisioningRequest& r) { return r.in_flight; });
  for (const auto& c : machines) {
    if (c.state == CloudMachine::State::running) up_.insert(c.id);
    const auto* known = state_cache_.machine(c.id);
    if (!known && !unrecorded_machines_.count(c.id)) {
      if (renting) continue;
      MachineRecord r;
      r.id = c.id;
      r.address = "";
      r.type = c.type;
      r.zone = c.zone;
      r.spot = c.spot;
      r.since = context_.wall - c.age_s;
      // plan() moves it on if need be.
      r.shard = adoption.next_shard(c.type);
      context_.info("machine " + c.id + " adopted for part " + std::to_string(r.shard));
      record_machine(r);
    } else if (known && c.state == CloudMachine::State::failed && !known->record.terminating()) {
      WriteRequest w;
      w.key = store::machine_key(c.id);
      w.cause = WriteCause::machine_marked_for_deletion;
      w.prepare = [this, id = c.id](Prepared& p) {
        const auto* m = state_cache_.machine(id);
        if (!m || m->record.terminating() || !membership_.leading()) return false;
        MachineRecord r = m->record;
        r.phase = MachinePhase::marked_for_deletion;
        p.expected = m->mod_revision;
        p.value = to_json(r);
        p.preconditions.push_back({store::leader_key, membership_.leader_revision()});
        return true;
      };
      w.done = [](WriteOutcome, uint64_t) {};
      state_store_.write(std::move(w));
    }
  }
}

void ClusterLeader::record_machine(const MachineRecord& r) {
  unrecorded_machines_[r.id] = r;
  WriteRequest w;
  w.key = store::machine_key(r.id);
  w.cause = WriteCause::machine_rented;
  w.prepare = [this, id = r.id](Prepared& p) {
    const auto it = unrecorded_machines_.find(id);
    if (it == unrecorded_machines_.end() || state_cache_.machine(id) || !membership_.leading())
      return false;
    p.expected = 0;
    p.value = to_json(it->second);
    p.preconditions.push_back({store::leader_key, membership_.leader_revision()});
    return true;
  };
  w.done = [this, id = r.id](WriteOutcome, uint64_t) {
    unrecorded_machines_.erase(id);
  };  // if it failed, the list brings it again
  state_store_.write(std::move(w));
}

// ---- what goes ----

void ClusterLeader::delete_terminating() {
  constexpr size_t kMost = 100;  // names in one request, by the protocol
  std::vector<std::string> ids;
  for (const auto& [id, m] : state_cache_.terminating_machines()) {
    if (ids.size() == kMost) break;
    if (!deleted_.count(id)) ids.push_back(id);
  }
  if (ids.empty()) {
    next_delete_ = context_.now + context_.settings.heartbeat_interval_s / 20;
    return;
  }
  deleting_ = true;
  cloud_budget_.take(1);
  context_.call(DeleteMachines{ids}, context_.settings.lease_s / 3, [this, ids](CallDone&& d) {
    deleting_ = false;
    if (d.status != 200) {
      next_delete_ = context_.now + context_.jitter(context_.settings.heartbeat_interval_s / 2);
      return;
    }
    for (const auto& id : ids) {
      deleted_.insert(id);
      up_.erase(id);
      // What we gave back can be had again.
      if (const auto* m = state_cache_.machine(id)) unavailable_kinds_.erase(kind_of(m->record));
      WriteRequest w;
      w.key = store::machine_key(id);
      // Work may wait for what ran on a machine that was marked for deletion; a released one was
      // empty.
      const auto* terminating = state_cache_.machine(id);
      const bool empty = terminating && terminating->record.phase == MachinePhase::released;
      w.cause = empty ? WriteCause::machine_deleted_empty : WriteCause::machine_deleted_with_tasks;
      w.prepare = [this, id](Prepared& p) {
        const auto* m = state_cache_.machine(id);
        if (!m || m->record.phase == MachinePhase::deleted || !m->record.terminating() ||
            !membership_.leading())
          return false;
        MachineRecord r = m->record;
        r.phase = MachinePhase::deleted;
        p.expected = m->mod_revision;
        p.value = to_json(r);
        p.preconditions.push_back({store::leader_key, membership_.leader_revision()});
        return true;
      };
      w.done = [this, id](WriteOutcome outcome, uint64_t) {
        if (outcome != WriteOutcome::applied) deleted_.erase(id);
      };
      state_store_.write(std::move(w));
    }
  });
}

void ClusterLeader::request_reassignment(const std::string& machine, int next_shard, bool drain) {
  reassignment_requested_at_[machine] = context_.now;
  WriteRequest w;
  w.key = store::machine_key(machine);
  w.cause = WriteCause::machine_reassignment_request;
  w.prepare = [this, machine, next_shard, drain](Prepared& p) {
    const auto* m = state_cache_.machine(machine);
    if (!m || !m->record.usable() || !membership_.leading()) return false;
    MachineRecord r = m->record;
    r.phase = MachinePhase::reassignment_requested;
    r.next_shard = next_shard;
    r.drain = drain;
    p.expected = m->mod_revision;
    p.value = to_json(r);
    p.preconditions.push_back({store::leader_key, membership_.leader_revision()});
    return true;
  };
  w.done = [](WriteOutcome, uint64_t) {};
  state_store_.write(std::move(w));
}

// ---- what is needed ----

bool ClusterLeader::preemptible(const store::JobSpec& spec) const {
  const auto& ranks = context_.operators.preemptible;
  return std::find(ranks.begin(), ranks.end(), spec.rank) != ranks.end();
}

ClusterLeader::ReclaimableCapacity ClusterLeader::reclaimable_capacity() const {
  ReclaimableCapacity l;
  std::map<std::string, store::Resources> used;
  for (const auto& id : state_cache_.live_jobs()) {
    const auto& r = state_cache_.job(id)->record;
    for (const auto& p : r.placed) {
      auto& load = l.loads[p.machine];
      ++load.tasks;
      load.pinned |= !preemptible(r.spec);
    }
    // What waits counts, too: machines that still boot for work beyond the guarantee are the
    // cheapest to give.
    if (r.status == JobStatus::open)
      used[r.spec.team].add(r.spec.per_task, r.spec.tasks - r.done.size());
  }
  for (const auto& [id, m] : state_cache_.present_machines())
    if (const auto* type = state_cache_.type(m->record.type); type && m->record.usable())
      l.capacity[m->record.shard] += type->size.cpus;
  for (const auto& t : context_.settings.teams)
    l.guaranteed[membership_.shard_of_team(t.name)] += t.guarantee.cpus;
  for (const auto& t : context_.settings.teams)
    if (used[t.name].cpus > t.guarantee.cpus + store::Resources::kSlack ||
        used[t.name].gpus > t.guarantee.gpus + store::Resources::kSlack)
      l.lenders.insert(membership_.shard_of_team(t.name));
  return l;
}

const MachineRecord* ClusterLeader::machine_to_reclaim(const UnmetDemand& u,
                                                       ReclaimableCapacity& l) const {
  const MachineRecord* best = nullptr;
  int fewest = 0;
  for (const auto& [id, m] : state_cache_.present_machines()) {
    const auto& r = m->record;
    const auto* type = state_cache_.type(r.type);
    if (!type || !r.usable() || r.shard == u.shard || !l.lenders.count(r.shard) ||
        l.taken.count(id) || l.capacity[r.shard] - type->size.cpus < l.guaranteed[r.shard] ||
        !type_allowed(u.spec, r.type) || !kind_allowed(u.spec, r.spot) ||
        !zone_allowed(u.spec, r.zone, u.zones) || capacity_for(u.spec, *type) <= 0)
      continue;
    const auto load = l.loads.find(id);
    if (load != l.loads.end() && load->second.pinned) continue;
    const int tasks = load == l.loads.end() ? 0 : load->second.tasks;
    if (!best || tasks < fewest) {
      best = &r;
      fewest = tasks;
    }
  }
  return best;
}

// Exception to the design, which moves free machines only: where nothing is free and nothing can be
// rented, a shard whose teams run beyond their guarantees gives up machines that hold only work
// that may be stopped. Cause and figures: docs/design.md.
void ClusterLeader::reclaim(const std::vector<UnmetDemand>& unmet) {
  if (unmet.empty() || !context_.operators.reclaim_guarantee) return;
  ReclaimableCapacity l = reclaimable_capacity();
  // What is already on its way counts, and only a few go at a time: the next plan sees the effect.
  std::map<int, int> coming;
  for (const auto& [id, m] : state_cache_.present_machines())
    if (m->record.phase == MachinePhase::reassignment_requested && m->record.next_shard >= 0)
      coming[m->record.next_shard]++;
  constexpr int kAtOnce = 2;
  // Looked for once: with thousands of jobs of a few shapes waiting, all machines were looked at
  // for each of them.
  std::set<std::pair<int, std::string>> in_vain;
  for (const auto& u : unmet) {
    if (coming[u.shard] >= kAtOnce) continue;
    const auto shape = std::make_pair(u.shard, placement_shape(u.spec) + zones_shape(u.zones));
    if (in_vain.count(shape)) continue;
    const MachineRecord* best = machine_to_reclaim(u, l);
    if (!best) {
      in_vain.insert(shape);
      continue;
    }
    l.taken.insert(best->id);
    ++coming[u.shard];
    context_.counters["guarantee_reclaims"]++;
    context_.info("machine " + best->id + " with " + std::to_string(l.loads[best->id].tasks) +
                  " tasks goes back to part " + std::to_string(u.shard) + ", whose team " +
                  u.spec.team + " is within its guarantee");
    request_reassignment(best->id, u.shard, true);
  }
}

CloudOutlook ClusterLeader::outlook() const {
  CloudOutlook outlook;
  outlook.prices = prices_;
  for (const auto& [kind, refusal] : unavailable_kinds_)
    if (context_.now < refusal.until) outlook.unavailable.insert(kind);
  for (const auto& [id, m] : unrecorded_machines_) outlook.rented.push_back(m);
  outlook.up = &up_;
  for (const auto& request : provisioning_requests_)
    for (const int shard : request.shards) outlook.requested[shard].push_back(request.kind);
  return outlook;
}

void ClusterLeader::plan() {
  const CloudOutlook known = outlook();
  CapacityPlanner planner(context_, state_cache_, membership_, arrival_forecast_, known);
  const bool share_now = context_.now >= next_share_;
  if (share_now && context_.logs(LogLine::Level::info)) planner.enable_logging();
  CapacityPlan plan;
  for (int shard = 0; shard < membership_.shards(); ++shard) planner.plan_shard(shard, plan);
  const CapacityPlan planned = plan;
  plan.wants.insert(plan.wants.end(), plan.guest_wants.begin(), plan.guest_wants.end());
  if (share_now) {
    next_share_ = context_.now + context_.operators.share_period_s;
    reassign_unused(plan);
  }
  reclaim(plan.unmet);
  provision(plan.wants, plan.unused);
  if (context_.operators.consolidate && context_.now >= next_consolidation_ &&
      context_.now - led_since_ > context_.settings.lease_s)
    consolidate(planned);
  scale_in_idle(plan);
}

// The design's sharing: free machines go from shards that don't need them to shards that wait. In
// proportion to waiting demand: whoever waits for most is served first, one machine each in turn.
void ClusterLeader::reassign_unused(CapacityPlan& plan) {
  UnusedMachines unused(std::move(plan.unused), state_cache_);
  std::sort(plan.wants.begin(), plan.wants.end(),
            [](const MachineWant& a, const MachineWant& b) { return a.urgent > b.urgent; });
  bool moved = true;
  while (moved) {
    moved = false;
    for (auto& w : plan.wants) {
      if (w.urgent + w.spare == 0) continue;
      const auto machine = unused.take(w.kind, w.shard);
      if (!machine) continue;
      context_.info("machine " + *machine + " offered to part " + std::to_string(w.shard));
      request_reassignment(*machine, w.shard);
      (w.urgent > 0 ? w.urgent : w.spare)--;
      moved = true;
    }
  }
  plan.unused = unused.remaining();
}

// One shard a plan, each once a sharing period: all at once would be a long pass.
void ClusterLeader::consolidate(const CapacityPlan& planned) {
  next_consolidation_ = context_.now + context_.operators.share_period_s / membership_.shards();
  next_consolidated_ = (next_consolidated_ + 1) % membership_.shards();
  const int shard = next_consolidated_;
  consolidator_.note_attempts();
  if (std::any_of(planned.unmet.begin(), planned.unmet.end(),
                  [&](const UnmetDemand& u) { return u.shard == shard; }))
    return;
  const CloudOutlook known = outlook();  // with what was asked for just now
  CapacityPlanner planner(context_, state_cache_, membership_, arrival_forecast_, known);
  for (const auto& id : consolidator_.machines_to_empty(shard, planned, planner)) {
    context_.counters["machines_consolidated"]++;
    context_.info("machine " + id + " is emptied: its work fits on the others");
    request_reassignment(id, -1, true);
  }
}

// What nobody has needed for a while is given back.
void ClusterLeader::scale_in_idle(const CapacityPlan& plan) {
  std::map<std::string, double> idle;
  std::set<MachineKind> wanted_kinds;
  for (const auto& want : plan.wants) wanted_kinds.insert(want.kind);
  for (const auto& id : plan.unused) {
    const auto before = idle_since_.find(id);
    idle[id] = before == idle_since_.end() ? context_.now : before->second;
    const auto& r = state_cache_.machine(id)->record;
    const auto* type = state_cache_.type(r.type);
    const double hold = type ? type->boot_s / 2 : kLeastChargeSeconds;
    if (!wanted_kinds.count(kind_of(r)) && context_.now - idle[id] > hold &&
        context_.wall - r.since > kLeastChargeSeconds &&
        context_.now - led_since_ > context_.settings.lease_s) {
      context_.info("machine " + id + " is needed no more");
      request_reassignment(id, -1);
    }
  }
  idle_since_ = std::move(idle);
}

// The cloud takes few calls. Queued by shard and machine, requests waited for minutes behind others
// for kinds that the cloud had refused long since, and what was queued counted as capacity on its
// way. So nothing is queued: each plan asks anew, once a kind of machine for all shards together,
// and what the budget does not let out now is part of the next plan.
void ClusterLeader::provision(std::vector<MachineWant> wants, std::vector<std::string> unused) {
  constexpr size_t kMost = 50;  // of one request, by the protocol
  struct Order {
    MachineKind kind;
    store::Rank rank = store::Rank::low;
    std::vector<int> urgent, spare;
  };
  UnusedMachines shared(std::move(unused), state_cache_);
  std::map<MachineKind, std::vector<MachineWant*>> by_kind;
  for (auto& w : wants) {
    // Machines that another shard does not need are shared, not rented anew; each counts once.
    while (w.urgent + w.spare > 0 && shared.take(w.kind, w.shard))
      (w.urgent > 0 ? w.urgent : w.spare)--;
    if (w.urgent + w.spare > 0) by_kind[w.kind].push_back(&w);
  }
  std::vector<Order> orders;
  for (const auto& [kind, shards] : by_kind) {
    if (std::any_of(provisioning_requests_.begin(), provisioning_requests_.end(),
                    [wanted = &kind](const ProvisioningRequest& r) { return r.kind == *wanted; }))
      continue;
    Order o{kind, store::Rank::low, {}, {}};
    // One machine each in turn.
    for (bool more = true; more;) {
      more = false;
      for (MachineWant* w : shards) {
        if (w->urgent > 0) {
          o.urgent.push_back(w->shard);
          o.rank = std::max(o.rank, w->rank);
          more |= --w->urgent > 0 || w->spare > 0;
        } else if (w->spare > 0) {
          o.spare.push_back(w->shard);
          more |= --w->spare > 0;
        }
      }
    }
    orders.push_back(std::move(o));
  }
  std::stable_sort(orders.begin(), orders.end(), [](const Order& a, const Order& b) {
    if (a.urgent.empty() != b.urgent.empty()) return b.urgent.empty();
    if (a.rank != b.rank) return a.rank > b.rank;
    return a.urgent.size() > b.urgent.size();
  });
  // One request a plan and kind, of fifty machines, kept the budget of calls idle while thousands
  // were wanted. Each kind has its first before another has its second.
  for (size_t from = 0, longest = 1; from < longest; from += kMost)
    for (const auto& o : orders) {
      std::vector<int> shards = o.urgent;
      shards.insert(shards.end(), o.spare.begin(), o.spare.end());
      longest = std::max(longest, shards.size());
      if (from >= shards.size()) continue;
      if (!cloud_ready()) return;
      const auto first = shards.begin() + static_cast<long>(from);
      const auto last = shards.begin() + static_cast<long>(std::min(shards.size(), from + kMost));
      provisioning_requests_.push_back(
          {o.kind, std::vector<int>(first, last),
           std::to_string(membership_.leader_revision()) + "-" + std::to_string(++requests_), 0,
           false});
      send_provisioning_request(provisioning_requests_.back());
    }
}

// What is free at the cloud changes seldom but by our own deletions: asked for ever more rarely, so
// that refusals don't eat the budget of calls.
void ClusterLeader::on_kind_unavailable(const MachineKind& kind) {
  auto& r = unavailable_kinds_[kind];
  r.pause = std::clamp(r.pause * 2, context_.settings.lease_s / 2, context_.settings.lease_s * 4);
  r.until = context_.now + context_.jitter(r.pause);
}

void ClusterLeader::send_provisioning_request(ProvisioningRequest& r) {
  r.in_flight = true;
  cloud_budget_.take(1);
  context_.call(
      ProvisionMachines{r.request, r.kind.type, r.kind.zone, r.kind.spot,
                        static_cast<int>(r.shards.size())},
      context_.settings.lease_s / 3, [this, request_id = r.request](CallDone&& d) {
        const auto request =
            std::find_if(provisioning_requests_.begin(), provisioning_requests_.end(),
                         [&](const ProvisioningRequest& x) { return x.request == request_id; });
        if (request == provisioning_requests_.end())
          return;  // led by then by another: its list brings the machines
        request->in_flight = false;
        const auto* reply = std::get_if<ProvisionReply>(&d.reply);
        if (d.status == 200 && reply) {
          context_.info("rented " + std::to_string(reply->machines.size()) + " of " +
                        std::to_string(request->shards.size()) + " " + request->kind.type + " in " +
                        request->kind.zone + (request->kind.spot ? " (spot)" : ""));
          for (size_t i = 0; i < reply->machines.size() && i < request->shards.size(); ++i) {
            MachineRecord m;
            m.id = reply->machines[i];
            m.type = request->kind.type;
            m.zone = request->kind.zone;
            m.spot = request->kind.spot;
            m.shard = request->shards[i];
            m.since = context_.wall;
            record_machine(m);
          }
          if (reply->machines.size() < request->shards.size()) {
            on_kind_unavailable(request->kind);
          } else {
            unavailable_kinds_.erase(request->kind);
          }
          provisioning_requests_.erase(request);
        } else if (d.status == 0 || d.status == 429) {
          request->next_try =
              context_.now + context_.jitter(context_.settings.heartbeat_interval_s /
                                             2);  // same request: at most once
        } else {
          on_kind_unavailable(request->kind);
          provisioning_requests_.erase(request);
        }
      });
}

}  // namespace rushtrestle::coordination
