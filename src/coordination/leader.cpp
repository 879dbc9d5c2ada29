#include "coordination/leader.h"

#include <algorithm>
#include <cmath>

#include "coordination/adoption.h"
#include "coordination/unused_machines.h"

namespace rushtrestle::coordination {

using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;

namespace {
// What the cloud charges at least for a machine, by the protocol.
constexpr double kLeastChargeSeconds = 60;

MachineKind kind_of(const MachineRecord& r) { return {r.type, r.zone, r.spot}; }
}  // namespace

void Leader::reset() {
  led_since_ = ctx_.now;
  next_types_ = next_list_ = next_plan_ = next_delete_ = 0;
  next_share_ = ctx_.now + ctx_.operators.share_period_s;
  rentals_.clear();
  fresh_.clear();
  up_.clear();
  refused_.clear();
  idle_since_.clear();
  offered_at_.clear();
  consolidator_.reset();
  deleted_.clear();
  fetching_types_ = listing_ = deleting_ = listed_once_ = false;
}

bool Leader::cloud_ready() { return cloud_budget_.ready(ctx_.now); }

void Leader::tick() {
  const bool now_leading = members_.leading() && link_.synced();
  if (now_leading != leading_) {
    leading_ = now_leading;
    if (leading_) reset();
  }
  if (!leading_ || link_.in_doubt()) return;
  cloud_budget_.set_rate(ctx_.settings.cloud_rps * Tunables::kBudget);
  record_format();
  if (!fetching_types_ && ctx_.now >= next_types_ && cloud_ready()) fetch_types();
  if (model_.types().empty()) return;
  if (!deleting_ && ctx_.now >= next_delete_ && cloud_ready()) delete_doomed();
  for (auto& r : rentals_)
    if (!r.in_flight && ctx_.now >= r.next_try && cloud_ready()) send_rental(r);
  if (!listing_ && ctx_.now >= next_list_ && cloud_ready()) list("");
  if (listed_once_ && ctx_.now >= next_plan_) {
    next_plan_ = ctx_.now + ctx_.housekeeping_every(ctx_.settings.report_s / 4);
    plan();
  }
}

double Leader::next_due() const {
  if (!leading_ || link_.in_doubt()) return kNoDueTime;
  double due = kNoDueTime;
  if (!fetching_types_) due = next_types_;
  if (model_.types().empty()) return due;
  if (!deleting_) due = std::min(due, next_delete_);
  if (!listing_) due = std::min(due, next_list_);
  if (listed_once_) due = std::min(due, next_plan_);
  for (const auto& r : rentals_)
    if (!r.in_flight) due = std::min(due, r.next_try);
  return due;
}

// Opens a record format once all controllers read it: from then on no older one serves. It is never taken back.
void Leader::record_format() {
  if (recording_format_ || model_.record_format() >= store::kRecordFormat || !members_.all_read(store::kRecordFormat))
    return;
  recording_format_ = true;
  WriteRequest w;
  w.key = store::format_key;
  w.prepare = [this](Prepared& p) {
    p.expected = model_.stamp_of(store::format_key);
    p.value = store::Json{{"reads", store::kRecordFormat}};
    p.conditions.push_back({store::leader_key, members_.lead_stamp()});
    return members_.leading() && model_.record_format() < store::kRecordFormat && members_.all_read(store::kRecordFormat);
  };
  w.done = [this](WriteOutcome outcome, uint64_t) {
    recording_format_ = false;
    if (outcome == WriteOutcome::applied)
      ctx_.info("every controller reads record format " + std::to_string(store::kRecordFormat));
  };
  link_.write(std::move(w));
}

void Leader::fetch_types() {
  fetching_types_ = true;
  cloud_budget_.take(1);
  ctx_.call(GetTypes{}, ctx_.settings.lease_s / 3, [this](CallDone&& d) {
    fetching_types_ = false;
    auto* reply = std::get_if<TypesReply>(&d.reply);
    if (d.status != 200 || !reply || reply->types.empty()) {
      next_types_ = ctx_.now + ctx_.jitter(ctx_.settings.report_s / 2);
      return;
    }
    next_types_ = ctx_.now + ctx_.settings.lease_s * 4;
    prices_ = reply->types;
    const auto shape = [](std::vector<store::MachineType> types) {
      for (auto& t : types) t.price = t.spot_price = 0;  // prices move, shapes don't
      return to_json(types);
    };
    if (shape(prices_) == shape(model_.types())) return;
    WriteRequest w;
    w.key = store::types_key;
    w.prepare = [this](Prepared& p) {
      p.expected = model_.stamp_of(store::types_key);
      p.value = store::Json{{"types", to_json(prices_)}};
      p.conditions.push_back({store::leader_key, members_.lead_stamp()});
      return members_.leading();
    };
    w.done = [](WriteOutcome, uint64_t) {};
    link_.write(std::move(w));
  });
}

// ---- what exists ----

void Leader::list(const std::string& after) {
  listing_ = true;
  cloud_budget_.take(1);
  ctx_.call(ListMachines{after}, ctx_.settings.lease_s / 3, [this](CallDone&& d) {
    listing_ = false;
    const auto* reply = std::get_if<ListReply>(&d.reply);
    if (d.status != 200 || !reply) {
      next_list_ = ctx_.now + ctx_.jitter(ctx_.settings.report_s);
      return;
    }
    listed(reply->machines);
    if (reply->more && !reply->machines.empty()) {
      list(reply->machines.back().id);
      return;
    }
    listed_once_ = true;
    next_list_ = ctx_.now + std::max(ctx_.settings.list_lag_s, ctx_.settings.lease_s / 2);
  });
}

void Leader::listed(const std::vector<CloudMachine>& machines) {
  AdoptionShares adoption(ctx_, model_, members_, fresh_);
  // An answer that names it may still be under way to us.
  const bool renting = std::any_of(rentals_.begin(), rentals_.end(), [](const Rental& r) { return r.in_flight; });
  for (const auto& c : machines) {
    if (c.state == CloudMachine::State::running) up_.insert(c.id);
    const auto* known = model_.machine(c.id);
    if (!known && !fresh_.count(c.id)) {
      if (renting) continue;
      MachineRecord r;
      r.id = c.id;
      r.address = "";
      r.type = c.type;
      r.zone = c.zone;
      r.spot = c.spot;
      r.since = ctx_.wall - c.age_s;
      // plan() moves it on if need be.
      r.part = adoption.next_part(c.type);
      ctx_.info("machine " + c.id + " adopted for part " + std::to_string(r.part));
      record_machine(r);
    } else if (known && c.state == CloudMachine::State::failed && !known->record.doomed()) {
      WriteRequest w;
      w.key = store::machine_key(c.id);
      w.cause = WriteCause::machine_condemned;
      w.prepare = [this, id = c.id](Prepared& p) {
        const auto* m = model_.machine(id);
        if (!m || m->record.doomed() || !members_.leading()) return false;
        MachineRecord r = m->record;
        r.phase = MachinePhase::condemned;
        p.expected = m->stamp;
        p.value = to_json(r);
        p.conditions.push_back({store::leader_key, members_.lead_stamp()});
        return true;
      };
      w.done = [](WriteOutcome, uint64_t) {};
      link_.write(std::move(w));
    }
  }
}

void Leader::record_machine(const MachineRecord& r) {
  fresh_[r.id] = r;
  WriteRequest w;
  w.key = store::machine_key(r.id);
  w.cause = WriteCause::machine_rented;
  w.prepare = [this, id = r.id](Prepared& p) {
    const auto it = fresh_.find(id);
    if (it == fresh_.end() || model_.machine(id) || !members_.leading()) return false;
    p.expected = 0;
    p.value = to_json(it->second);
    p.conditions.push_back({store::leader_key, members_.lead_stamp()});
    return true;
  };
  w.done = [this, id = r.id](WriteOutcome, uint64_t) { fresh_.erase(id); };  // if it failed, the list brings it again
  link_.write(std::move(w));
}

// ---- what goes ----

void Leader::delete_doomed() {
  constexpr size_t kMost = 100;  // names in one request, by the protocol
  std::vector<std::string> ids;
  for (const auto& [id, m] : model_.doomed_machines()) {
    if (ids.size() == kMost) break;
    if (!deleted_.count(id)) ids.push_back(id);
  }
  if (ids.empty()) {
    next_delete_ = ctx_.now + ctx_.settings.report_s / 20;
    return;
  }
  deleting_ = true;
  cloud_budget_.take(1);
  ctx_.call(DeleteMachines{ids}, ctx_.settings.lease_s / 3, [this, ids](CallDone&& d) {
    deleting_ = false;
    if (d.status != 200) {
      next_delete_ = ctx_.now + ctx_.jitter(ctx_.settings.report_s / 2);
      return;
    }
    for (const auto& id : ids) {
      deleted_.insert(id);
      up_.erase(id);
      // What we gave back can be had again.
      if (const auto* m = model_.machine(id)) refused_.erase(kind_of(m->record));
      WriteRequest w;
      w.key = store::machine_key(id);
      // Work may wait for what ran on a condemned machine; a released one was empty.
      const auto* doomed = model_.machine(id);
      const bool empty = doomed && doomed->record.phase == MachinePhase::released;
      w.cause = empty ? WriteCause::machine_given_back : WriteCause::machine_gone;
      w.prepare = [this, id](Prepared& p) {
        const auto* m = model_.machine(id);
        if (!m || m->record.phase == MachinePhase::gone || !m->record.doomed() || !members_.leading()) return false;
        MachineRecord r = m->record;
        r.phase = MachinePhase::gone;
        p.expected = m->stamp;
        p.value = to_json(r);
        p.conditions.push_back({store::leader_key, members_.lead_stamp()});
        return true;
      };
      w.done = [this, id](WriteOutcome outcome, uint64_t) {
        if (outcome != WriteOutcome::applied) deleted_.erase(id);
      };
      link_.write(std::move(w));
    }
  });
}

void Leader::offer(const std::string& machine, int next_part, bool drain) {
  offered_at_[machine] = ctx_.now;
  WriteRequest w;
  w.key = store::machine_key(machine);
  w.cause = WriteCause::machine_offer;
  w.prepare = [this, machine, next_part, drain](Prepared& p) {
    const auto* m = model_.machine(machine);
    if (!m || !m->record.usable() || !members_.leading()) return false;
    MachineRecord r = m->record;
    r.phase = MachinePhase::offered;
    r.next_part = next_part;
    r.drain = drain;
    p.expected = m->stamp;
    p.value = to_json(r);
    p.conditions.push_back({store::leader_key, members_.lead_stamp()});
    return true;
  };
  w.done = [](WriteOutcome, uint64_t) {};
  link_.write(std::move(w));
}

// ---- what is needed ----

bool Leader::preemptible(const store::JobSpec& spec) const {
  const auto& ranks = ctx_.operators.preemptible;
  return std::find(ranks.begin(), ranks.end(), spec.rank) != ranks.end();
}

Leader::Lending Leader::lending() const {
  Lending l;
  std::map<std::string, store::Resources> used;
  for (const auto& id : model_.live_jobs()) {
    const auto& r = model_.job(id)->record;
    for (const auto& p : r.placed) {
      auto& load = l.loads[p.machine];
      ++load.tasks;
      load.pinned |= !preemptible(r.spec);
    }
    // What waits counts, too: machines that still boot for work beyond the guarantee are the cheapest to give.
    if (r.status == JobStatus::open) used[r.spec.team].add(r.spec.per_task, r.spec.tasks - r.done.size());
  }
  for (const auto& [id, m] : model_.present_machines())
    if (const auto* type = model_.type(m->record.type); type && m->record.usable())
      l.capacity[m->record.part] += type->size.cpus;
  for (const auto& t : ctx_.settings.teams) l.guaranteed[members_.part_of_team(t.name)] += t.guarantee.cpus;
  for (const auto& t : ctx_.settings.teams)
    if (used[t.name].cpus > t.guarantee.cpus + store::Resources::kSlack ||
        used[t.name].gpus > t.guarantee.gpus + store::Resources::kSlack)
      l.lenders.insert(members_.part_of_team(t.name));
  return l;
}

const MachineRecord* Leader::machine_to_reclaim(const UnmetDemand& u, Lending& l) const {
  const MachineRecord* best = nullptr;
  int fewest = 0;
  for (const auto& [id, m] : model_.present_machines()) {
    const auto& r = m->record;
    const auto* type = model_.type(r.type);
    if (!type || !r.usable() || r.part == u.part || !l.lenders.count(r.part) || l.taken.count(id) ||
        l.capacity[r.part] - type->size.cpus < l.guaranteed[r.part] || !type_allowed(u.spec, r.type) ||
        !kind_allowed(u.spec, r.spot) || !zone_allowed(u.spec, r.zone, u.zones) || capacity_for(u.spec, *type) <= 0)
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
// rented, a part whose teams run beyond their guarantees gives up machines that hold only work that
// may be stopped. Cause and figures: docs/design.md.
void Leader::reclaim(const std::vector<UnmetDemand>& unmet) {
  if (unmet.empty() || !ctx_.operators.reclaim_guarantee) return;
  Lending l = lending();
  // What is already on its way counts, and only a few go at a time: the next plan sees the effect.
  std::map<int, int> coming;
  for (const auto& [id, m] : model_.present_machines())
    if (m->record.phase == MachinePhase::offered && m->record.next_part >= 0) coming[m->record.next_part]++;
  constexpr int kAtOnce = 2;
  // Looked for once: with thousands of jobs of a few shapes waiting, all machines were looked at for each of them.
  std::set<std::pair<int, std::string>> in_vain;
  for (const auto& u : unmet) {
    if (coming[u.part] >= kAtOnce) continue;
    const auto shape = std::make_pair(u.part, placement_shape(u.spec) + zones_shape(u.zones));
    if (in_vain.count(shape)) continue;
    const MachineRecord* best = machine_to_reclaim(u, l);
    if (!best) {
      in_vain.insert(shape);
      continue;
    }
    l.taken.insert(best->id);
    ++coming[u.part];
    ctx_.counters["guarantee_reclaims"]++;
    ctx_.info("machine " + best->id + " with " + std::to_string(l.loads[best->id].tasks) + " tasks goes back to part " +
              std::to_string(u.part) + ", whose team " + u.spec.team + " is within its guarantee");
    offer(best->id, u.part, true);
  }
}

CloudOutlook Leader::outlook() const {
  CloudOutlook outlook;
  outlook.prices = prices_;
  for (const auto& [kind, refusal] : refused_)
    if (ctx_.now < refusal.until) outlook.refused.insert(kind);
  for (const auto& [id, m] : fresh_) outlook.rented.push_back(m);
  outlook.up = &up_;
  for (const auto& rental : rentals_)
    for (const int part : rental.parts) outlook.requested[part].push_back(rental.kind);
  return outlook;
}

void Leader::plan() {
  const CloudOutlook known = outlook();
  CapacityPlanner planner(ctx_, model_, members_, demand_, known);
  const bool share_now = ctx_.now >= next_share_;
  if (share_now && ctx_.logs(LogLine::Level::info)) planner.enable_logging();
  CapacityPlan plan;
  for (int part = 0; part < members_.parts(); ++part) planner.plan_part(part, plan);
  const CapacityPlan planned = plan;
  plan.wants.insert(plan.wants.end(), plan.guest_wants.begin(), plan.guest_wants.end());
  if (share_now) {
    next_share_ = ctx_.now + ctx_.operators.share_period_s;
    share_unused(plan);
  }
  reclaim(plan.unmet);
  rent(plan.wants, plan.unused);
  if (ctx_.operators.consolidate && ctx_.now >= next_consolidation_ && ctx_.now - led_since_ > ctx_.settings.lease_s)
    consolidate(planned);
  return_idle(plan);
}

// The design's sharing: free machines go from parts that don't need them to parts that wait. In proportion
// to waiting demand: whoever waits for most is served first, one machine each in turn.
void Leader::share_unused(CapacityPlan& plan) {
  UnusedMachines unused(std::move(plan.unused), model_);
  std::sort(plan.wants.begin(), plan.wants.end(),
            [](const MachineWant& a, const MachineWant& b) { return a.urgent > b.urgent; });
  bool moved = true;
  while (moved) {
    moved = false;
    for (auto& w : plan.wants) {
      if (w.urgent + w.spare == 0) continue;
      const auto machine = unused.take(w.kind, w.part);
      if (!machine) continue;
      ctx_.info("machine " + *machine + " offered to part " + std::to_string(w.part));
      offer(*machine, w.part);
      (w.urgent > 0 ? w.urgent : w.spare)--;
      moved = true;
    }
  }
  plan.unused = unused.remaining();
}

// One part a plan, each once a sharing period: all at once would be a long pass.
void Leader::consolidate(const CapacityPlan& planned) {
  next_consolidation_ = ctx_.now + ctx_.operators.share_period_s / members_.parts();
  next_consolidated_ = (next_consolidated_ + 1) % members_.parts();
  const int part = next_consolidated_;
  consolidator_.note_attempts();
  if (std::any_of(planned.unmet.begin(), planned.unmet.end(), [&](const UnmetDemand& u) { return u.part == part; })) return;
  const CloudOutlook known = outlook();  // with what was asked for just now
  CapacityPlanner planner(ctx_, model_, members_, demand_, known);
  for (const auto& id : consolidator_.machines_to_empty(part, planned, planner)) {
    ctx_.counters["machines_consolidated"]++;
    ctx_.info("machine " + id + " is emptied: its work fits on the others");
    offer(id, -1, true);
  }
}

// What nobody has needed for a while is given back.
void Leader::return_idle(const CapacityPlan& plan) {
  std::map<std::string, double> idle;
  std::set<MachineKind> wanted_kinds;
  for (const auto& want : plan.wants) wanted_kinds.insert(want.kind);
  for (const auto& id : plan.unused) {
    const auto before = idle_since_.find(id);
    idle[id] = before == idle_since_.end() ? ctx_.now : before->second;
    const auto& r = model_.machine(id)->record;
    const auto* type = model_.type(r.type);
    const double hold = type ? type->boot_s / 2 : kLeastChargeSeconds;
    if (!wanted_kinds.count(kind_of(r)) && ctx_.now - idle[id] > hold && ctx_.wall - r.since > kLeastChargeSeconds &&
        ctx_.now - led_since_ > ctx_.settings.lease_s) {
      ctx_.info("machine " + id + " is needed no more");
      offer(id, -1);
    }
  }
  idle_since_ = std::move(idle);
}

// The cloud takes few calls. Queued by part and machine, requests waited for minutes behind others for
// kinds that the cloud had refused long since, and what was queued counted as capacity on its way. So
// nothing is queued: each plan asks anew, once a kind of machine for all parts together, and what the
// budget does not let out now is part of the next plan.
void Leader::rent(std::vector<MachineWant> wants, std::vector<std::string> unused) {
  constexpr size_t kMost = 50;  // of one request, by the protocol
  struct Order {
    MachineKind kind;
    store::Rank rank = store::Rank::low;
    std::vector<int> urgent, spare;
  };
  UnusedMachines shared(std::move(unused), model_);
  std::map<MachineKind, std::vector<MachineWant*>> by_kind;
  for (auto& w : wants) {
    // Machines that another part does not need are shared, not rented anew; each counts once.
    while (w.urgent + w.spare > 0 && shared.take(w.kind, w.part)) (w.urgent > 0 ? w.urgent : w.spare)--;
    if (w.urgent + w.spare > 0) by_kind[w.kind].push_back(&w);
  }
  std::vector<Order> orders;
  for (const auto& [kind, parts] : by_kind) {
    if (std::any_of(rentals_.begin(), rentals_.end(), [wanted = &kind](const Rental& r) { return r.kind == *wanted; }))
      continue;
    Order o{kind, store::Rank::low, {}, {}};
    // One machine each in turn.
    for (bool more = true; more;) {
      more = false;
      for (MachineWant* w : parts) {
        if (w->urgent > 0) {
          o.urgent.push_back(w->part);
          o.rank = std::max(o.rank, w->rank);
          more |= --w->urgent > 0 || w->spare > 0;
        } else if (w->spare > 0) {
          o.spare.push_back(w->part);
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
  // One request a plan and kind, of fifty machines, kept the budget of calls idle while thousands were wanted. Each kind
  // has its first before another has its second.
  for (size_t from = 0, longest = 1; from < longest; from += kMost)
    for (const auto& o : orders) {
      std::vector<int> parts = o.urgent;
      parts.insert(parts.end(), o.spare.begin(), o.spare.end());
      longest = std::max(longest, parts.size());
      if (from >= parts.size()) continue;
      if (!cloud_ready()) return;
      const auto first = parts.begin() + static_cast<long>(from);
      const auto last = parts.begin() + static_cast<long>(std::min(parts.size(), from + kMost));
      rentals_.push_back({o.kind, std::vector<int>(first, last),
                          std::to_string(members_.lead_stamp()) + "-" + std::to_string(++requests_), 0, false});
      send_rental(rentals_.back());
    }
}

// What is free at the cloud changes seldom but by our own deletions: asked for ever more rarely, so that
// refusals don't eat the budget of calls.
void Leader::refused(const MachineKind& kind) {
  auto& r = refused_[kind];
  r.pause = std::clamp(r.pause * 2, ctx_.settings.lease_s / 2, ctx_.settings.lease_s * 4);
  r.until = ctx_.now + ctx_.jitter(r.pause);
}

void Leader::send_rental(Rental& r) {
  r.in_flight = true;
  cloud_budget_.take(1);
  ctx_.call(RentMachines{r.request, r.kind.type, r.kind.zone, r.kind.spot, static_cast<int>(r.parts.size())},
            ctx_.settings.lease_s / 3, [this, request = r.request](CallDone&& d) {
              const auto rental =
                  std::find_if(rentals_.begin(), rentals_.end(), [&](const Rental& x) { return x.request == request; });
              if (rental == rentals_.end()) return;  // led by then by another: its list brings the machines
              rental->in_flight = false;
              const auto* reply = std::get_if<RentReply>(&d.reply);
              if (d.status == 200 && reply) {
                ctx_.info("rented " + std::to_string(reply->machines.size()) + " of " +
                          std::to_string(rental->parts.size()) + " " + rental->kind.type + " in " + rental->kind.zone +
                          (rental->kind.spot ? " (spot)" : ""));
                for (size_t i = 0; i < reply->machines.size() && i < rental->parts.size(); ++i) {
                  MachineRecord m;
                  m.id = reply->machines[i];
                  m.type = rental->kind.type;
                  m.zone = rental->kind.zone;
                  m.spot = rental->kind.spot;
                  m.part = rental->parts[i];
                  m.since = ctx_.wall;
                  record_machine(m);
                }
                if (reply->machines.size() < rental->parts.size()) {
                  refused(rental->kind);
                } else {
                  refused_.erase(rental->kind);
                }
                rentals_.erase(rental);
              } else if (d.status == 0 || d.status == 429) {
                rental->next_try = ctx_.now + ctx_.jitter(ctx_.settings.report_s / 2);  // same request: at most once
              } else {
                refused(rental->kind);
                rentals_.erase(rental);
              }
            });
}

}  // namespace rushtrestle::coordination
