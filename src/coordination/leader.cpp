#include "coordination/leader.h"

#include <algorithm>
#include <cmath>

namespace rushtrestle::coordination {

using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;

namespace {
// What the cloud charges at least for a machine, by the protocol.
constexpr double kLeastCharge_s = 60;
}  // namespace

void Leader::reset() {
  led_since_ = ctx_.now;
  next_types_ = next_list_ = next_plan_ = next_delete_ = 0;
  next_share_ = ctx_.now + ctx_.operators.share_period_s;
  rentals_.clear();
  fresh_.clear();
  refused_.clear();
  idle_since_.clear();
  offered_at_.clear();
  attempts_seen_.clear();
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
  if (!fetching_types_ && ctx_.now >= next_types_ && cloud_ready()) fetch_types();
  if (model_.types().empty()) return;
  if (!deleting_ && ctx_.now >= next_delete_ && cloud_ready()) delete_doomed();
  for (auto& r : rentals_)
    if (!r.in_flight && ctx_.now >= r.next_try && cloud_ready()) send_rental(r);
  if (!listing_ && ctx_.now >= next_list_ && cloud_ready()) list("");
  if (listed_once_ && ctx_.now >= next_plan_) {
    next_plan_ = ctx_.now + ctx_.settings.report_s / 4;
    plan();
  }
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
    w.key = store::kTypesKey;
    w.prepare = [this](Prepared& p) {
      p.expected = model_.stamp_of(store::kTypesKey);
      p.value = store::Json{{"types", to_json(prices_)}};
      p.conditions.push_back({store::kLeaderKey, members_.lead_stamp()});
      return members_.leading();
    };
    w.done = [](WriteOutcome, uint64_t) {};
    link_.write(std::move(w));
  });
}

// ---- what exists ----

void Leader::list(std::string after) {
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
  for (const auto& c : machines) {
    const auto* known = model_.machine(c.id);
    if (!known && !fresh_.count(c.id)) {
      // An answer that names it may still be under way to us.
      if (std::any_of(rentals_.begin(), rentals_.end(), [](const Rental& r) { return r.in_flight; })) continue;
      MachineRecord r;
      r.id = c.id;
      r.address = "";
      r.type = c.type;
      r.zone = c.zone;
      r.spot = c.spot;
      r.since = ctx_.wall - c.age_s;
      // To the part with the most work for its machines; plan() moves it on if need be.
      std::map<int, double> load;
      for (int p = 0; p < members_.parts(); ++p) load[p] = 0;
      std::set<int> with_teams;
      for (const auto& t : ctx_.settings.teams) {
        const int p = members_.part_of_team(t.name);
        with_teams.insert(p);
        load[p] -= t.guarantee.cpus;
      }
      for (const auto& [mid, m] : model_.machines())
        if (!m.record.doomed() && m.record.type == c.type) load[m.record.part] += 1e6 / 64;
      for (const auto& [mid, m] : fresh_)
        if (m.type == c.type) load[m.part] += 1e6 / 64;
      r.part = *std::min_element(with_teams.begin(), with_teams.end(), [&](int a, int b) { return load[a] < load[b]; });
      ctx_.info("machine " + c.id + " adopted for part " + std::to_string(r.part));
      record_machine(r);
    } else if (known && c.state == CloudMachine::State::failed && !known->record.doomed()) {
      WriteRequest w;
      w.key = store::machine_key(c.id);
      w.prepare = [this, id = c.id](Prepared& p) {
        const auto* m = model_.machine(id);
        if (!m || m->record.doomed() || !members_.leading()) return false;
        MachineRecord r = m->record;
        r.phase = MachinePhase::condemned;
        p.expected = m->stamp;
        p.value = to_json(r);
        p.conditions.push_back({store::kLeaderKey, members_.lead_stamp()});
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
  w.prepare = [this, id = r.id](Prepared& p) {
    const auto it = fresh_.find(id);
    if (it == fresh_.end() || model_.machine(id) || !members_.leading()) return false;
    p.expected = 0;
    p.value = to_json(it->second);
    p.conditions.push_back({store::kLeaderKey, members_.lead_stamp()});
    return true;
  };
  w.done = [this, id = r.id](WriteOutcome, uint64_t) { fresh_.erase(id); };  // if it failed, the list brings it again
  link_.write(std::move(w));
}

// ---- what goes ----

void Leader::delete_doomed() {
  constexpr size_t kMost = 100;  // names in one request, by the protocol
  std::vector<std::string> ids;
  for (const auto& [id, m] : model_.machines())
    if ((m.record.phase == MachinePhase::released || m.record.phase == MachinePhase::condemned) && !deleted_.count(id) &&
        ids.size() < kMost)
      ids.push_back(id);
  if (ids.empty()) return;
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
      // What we gave back can be had again.
      if (const auto* m = model_.machine(id)) refused_.erase(Key{m->record.type, m->record.zone, m->record.spot});
      WriteRequest w;
      w.key = store::machine_key(id);
      w.prepare = [this, id](Prepared& p) {
        const auto* m = model_.machine(id);
        if (!m || m->record.phase == MachinePhase::gone || !m->record.doomed() || !members_.leading()) return false;
        MachineRecord r = m->record;
        r.phase = MachinePhase::gone;
        p.expected = m->stamp;
        p.value = to_json(r);
        p.conditions.push_back({store::kLeaderKey, members_.lead_stamp()});
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
  w.priority = 2;
  w.prepare = [this, machine, next_part, drain](Prepared& p) {
    const auto* m = model_.machine(machine);
    if (!m || !m->record.usable() || !members_.leading()) return false;
    MachineRecord r = m->record;
    r.phase = MachinePhase::offered;
    r.next_part = next_part;
    r.drain = drain;
    p.expected = m->stamp;
    p.value = to_json(r);
    p.conditions.push_back({store::kLeaderKey, members_.lead_stamp()});
    return true;
  };
  w.done = [](WriteOutcome, uint64_t) {};
  link_.write(std::move(w));
}

// ---- what is needed ----

bool Leader::rent_slot(const store::JobSpec& spec, const ZoneCounts& zones, int part, std::vector<Slot>& slots, bool urgent,
                       bool with_gpus, bool spot_only, std::vector<Want>& wants) {
  const store::MachineType* best = nullptr;
  Key best_key;
  double best_cost = 0;
  for (const auto& t : prices_.empty() ? model_.types() : prices_) {
    if (!type_allowed(spec, t.name)) continue;
    const int n = capacity_for(spec, t);
    if (n <= 0) continue;
    if (spec.per_task.gpus == 0 && (t.size.gpus > 0) != with_gpus) continue;
    for (const auto& zone : t.zones) {
      if (!zone_allowed(spec, zone, zones)) continue;
      for (const bool spot : {false, true}) {
        if (!kind_allowed(spec, spot) || (spot_only && !spot)) continue;
        const Key key{t.name, zone, spot};
        const auto r = refused_.find(key);
        if (r != refused_.end() && ctx_.now < r->second.until) continue;
        double cost = (spot ? t.spot_price : t.price) / n;
        int in_zone = 0;
        for (const auto& s : slots)
          if (*s.zone == zone && s.type->name == t.name) ++in_zone;
        cost *= 1 + 0.001 * in_zone;  // zones take turns
        if (!best || cost < best_cost) {
          best = &t;
          best_key = key;
          best_cost = cost;
        }
      }
    }
  }
  if (!best) return false;
  const auto* type = model_.type(best->name);
  if (!type) return false;
  const auto zone = std::find(type->zones.begin(), type->zones.end(), best_key.zone);
  if (zone == type->zones.end()) return false;
  Slot slot{"", type, &*zone, best_key.spot, type->size, true};
  slot.free.add(spec.per_task, -1);
  slots.push_back(slot);
  auto w = std::find_if(wants.begin(), wants.end(),
                        [&](const Want& x) { return x.part == part && !(x.key < best_key) && !(best_key < x.key); });
  if (w == wants.end()) w = wants.insert(wants.end(), Want{part, best_key, 0, 0});
  (urgent ? w->urgent : w->spare)++;
  if (urgent) w->rank = std::max(w->rank, spec.rank);
  return true;
}

bool Leader::preemptible(const store::JobSpec& spec) const {
  const auto& ranks = ctx_.operators.preemptible;
  return std::find(ranks.begin(), ranks.end(), spec.rank) != ranks.end();
}

// Exception to the design, which moves free machines only: where nothing is free and nothing can be
// rented, a part whose teams run beyond their guarantees gives up machines that hold only work that
// may be stopped. Cause and figures: docs/design.md.
void Leader::reclaim(const std::vector<Unmet>& unmet) {
  if (unmet.empty() || !ctx_.operators.reclaim_guarantee) return;
  struct Load {
    int tasks = 0;
    bool pinned = false;
  };
  std::map<std::string, Load> loads;
  std::map<std::string, store::Resources> used;
  for (const auto& id : model_.live_jobs()) {
    const auto& r = model_.job(id)->record;
    for (const auto& p : r.placed) {
      auto& load = loads[p.machine];
      ++load.tasks;
      load.pinned |= !preemptible(r.spec);
    }
    // What waits counts, too: machines that still boot for work beyond the guarantee are the cheapest to give.
    if (r.status == JobStatus::open) used[r.spec.team].add(r.spec.per_task, r.spec.tasks - r.done.size());
  }
  std::map<int, double> capacity, guaranteed;  // CPUs by part
  for (const auto& [id, m] : model_.machines())
    if (const auto* type = model_.type(m.record.type); type && m.record.usable()) capacity[m.record.part] += type->size.cpus;
  for (const auto& t : ctx_.settings.teams) guaranteed[members_.part_of_team(t.name)] += t.guarantee.cpus;
  std::set<int> lenders;
  for (const auto& t : ctx_.settings.teams)
    if (used[t.name].cpus > t.guarantee.cpus + store::Resources::kSlack ||
        used[t.name].gpus > t.guarantee.gpus + store::Resources::kSlack)
      lenders.insert(members_.part_of_team(t.name));
  // What is already on its way counts, and only a few go at a time: the next plan sees the effect.
  std::map<int, int> coming;
  for (const auto& [id, m] : model_.machines())
    if (m.record.phase == MachinePhase::offered && m.record.next_part >= 0) coming[m.record.next_part]++;
  constexpr int kAtOnce = 2;
  std::set<std::string> taken;
  for (const auto& u : unmet) {
    if (coming[u.part] >= kAtOnce) continue;
    const store::Stamped<MachineRecord>* best = nullptr;
    int fewest = 0;
    for (const auto& [id, m] : model_.machines()) {
      const auto* type = model_.type(m.record.type);
      if (!type || !m.record.usable() || m.record.part == u.part || !lenders.count(m.record.part) || taken.count(id) ||
          capacity[m.record.part] - type->size.cpus < guaranteed[m.record.part] || !type_allowed(u.spec, m.record.type) ||
          !kind_allowed(u.spec, m.record.spot) || !zone_allowed(u.spec, m.record.zone, u.zones) ||
          capacity_for(u.spec, *type) <= 0)
        continue;
      const auto load = loads.find(id);
      if (load != loads.end() && load->second.pinned) continue;
      const int tasks = load == loads.end() ? 0 : load->second.tasks;
      if (!best || tasks < fewest) {
        best = &m;
        fewest = tasks;
      }
    }
    if (!best) continue;
    taken.insert(best->record.id);
    ++coming[u.part];
    ctx_.counters["guarantee_reclaims"]++;
    ctx_.info("machine " + best->record.id + " with " + std::to_string(fewest) + " tasks goes back to part " +
              std::to_string(u.part) + ", whose team " + u.spec.team + " is within its guarantee");
    offer(best->record.id, u.part, true);
  }
}

namespace {
// A start counts for its user once it has lasted half a minute, by the protocol; twice that is settled.
constexpr double kSettled_s = 60;

// May be stopped without loss of work.
bool can_move(const store::JobSpec& spec) { return spec.kind == store::JobKind::service || spec.checkpoint_s > 0; }
}  // namespace

void Leader::note_attempts() {
  std::erase_if(attempts_seen_, [&](const auto& entry) { return !model_.live_jobs().count(entry.first); });
  for (const auto& id : model_.live_jobs()) {
    const uint64_t attempts = model_.job(id)->record.attempts;
    auto& seen = attempts_seen_[id];
    if (seen.empty() || seen.back().second != attempts) seen.emplace_back(ctx_.now, attempts);
    while (seen.size() > 1 && ctx_.now - seen[1].first > kSettled_s) seen.pop_front();
  }
}

bool Leader::settled(const store::JobRecord& r, const store::Placement& p) const {
  const auto it = attempts_seen_.find(r.spec.id);
  return p.running && !p.stopping && it != attempts_seen_.end() && ctx_.now - it->second.front().first > kSettled_s &&
         p.attempt <= it->second.front().second;
}

// Services leave holes that nothing fills: the machine that pays least for itself is emptied, if what it
// holds, what waits and what is expected all fit on the others. A replica is away for the fraction of a
// second that its stop and start take; so only replicas that have run for a while are moved, off a few
// machines a part at a time. Work that would be lost is left to its end, with nothing new beside it.
void Leader::consolidate(int part, const std::vector<Want>& wants) {
  constexpr double kMostUsed = 0.6;
  constexpr size_t kAtOnce = 10;           // one of so many of the part's machines at a time
  constexpr size_t kARound = 40;           // and one of so many a round: one a round took minutes to empty dozens
  constexpr size_t kMost = 4, kTries = 3;  // each is a plan of the part, so that a round stays short
  size_t machines = 0, leaving = 0;
  for (const auto& [id, m] : model_.machines()) {
    if (m.record.part != part || m.record.doomed()) continue;
    ++machines;
    if (m.record.phase == MachinePhase::offered) ++leaving;
  }
  if (leaving > machines / kAtOnce) return;
  struct Load {
    store::Resources used;
    bool movable = true;
    std::vector<const store::JobSpec*> fetched;  // tasks whose image takes long to fetch
  };
  std::map<std::string, Load> loads;
  const double long_fetch_s = ctx_.settings.report_s / 2;
  for (const auto& id : model_.live_jobs()) {
    const auto& r = model_.job(id)->record;
    if (members_.part_of_team(r.spec.team) != part) continue;
    for (const auto& p : r.placed) {
      auto& load = loads[p.machine];
      load.used.add(r.spec.per_task);
      load.movable &= r.status == JobStatus::open && (can_move(r.spec) ? settled(r, p) : p.running);
      if (can_move(r.spec)) load.fetched.push_back(&r.spec);
    }
  }
  std::set<std::string> emptied;
  // A replica must not be away for as long as its image takes: another machine has to hold it, with room.
  const auto has_target = [&](const store::JobSpec& spec, const std::string& from) {
    for (const auto& [id, m] : model_.machines()) {
      const auto* type = model_.type(m.record.type);
      if (!type || id == from || emptied.count(id) || m.record.part != part || !m.record.usable() ||
          !kind_allowed(spec, m.record.spot) || !type_allowed(spec, m.record.type))
        continue;
      if (!images_.has(id, spec.image) && spec.image_gb / std::max(0.01, type->fetch_gb_per_s) > long_fetch_s) continue;
      store::Resources free = type->size;
      if (const auto load = loads.find(id); load != loads.end()) free.add(load->second.used, -1);
      if (spec.per_task.fits(free)) return true;
    }
    return false;
  };
  std::vector<std::pair<double, const MachineRecord*>> candidates;  // by what they cost and are not used for
  for (const auto& [id, load] : loads) {
    const auto* m = model_.machine(id);
    const auto* type = m ? model_.type(m->record.type) : nullptr;
    if (!type || !load.movable || !m->record.usable() || m->record.part != part) continue;
    const Key key{m->record.type, m->record.zone, m->record.spot};
    if (std::any_of(wants.begin(), wants.end(), [&](const Want& w) { return !(w.key < key) && !(key < w.key); })) continue;
    const double share = std::max(type->size.cpus > 0 ? load.used.cpus / type->size.cpus : 0,
                                  type->size.gpus > 0 ? load.used.gpus / type->size.gpus : 0);
    const double saving = (m->record.spot ? type->spot_price : type->price) * (1 - share);
    if (share <= kMostUsed) candidates.emplace_back(saving, &m->record);
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
  const auto needed = [&](const std::vector<Want>& of) {
    int n = 0;
    for (const auto& w : of)
      if (w.part == part) n += w.urgent + w.spare;
    return n;
  };
  const size_t most = std::clamp<size_t>(machines / kARound, 1, kMost);
  for (size_t i = 0; i < candidates.size() && i < emptied.size() + kTries && emptied.size() < most; ++i) {
    const std::string& id = candidates[i].second->id;
    const auto& fetched = loads.at(id).fetched;
    if (!std::all_of(fetched.begin(), fetched.end(), [&](const auto* spec) { return has_target(*spec, id); })) continue;
    std::vector<Want> then;
    std::vector<std::string> unused;
    std::vector<Unmet> unmet;
    emptied.insert(id);
    plan_part(part, then, unused, unmet, emptied);
    if (needed(then) > needed(wants) || !unmet.empty()) {
      emptied.erase(id);
      continue;
    }
    ctx_.counters["machines_consolidated"]++;
    ctx_.info("machine " + id + " is emptied: its work fits on the others");
    offer(id, -1, true);
  }
}

bool Leader::overdue(const MachineRecord& m) const {
  const auto* type = model_.type(m.type);
  return type && m.address.empty() && ctx_.wall - m.since > type->boot_s * Tunables::kBootUsual;
}

void Leader::plan_part(int part, std::vector<Want>& wants, std::vector<std::string>& unused, std::vector<Unmet>& unmet,
                       const std::set<std::string>& without) {
  std::vector<Slot> slots;
  std::map<std::string, store::Resources> used;
  std::set<std::string> pinned;
  std::map<std::string, std::pair<int, int>> placed_tasks;  // by class: on ordinary and on spot machines
  std::map<std::string, store::Resources> team_used;
  std::vector<const store::JobRecord*> jobs;
  double cpu_per_gpu = 0;
  for (const auto& id : model_.live_jobs()) {
    const auto& r = model_.job(id)->record;
    if (members_.part_of_team(r.spec.team) != part) continue;
    uint32_t displaced = 0;
    for (const auto& p : r.placed) {
      if (without.count(p.machine)) {
        if (can_move(r.spec)) ++displaced;
        continue;
      }
      const auto* m = model_.machine(p.machine);
      auto& counts = placed_tasks[r.spec.job_class];
      ++(m && m->record.spot ? counts.second : counts.first);
      used[p.machine].add(r.spec.per_task);
      if (!preemptible(r.spec)) pinned.insert(p.machine);
      team_used[r.spec.team].add(r.spec.per_task);
    }
    if (r.spec.per_task.gpus > 0) cpu_per_gpu = std::max(cpu_per_gpu, r.spec.per_task.cpus / r.spec.per_task.gpus);
    if (r.status == JobStatus::open && r.placed.size() - displaced + r.done.size() < r.spec.tasks) jobs.push_back(&r);
  }
  const auto add = [&](const MachineRecord& m) {
    const auto* type = model_.type(m.type);
    if (!type) return;
    Slot s{m.id, type, shared_zone(*type, m.zone), m.spot, type->size, true};
    const auto it = used.find(m.id);
    if (it != used.end()) {
      s.free.add(it->second, -1);
      s.empty = false;
      s.pinned = pinned.count(m.id) != 0;
    }
    slots.push_back(std::move(s));
  };
  for (const auto& [id, m] : model_.machines())
    if (m.record.part == part && m.record.usable() && !without.count(id) && !overdue(m.record)) add(m.record);
  for (const auto& [id, m] : fresh_)
    if (m.part == part && !model_.machine(id)) add(m);
  for (const auto& r : rentals_) {
    const auto* type = model_.type(r.key.type);
    if (!type) continue;
    for (auto n = std::count(r.parts.begin(), r.parts.end(), part); n > 0; --n)
      slots.push_back({"", type, shared_zone(*type, r.key.zone), r.key.spot, type->size, true});
  }
  const size_t real = slots.size();
  std::vector<bool> was_empty(real);
  for (size_t i = 0; i < real; ++i) was_empty[i] = slots[i].empty;

  std::sort(jobs.begin(), jobs.end(), [](const auto* a, const auto* b) {
    if (a->spec.rank != b->spec.rank) return a->spec.rank > b->spec.rank;
    return a->submitted < b->submitted;
  });
  const bool production_waits = std::any_of(jobs.begin(), jobs.end(), [&](const auto* r) { return !preemptible(r->spec); });
  Fit fit;
  fit.cpu_per_gpu = cpu_per_gpu;
  const auto settings_of = [&](const std::string& team) {
    for (const auto& t : ctx_.settings.teams)
      if (t.name == team) return t;
    return store::TeamSettings{};
  };
  const auto put = [&](const store::JobSpec& spec, ZoneCounts& zones, bool urgent, bool spot_only, bool no_renting = false) {
    // What is only expected must not hold an ordinary machine that it could do without.
    fit.spot_only = spot_only && (production_waits || !urgent);
    auto& team = team_used[spec.team];
    const auto settings = settings_of(spec.team);
    const auto& limit = settings.limit;
    if (team.cpus + spec.per_task.cpus > limit.cpus + store::Resources::kSlack ||
        team.gpus + spec.per_task.gpus > limit.gpus + store::Resources::kSlack)
      return false;
    // Work without GPUs takes what is beside them, then machines without, then what free GPUs
    // would need, and machines with GPUs only where nothing else is to be had.
    Slot* s = pick(spec, zones, slots, fit);
    if (!s && no_renting) return false;
    const bool rented = !s && rent_slot(spec, zones, part, slots, urgent, false, spot_only, wants);
    if (!s && !rented && spec.per_task.gpus == 0) {
      Fit any = fit;
      any.strand_gpus = true;
      s = pick(spec, zones, slots, any);
    }
    if (s) {
      s->free.add(spec.per_task, -1);
    } else {
      if (!rented && !(spec.per_task.gpus == 0 && rent_slot(spec, zones, part, slots, urgent, true, spot_only, wants))) {
        if (urgent && !spot_only && team.cpus + spec.per_task.cpus <= settings.guarantee.cpus + store::Resources::kSlack &&
            team.gpus + spec.per_task.gpus <= settings.guarantee.gpus + store::Resources::kSlack)
          unmet.push_back({part, spec, zones});
        return false;
      }
      s = &slots.back();
    }
    s->empty = false;
    zones[*s->zone]++;
    team.add(spec.per_task);
    return true;
  };
  if (ctx_.logs(LogLine::Level::info) && ctx_.now >= next_share_ && without.empty()) {
    // One line a part and sharing period: enough to see who waits for what, and whether machines are there.
    store::Resources free, waiting;
    for (const auto& s : slots) free.add(s.free);
    std::map<std::string, int> classes;
    for (const auto* r : jobs) {
      const double tasks = r->spec.tasks - r->done.size() - static_cast<double>(r->placed.size());
      waiting.add(r->spec.per_task, tasks);
      classes[r->spec.job_class] += static_cast<int>(tasks);
    }
    std::string text = "part " + std::to_string(part) + ": " + std::to_string(slots.size()) + " machines, free " +
                       std::to_string(static_cast<int>(free.cpus)) + " cpus " + std::to_string(static_cast<int>(free.gpus)) +
                       " gpus; waiting " + std::to_string(static_cast<int>(waiting.cpus)) + " cpus " +
                       std::to_string(static_cast<int>(waiting.gpus)) + " gpus";
    for (const auto& [name, n] : classes) text += ", " + name + " " + std::to_string(n);
    text += "; placed";
    for (const auto& [name, n] : placed_tasks)
      text += ", " + name + " " + std::to_string(n.first) + " and " + std::to_string(n.second) + " on spot machines";
    ctx_.info(std::move(text));
  }
  // The same room is held here as the owner will hold, or what it turns away would find nothing rented.
  auto forecasts = demand_.expected(part);
  // A machine is emptied only where twice the usual spare room stays for work that can't use spot machines:
  // else its like is rented again soon, and what a dead machine held finds no room.
  constexpr int kStays = 2;
  if (!without.empty())
    for (auto& f : forecasts)
      if (!f.shape.spot) f.jobs *= kStays;
  for (const auto& f : forecasts) keep_for(fit.reserve, f.shape, f.jobs * static_cast<double>(f.shape.tasks));
  for (const auto* r : jobs)
    keep_for(fit.reserve, r->spec, r->spec.tasks - r->done.size() - static_cast<double>(r->placed.size()));
  double running_arrays = 0, backlog = 0;
  for (const auto& id : model_.live_jobs()) {
    const auto& r = model_.job(id)->record;
    if (members_.part_of_team(r.spec.team) == part && r.spec.kind == store::JobKind::array) running_arrays += r.running();
  }
  constexpr uint32_t kMostTasks = 400;  // of one job in one plan: more machines than that come in steps
  for (const auto* r : jobs) {
    ZoneCounts zones;
    uint32_t placed = 0;
    for (const auto& p : r->placed) {
      if (without.count(p.machine) && can_move(r->spec)) continue;
      ++placed;
      if (const auto* m = model_.machine(p.machine)) zones[m->record.zone]++;
    }
    const uint32_t need = std::min<uint32_t>(kMostTasks, r->spec.tasks - r->done.size() - placed);
    bool waits = can_wait_for_spot(*r, ctx_.settings, ctx_.wall);
    bool turn_comes = false;
    if (r->spec.kind == store::JobKind::array && r->spec.estimate_s > 0) {
      // Work that ends by itself makes room: what gets its turn in time on the machines that are there
      // needs no new ones.
      const double left = due_after_s(r->spec, ctx_.settings) - (ctx_.wall - r->submitted) - 1.3 * r->spec.estimate_s;
      const double turns = running_arrays * std::max(0.0, left) / r->spec.estimate_s;
      backlog += need;
      turn_comes = backlog <= turns;
    }
    for (uint32_t i = 0; i < need; ++i)
      if (!put(r->spec, zones, true, waits, turn_comes)) break;
  }
  // Spare room for what arrives while a machine boots; first for what can run in fewest places.
  fit.reserve = {};
  std::stable_sort(forecasts.begin(), forecasts.end(),
                   [](const auto& a, const auto& b) { return a.shape.per_task.gpus > b.shape.per_task.gpus; });
  for (const auto& f : forecasts)
    for (int i = 0; i < f.jobs; ++i) {
      ZoneCounts zones;
      for (uint32_t t = 0; t < f.shape.tasks; ++t)
        if (!put(f.shape, zones, false, f.shape.spot)) break;
    }
  for (size_t i = 0; i < real; ++i)
    if (was_empty[i] && slots[i].empty && !slots[i].machine.empty() && model_.machine(slots[i].machine))
      unused.push_back(slots[i].machine);
}

void Leader::plan() {
  std::vector<Want> wants;
  std::vector<std::string> unused;
  std::vector<Unmet> unmet;
  for (int part = 0; part < members_.parts(); ++part) plan_part(part, wants, unused, unmet);
  const auto planned = wants;

  // The design's sharing: free machines go from parts that don't need them to parts that wait.
  if (ctx_.now >= next_share_) {
    next_share_ = ctx_.now + ctx_.operators.share_period_s;
    // In proportion to waiting demand: whoever waits for most is served first, one machine each in turn.
    std::sort(wants.begin(), wants.end(), [](const Want& a, const Want& b) { return a.urgent > b.urgent; });
    bool moved = true;
    while (moved) {
      moved = false;
      for (auto& w : wants) {
        if (w.urgent + w.spare == 0) continue;
        const auto it = std::find_if(unused.begin(), unused.end(), [&](const std::string& id) {
          const auto& r = model_.machine(id)->record;
          return r.part != w.part && r.type == w.key.type && r.zone == w.key.zone && r.spot == w.key.spot;
        });
        if (it == unused.end()) continue;
        ctx_.info("machine " + *it + " offered to part " + std::to_string(w.part));
        offer(*it, w.part);
        unused.erase(it);
        (w.urgent > 0 ? w.urgent : w.spare)--;
        moved = true;
      }
    }
  }
  reclaim(unmet);
  rent(wants, unused);

  if (ctx_.operators.consolidate && ctx_.now >= next_consolidation_ && ctx_.now - led_since_ > ctx_.settings.lease_s) {
    // One part a plan, each once a sharing period: all at once would be a long pass.
    next_consolidation_ = ctx_.now + ctx_.operators.share_period_s / members_.parts();
    next_consolidated_ = (next_consolidated_ + 1) % members_.parts();
    note_attempts();
    if (std::none_of(unmet.begin(), unmet.end(), [&](const Unmet& u) { return u.part == next_consolidated_; }))
      consolidate(next_consolidated_, planned);
  }

  // What nobody has needed for a while is given back.
  std::map<std::string, double> idle;
  for (const auto& id : unused) {
    const auto before = idle_since_.find(id);
    idle[id] = before == idle_since_.end() ? ctx_.now : before->second;
    const auto& r = model_.machine(id)->record;
    const auto* type = model_.type(r.type);
    const double hold = type ? type->boot_s / 2 : kLeastCharge_s;
    const bool wanted = std::any_of(wants.begin(), wants.end(), [&](const Want& w) {
      return r.type == w.key.type && r.zone == w.key.zone && r.spot == w.key.spot;
    });
    if (!wanted && ctx_.now - idle[id] > hold && ctx_.wall - r.since > kLeastCharge_s &&
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
void Leader::rent(std::vector<Want> wants, std::vector<std::string> unused) {
  constexpr size_t kMost = 50;  // of one request, by the protocol
  struct Order {
    Key key;
    store::Rank rank = store::Rank::low;
    std::vector<int> urgent, spare;
  };
  std::map<Key, std::vector<Want*>> by_key;
  for (auto& w : wants) {
    // Machines that another part does not need are shared, not rented anew; each counts once.
    for (auto it = unused.begin(); it != unused.end() && w.urgent + w.spare > 0;) {
      const auto& r = model_.machine(*it)->record;
      if (r.part == w.part || r.type != w.key.type || r.zone != w.key.zone || r.spot != w.key.spot) {
        ++it;
        continue;
      }
      (w.urgent > 0 ? w.urgent : w.spare)--;
      it = unused.erase(it);
    }
    if (w.urgent + w.spare > 0) by_key[w.key].push_back(&w);
  }
  std::vector<Order> orders;
  for (const auto& [key, parts] : by_key) {
    if (std::any_of(rentals_.begin(), rentals_.end(),
                    [&, k = &key](const Rental& r) { return !(r.key < *k) && !(*k < r.key); }))
      continue;
    Order o{key, store::Rank::low, {}, {}};
    // One machine each in turn.
    for (bool more = true; more;) {
      more = false;
      for (Want* w : parts) {
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
  for (auto& o : orders) {
    if (!cloud_ready()) return;
    std::vector<int> parts = std::move(o.urgent);
    parts.insert(parts.end(), o.spare.begin(), o.spare.end());
    if (parts.size() > kMost) parts.resize(kMost);
    rentals_.push_back(
        {o.key, std::move(parts), std::to_string(members_.lead_stamp()) + "-" + std::to_string(++requests_), 0, false});
    send_rental(rentals_.back());
  }
}

// What is free at the cloud changes seldom but by our own deletions: asked for ever more rarely, so that
// refusals don't eat the budget of calls.
void Leader::refused(const Key& key) {
  auto& r = refused_[key];
  r.pause = std::clamp(r.pause * 2, ctx_.settings.lease_s / 2, ctx_.settings.lease_s * 4);
  r.until = ctx_.now + ctx_.jitter(r.pause);
}

void Leader::send_rental(Rental& r) {
  r.in_flight = true;
  cloud_budget_.take(1);
  ctx_.call(RentMachines{r.request, r.key.type, r.key.zone, r.key.spot, static_cast<int>(r.parts.size())},
            ctx_.settings.lease_s / 3, [this, request = r.request](CallDone&& d) {
              const auto rental =
                  std::find_if(rentals_.begin(), rentals_.end(), [&](const Rental& x) { return x.request == request; });
              if (rental == rentals_.end()) return;  // led by then by another: its list brings the machines
              rental->in_flight = false;
              const auto* reply = std::get_if<RentReply>(&d.reply);
              if (d.status == 200 && reply) {
                ctx_.info("rented " + std::to_string(reply->machines.size()) + " of " +
                          std::to_string(rental->parts.size()) + " " + rental->key.type + " in " + rental->key.zone +
                          (rental->key.spot ? " (spot)" : ""));
                for (size_t i = 0; i < reply->machines.size() && i < rental->parts.size(); ++i) {
                  MachineRecord m;
                  m.id = reply->machines[i];
                  m.type = rental->key.type;
                  m.zone = rental->key.zone;
                  m.spot = rental->key.spot;
                  m.part = rental->parts[i];
                  m.since = ctx_.wall;
                  record_machine(m);
                }
                if (reply->machines.size() < rental->parts.size()) {
                  refused(rental->key);
                } else {
                  refused_.erase(rental->key);
                }
                rentals_.erase(rental);
              } else if (d.status == 0 || d.status == 429) {
                rental->next_try = ctx_.now + ctx_.jitter(ctx_.settings.report_s / 2);  // same request: at most once
              } else {
                refused(rental->key);
                rentals_.erase(rental);
              }
            });
}

}  // namespace rushtrestle::coordination
