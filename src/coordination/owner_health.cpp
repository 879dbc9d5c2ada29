// Owner: which machines are silent, deaf, mute or faulty, and what becomes of them.
#include <algorithm>

#include "coordination/owner.h"

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::JobStatus;
using store::MachinePhase;
using store::MachineRecord;
using store::Placement;

namespace {
// A job that failed on a suspect machine is tried elsewhere in that time, in worker leases.
constexpr double kDoubtLeases = 2;
}  // namespace

void Owner::count_silent() {
  silence_.clear();
  for (const auto& [id, m] : machines_) {
    const auto* r = model_.machine(id);
    if (!r || m.address.empty()) continue;
    auto& zone = silence_[r->record.zone];
    ++zone.machines;
    if (!reports(m)) ++zone.silent;
  }
}

bool Owner::mass_silence(const Machine& m) const {
  const auto* record = model_.machine(m.id);
  const auto zone = record ? silence_.find(record->record.zone) : silence_.end();
  return zone != silence_.end() && zone->second.silent > std::max(3.0, zone->second.machines * Tunables::kMassShare);
}

void Owner::condemn(Machine& m, const std::string& why) {
  if (m.condemning || !can_act()) return;
  m.condemning = true;
  ctx_.counters["machines_condemned"]++;
  ctx_.info("machine " + m.id + " condemned: " + why);
  write_machine(m.id, WriteCause::machine_condemned, [](MachineRecord& r) {
    r.phase = MachinePhase::condemned;
    return true;
  });
}

void Owner::check_health(Machine& m) {
  const auto* record = model_.machine(m.id);
  if (!record || record->record.doomed()) return;
  if (m.verdict == MachineVerdict::suspect) judge(m);  // jobs may have been vouched for, or called off, meanwhile
  const bool out_of_doubt =
      m.verdict == MachineVerdict::faulty ||
      (m.verdict == MachineVerdict::suspect && ctx_.now - m.suspect_since > ctx_.settings.lease_s * kDoubtLeases);
  if (out_of_doubt && m.placed.empty()) return condemn(m, "faulty");
  if (m.address.empty()) {
    const auto* type = model_.type(record->record.type);
    const double patience = (type ? type->boot_s : ctx_.settings.lease_s) * Tunables::kBootPatience + ctx_.settings.lease_s;
    if (ctx_.wall - record->record.since > patience && ctx_.now - m.since > ctx_.settings.lease_s)
      condemn(m, "never came up");
    return;
  }
  const double silent = ctx_.now - m.last_news;
  if (silent > ctx_.tune.probe_after_s) {
    m.wanted = true;
    machines_to_command_.insert(m.id);
  }
  // Deaf is who speaks and does not hear: silent machines, whose reports came with the end of a cut, were
  // condemned at that very moment for the commands that had failed in it.
  const bool failing = m.direct_failing_since > 0;
  const double deaf = failing ? ctx_.now - std::max(m.direct_failing_since, m.heard_since) : 0;
  const bool lost_both = silent > ctx_.tune.silence_limit_s && failing;
  const bool deaf_only = deaf > ctx_.tune.silence_limit_s;
  // Answers our commands, but reaches no controller: its lease has ended, and would again and again.
  const double unreported = ctx_.now - m.last_report;
  const bool mute = unreported > ctx_.settings.lease_s && !failing;
  if (!lost_both && !deaf_only && !mute) return;
  // Cut off from us, not from others. It hears the answers to what they pass on, or its lease would end
  // and its session with it; but nothing new can be started there, so not for ever.
  // A try to reach us straight takes most of a lease.
  if (ctx_.now - m.relayed_at < ctx_.settings.lease_s && m.session == m.session_when_deaf && deaf < ctx_.tune.relay_limit_s)
    return;
  // Peers that hear it, or many silent at once, point to the network, not to the machine.
  const bool doubtful = mass_silence(m) || ((lost_both || mute) && members_.peer_hears(m.id));
  if (doubtful && std::max({silent, deaf, unreported}) < ctx_.tune.mass_silence_limit_s) return;
  // However sure it looks, only a few go at a time: a cut that peers don't see (one of them just
  // restarted, say) would else cost a whole zone's machines at the same moment.
  std::erase_if(condemned_at_, [&](double t) { return ctx_.now - t > ctx_.tune.silence_limit_s; });
  const double most = std::max(3.0, static_cast<double>(machines_.size()) * Tunables::kCondemnShare);
  if (m.condemning || static_cast<double>(condemned_at_.size()) >= most) return;
  condemned_at_.push_back(ctx_.now);
  condemn(m, lost_both ? "silent" : deaf_only ? "does not hear" : "reaches no controller");
}

void Owner::settle_offer(Machine& m) {
  const auto* record = model_.machine(m.id);
  if (!record || record->record.phase != MachinePhase::offered) return;
  const bool empty = m.placed.empty();
  if (!empty && record->record.drain && (m.pinned == 0 || record->record.next_part < 0)) {
    // The leader takes it back, for a team within its guarantee or because its work fits on fewer machines:
    // what runs here is stopped, saved and queued again. For the latter alone no work is lost.
    const bool spare_work = record->record.next_part < 0;
    std::set<std::string> changed;
    for (const auto& [key, attempt] : m.placed)
      if (OwnedJob* j = job(key.first))
        for (auto& p : j->cur.placed)
          if (p.task == key.second && !p.stopping &&
              !(spare_work && j->cur.spec.kind != JobKind::service && j->cur.spec.checkpoint_s <= 0)) {
            p.stopping = true;
            changed.insert(key.first);
          }
    for (const auto& id : changed) mark(id, WriteCause::stop);
    return;
  }
  write_machine(m.id, WriteCause::machine_settled, [this, empty, id = m.id](MachineRecord& r) {
    if (r.phase != MachinePhase::offered) return false;
    const Machine* mine = machine(id);
    r.drain = false;
    if (empty && mine && mine->placed.empty()) {
      if (r.next_part < 0) {
        r.phase = MachinePhase::released;
        return true;
      }
      r.part = r.next_part;
    }
    r.phase = MachinePhase::assigned;
    r.next_part = -1;
    return true;
  });
}

}  // namespace rushtrestle::coordination
